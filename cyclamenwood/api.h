// Requests and answers of the HTTP interface as data: parsing of bodies into
// aggregates, and composing of answers. No I/O.
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
  // The caller's estimate of the task's own time; 0 when not given.
  int64_t declared_ms = 0;
};

// A job or a single request, as a caller sent it.
struct submission {
  job_id id;  // The key is empty for idempotent requests.
  std::string class_name;
  unix_ms deadline_ms = 0;
  std::vector<task_spec> tasks;
  // False: tasks start at most once, under a claim on the key.
  bool idempotent = false;
  // False: the caller wants an acknowledgment, not the answer.
  bool wait = true;
  // A single request's answer has one `result` in place of `results`.
  bool single = false;
  // The body as received, for forwarding to the owner.
  std::string body;
};

result<submission> parse_job(std::string_view body,
                             const http_settings& limits);
result<submission> parse_request(std::string_view service,
                                 std::string_view body,
                                 const http_settings& limits);

// The digest under which a key is claimed: tenant, class and tasks, not the
// deadline.
std::string submission_digest(const submission& request);

result<wire::upstream> parse_announcement(std::string_view body);

// A complete HTTP answer.
struct api_answer {
  int status = 200;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers{};
};

api_answer failure_answer(const error& reason,
                          execution executed,
                          uint64_t bundle_version);

// The whole answer of a job; nullopt when a result is not valid UTF-8.
std::optional<api_answer> complete_answer(const submission& request,
                                          std::span<const std::string> results,
                                          uint64_t bundle_version);

api_answer job_state_answer(const job_id& id,
                            std::string_view state,
                            uint64_t bundle_version);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_API_H_
