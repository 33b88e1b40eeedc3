// Each value but the first follows an opening bracket or a comma, so that their
// number bounds the number of values.
#include "cyclamenwood/util/json_bounds.h"

namespace cyclamenwood {
namespace {

// Returns the position of the quote that ends the string that begins after
// `begin`, or the size of the text.
size_t end_of_string(std::string_view text, size_t begin) {
  size_t at = begin + 1;
  while (at < text.size() && text[at] != '"')
    at += text[at] == '\\' ? 2 : 1;
  return at;
}

}  // namespace

bool is_within(std::string_view text, const json_bounds& bounds) {
  if (text.find('\0') != std::string_view::npos)
    return false;
  size_t depth = 0;
  size_t values = 1;
  for (size_t at = 0; at < text.size(); ++at) {
    switch (text[at]) {
      case '"':
        at = end_of_string(text, at);
        break;
      case '[':
      case '{':
        ++depth;
        ++values;
        break;
      case ']':
      case '}':
        depth -= depth > 0 ? 1 : 0;
        break;
      case ',':
        ++values;
        break;
      default:
        break;
    }
    if (depth > bounds.max_depth || values > bounds.max_values)
      return false;
  }
  return true;
}

}  // namespace cyclamenwood
