// Names and HTTP statuses of the error codes are kept in one table, so that no
// code can have one without the other.
#include "cyclamenwood/error.h"

#include <algorithm>
#include <array>

namespace cyclamenwood {
namespace {

struct error_row {
  error_code code;
  std::string_view name;
  int status;
};

constexpr std::array ERROR_ROWS = {
    error_row{error_code::malformed_request, "malformed_request", 400},
    error_row{error_code::request_too_large, "request_too_large", 413},
    error_row{error_code::wrong_method, "wrong_method", 405},
    error_row{error_code::not_found, "not_found", 404},
    error_row{error_code::unknown_tenant, "unknown_tenant", 403},
    error_row{error_code::unknown_service, "unknown_service", 404},
    error_row{error_code::unknown_class, "unknown_class", 400},
    error_row{error_code::deadline_passed, "deadline_passed", 504},
    error_row{error_code::deadline_unreachable, "deadline_unreachable", 503},
    error_row{error_code::quota_exceeded, "quota_exceeded", 429},
    error_row{error_code::queue_full, "queue_full", 503},
    error_row{error_code::too_many_connections, "too_many_connections", 503},
    error_row{error_code::draining, "draining", 503},
    error_row{error_code::key_conflict, "key_conflict", 409},
    error_row{error_code::key_expired, "key_expired", 410},
    error_row{error_code::claim_unavailable, "claim_unavailable", 503},
    error_row{error_code::claim_table_full, "claim_table_full", 503},
    error_row{error_code::owner_unreachable, "owner_unreachable", 502},
    error_row{error_code::answer_not_held, "answer_not_held", 410},
    error_row{error_code::no_upstream, "no_upstream", 503},
    error_row{error_code::task_failed, "task_failed", 502},
    error_row{error_code::task_outcome_unknown, "task_outcome_unknown", 502},
    error_row{error_code::answer_mismatch, "answer_mismatch", 502},
    error_row{error_code::answer_too_large, "answer_too_large", 502},
    error_row{error_code::cancelled, "cancelled", 409},
    error_row{error_code::bundle_missing, "bundle_missing", 503},
    error_row{error_code::bundle_invalid, "bundle_invalid", 400},
    error_row{error_code::bundle_conflict, "bundle_conflict", 409},
    error_row{error_code::bundle_stale, "bundle_stale", 409},
    error_row{error_code::bundle_unavailable, "bundle_unavailable", 503},
    error_row{error_code::settings_invalid, "settings_invalid", 500},
    error_row{error_code::usage, "usage", 400},
    error_row{error_code::folder_not_formatted, "folder_not_formatted", 500},
    error_row{error_code::folder_already_formatted, "folder_already_formatted",
              500},
    error_row{error_code::log_corrupt, "log_corrupt", 500},
    error_row{error_code::write_failed, "write_failed", 500},
    error_row{error_code::connection_failed, "connection_failed", 502},
    error_row{error_code::listen_failed, "listen_failed", 500},
};

const error_row& row_of(error_code code) {
  const auto* row = std::find_if(
      ERROR_ROWS.begin(), ERROR_ROWS.end(),
      [code](const error_row& candidate) { return candidate.code == code; });
  return *row;
}

}  // namespace

std::string_view to_string(error_code code) {
  return row_of(code).name;
}

std::string_view to_string(execution value) {
  switch (value) {
    case execution::not_run:
      return "not_run";
    case execution::unknown:
      return "unknown";
    case execution::ran:
      return "ran";
  }
  return "unknown";
}

int http_status(error_code code) {
  return row_of(code).status;
}

std::string to_string(const error& value) {
  std::string text(to_string(value.code));
  if (!value.detail.empty())
    text += ": " + value.detail;
  return text;
}

}  // namespace cyclamenwood
