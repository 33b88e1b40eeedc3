// Log lines on standard output, one an event: `time level event key=value…`.
//
// Lines go into a bounded buffer and are written when the reader takes them:
// logging never waits. A reader that is too slow costs lines, and an event that
// comes too often in a second is cut off; both are counted and said in a line
// of their own (`log_lines_dropped`, `log_lines_suppressed`).
#ifndef CYCLAMENWOOD_UTIL_LOG_H_
#define CYCLAMENWOOD_UTIL_LOG_H_

#include <cstdint>
#include <string_view>

#include "cyclamenwood/settings.h"

namespace cyclamenwood {

// Lines below this level are left out.
void set_log_level(log_level level);

// `details` holds the key=value pairs; payloads do not belong there.
void log_line(log_level level,
              std::string_view event,
              std::string_view details);

// Writes what the reader takes. Event loops call it before they wait; warnings
// and errors are written at once.
void flush_log();

struct log_counts {
  uint64_t lines = 0;
  uint64_t bytes = 0;
  // The reader did not keep up.
  uint64_t dropped = 0;
  // The event came too often.
  uint64_t suppressed = 0;
};
log_counts count_log();

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_UTIL_LOG_H_
