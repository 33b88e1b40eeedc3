// Error codes are mapped to exit codes in one place for all programs.
#include "cyclamenwood/util/program.h"

#include <absl/synchronization/mutex.h>
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace cyclamenwood {

int exit_code_of(const error& failed) {
  switch (failed.code) {
    case error_code::usage:
    case error_code::settings_invalid:
      return EXIT_CODE_USAGE;
    case error_code::connection_failed:
      return EXIT_CODE_UNREACHABLE;
    case error_code::listen_failed:
    case error_code::write_failed:
    case error_code::log_corrupt:
    case error_code::folder_not_formatted:
    case error_code::folder_already_formatted:
      return EXIT_CODE_SYSTEM;
    default:
      return EXIT_CODE_FAILED;
  }
}

int report_error(std::string_view program, const error& failed) {
  // fmt::print would throw if standard error can't be written.
  std::string line = fmt::format("{}: {}\n", program, to_string(failed));
  std::fputs(line.c_str(), stderr);
  return exit_code_of(failed);
}

void disable_lock_order_checks() {
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
}

std::string host_settings_path(const char* given) {
  if (given != nullptr)
    return given;
  const char* from_environment = std::getenv("CYCLAMENWOOD_CONFIG");
  return from_environment == nullptr ? "host.json" : from_environment;
}

}  // namespace cyclamenwood
