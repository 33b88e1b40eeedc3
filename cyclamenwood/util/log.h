// Writes log lines to standard output, one per event, in the format
// `time level event key=value...`.
//
//   log_line(log_level::info, "ownership_taken", "pool=kranj token=7");
//
// Logging never blocks: lines are appended to a bounded buffer, which is
// written as far as the reader of standard output accepts data. Lines are
// dropped when the buffer is full, and lines of one event are suppressed above
// a limit per second. Both are counted and reported by log lines of their own
// (`log_lines_dropped`, `log_lines_suppressed`).
//
// All functions are thread-safe.
#ifndef CYCLAMENWOOD_UTIL_LOG_H_
#define CYCLAMENWOOD_UTIL_LOG_H_

#include <cstdint>
#include <string_view>

#include "cyclamenwood/settings.h"

namespace cyclamenwood {

// Lines below this level are discarded. The default is info.
void set_log_level(log_level level);

// Logs one event. `details` holds the key=value pairs; it must not contain
// payloads.
void log_line(log_level level,
              std::string_view event,
              std::string_view details);

// Writes the buffered lines as far as the reader accepts them. Event loops call
// this before they block; warnings and errors are flushed immediately.
void flush_log();

// Totals since the process started.
struct log_counts {
  // Lines accepted into the buffer.
  uint64_t lines = 0;
  uint64_t bytes = 0;
  // Lines dropped because the buffer was full.
  uint64_t dropped = 0;
  // Lines above the limit per event and second.
  uint64_t suppressed = 0;
};
log_counts get_log_counts();

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_UTIL_LOG_H_
