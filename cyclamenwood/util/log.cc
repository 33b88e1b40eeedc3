// Each line is written by one call, so that lines of several threads do not
// mix.
#include "cyclamenwood/util/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <cstdio>

namespace cyclamenwood {
namespace {

std::atomic<log_level> current_level{log_level::info};

std::string_view level_name(log_level level) {
  switch (level) {
    case log_level::debug:
      return "debug";
    case log_level::info:
      return "info";
    case log_level::warning:
      return "warning";
    case log_level::error:
      return "error";
  }
  return "info";
}

}  // namespace

void set_log_level(log_level level) {
  current_level = level;
}

void log_line(log_level level,
              std::string_view event,
              std::string_view details) {
  if (level < current_level.load())
    return;
  auto now = std::chrono::system_clock::now();
  auto since = now.time_since_epoch();
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since) % 1000;
  std::string line = fmt::format(
      "{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}{}{}\n",
      fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms.count(),
      level_name(level), event, details.empty() ? "" : " ", details);
  std::fwrite(line.data(), 1, line.size(), stdout);
  std::fflush(stdout);
}

}  // namespace cyclamenwood
