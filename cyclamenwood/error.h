// Typed errors. Every failure that a function or a process reports is an
// `error`: a code, and a detail that names the object or the cause.
//
//   result<settings> loaded = load_settings(path);
//   if (!ok(loaded))
//     return failure(loaded);
//   settings& all = value(loaded);
#ifndef CYCLAMENWOOD_ERROR_H_
#define CYCLAMENWOOD_ERROR_H_

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace cyclamenwood {

enum class error_code {
  // Requests.
  malformed_request,
  request_too_large,
  wrong_method,
  not_found,
  unknown_tenant,
  unknown_service,
  unknown_class,
  deadline_passed,
  deadline_unreachable,
  quota_exceeded,
  queue_full,
  too_many_connections,
  draining,
  // Claims.
  key_conflict,
  key_expired,
  claim_unavailable,
  claim_table_full,
  owner_unreachable,
  answer_not_held,
  // Tasks.
  no_upstream,
  task_failed,
  task_outcome_unknown,
  answer_mismatch,
  answer_too_large,
  cancelled,
  // Configuration.
  bundle_missing,
  bundle_invalid,
  bundle_conflict,
  bundle_stale,
  bundle_unavailable,
  // Settings and the command line.
  settings_invalid,
  usage,
  // Storage.
  folder_not_formatted,
  folder_already_formatted,
  log_corrupt,
  write_failed,
  // Transport.
  connection_failed,
  listen_failed,
};

struct error {
  error_code code = error_code::malformed_request;
  std::string detail;

  bool operator==(const error&) const = default;
};

// Either a value or the error that prevented it.
template <typename T>
using result = std::variant<T, error>;

// The value of a successful operation that has no other result.
struct done {
  bool operator==(const done&) const = default;
};

// What is certain about the tasks of a failed job or request.
enum class execution {
  not_run,  // No task has started and none will.
  unknown,  // A task may have started.
  ran,      // At least one task has started and all outcomes are known.
};

// The name used in answers, logs and documentation.
std::string_view to_string(error_code code);
std::string_view to_string(execution value);

// The HTTP status of an answer that reports this error.
int http_status(error_code code);

// "code: detail", or only "code" if the detail is empty. For logs and the
// command line.
std::string to_string(const error& value);

template <typename T>
bool ok(const result<T>& r) {
  return std::holds_alternative<T>(r);
}

// The value; `r` must hold one.
template <typename T>
T& value(result<T>& r) {
  return std::get<T>(r);
}

// The error; `r` must hold one.
template <typename T>
const error& failure(const result<T>& r) {
  return std::get<error>(r);
}

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ERROR_H_
