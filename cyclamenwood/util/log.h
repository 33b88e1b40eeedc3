// Log lines on standard output, one an event: `time level event key=value…`.
#ifndef CYCLAMENWOOD_UTIL_LOG_H_
#define CYCLAMENWOOD_UTIL_LOG_H_

#include <string_view>

#include "cyclamenwood/settings.h"

namespace cyclamenwood {

// Lines below this level are left out.
void set_log_level(log_level level);

// `details` holds the key=value pairs; payloads do not belong there.
void log_line(log_level level,
              std::string_view event,
              std::string_view details);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_UTIL_LOG_H_
