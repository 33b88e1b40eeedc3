// Checks of text from outside before it reaches messages, headers and log
// lines.
#ifndef CYCLAMENWOOD_UTIL_TEXT_H_
#define CYCLAMENWOOD_UTIL_TEXT_H_

#include <string>
#include <string_view>

namespace cyclamenwood {

// Whether the bytes are valid UTF-8. A protobuf message with a `string` field
// that is not is rejected by its receiver as a whole.
bool is_utf8(std::string_view bytes);

// Whether the bytes are valid UTF-8 without control characters (U+0000 to
// U+001F, U+007F to U+009F).
bool is_printable(std::string_view bytes);

// Returns the text for a log line: bytes other than printable ASCII and
// backslashes become \xHH, and what exceeds `max_bytes` bytes of the input is
// replaced by "...".
std::string escape_for_log(std::string_view bytes, size_t max_bytes);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_UTIL_TEXT_H_
