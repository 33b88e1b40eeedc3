// The data model of the HTTP interface: parses request bodies into aggregates
// and composes response bodies. Performs no I/O.
//
//   result<submission> parsed = parse_job(body, limits);
//   if (!ok(parsed))
//     return failure_answer(failure(parsed), execution::not_run, version);
#ifndef CYCLAMENWOOD_API_H_
#define CYCLAMENWOOD_API_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cyclamenwood/settings.h"
#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

// One task of a submission.
struct task_spec {
  std::string service;
  std::string payload;
  // The caller's estimate of the task's execution time; 0 if not given.
  int64_t declared_ms = 0;
};

// A job or a single request as received from a caller.
struct submission {
  // The key is empty for idempotent requests.
  job_id id;
  std::string class_name;
  unix_ms deadline_ms = 0;
  std::vector<task_spec> tasks;
  // If false, each task starts at most once, under a claim on the key.
  bool idempotent = false;
  // If false, the caller gets an acknowledgment instead of the results.
  bool wait = true;
  // True for a single request, whose answer has one `result` in place of
  // `results`.
  bool single = false;
  // The body as received; forwarded to the owner of the key.
  std::string body;
};

// Parses the body of a job submission. Fails with malformed_request, whose
// argument names the path and the reason, or with request_too_large if there
// are more than `limits.max_tasks_per_job` tasks.
result<submission> parse_job(std::string_view body,
                             const http_settings& limits);
// Parses the body of a single request to `service`. Fails with
// malformed_request. The key of an idempotent request is ignored.
result<submission> parse_request(std::string_view service,
                                 std::string_view body,
                                 const http_settings& limits);

// Returns the content digest that is stored with a claim. It covers the
// tenant, the class and the tasks' services and payloads, but not the
// deadline, so that a resubmission with a later deadline matches.
std::string submission_digest(const submission& request);

// Parses an upstream's announcement. Fails with malformed_request.
result<wire::upstream> parse_announcement(std::string_view body);

// A complete HTTP response.
struct api_answer {
  int status = 200;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers{};
};

// Composes a failure response. The status follows from the error code; bytes
// that are not valid UTF-8 are replaced.
api_answer failure_answer(const error& reason,
                          execution executed,
                          uint64_t bundle_version);

// Composes the answer of a completed job, with one result for each task in
// task order. Returns nullopt if a result is not valid UTF-8.
std::optional<api_answer> complete_answer(const submission& request,
                                          std::span<const std::string> results,
                                          uint64_t bundle_version);

// Composes the response for a job that has not finished (status 202).
api_answer job_state_answer(const job_id& id,
                            std::string_view state,
                            uint64_t bundle_version);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_API_H_
