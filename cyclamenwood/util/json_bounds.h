// Bounds the memory that a JSON text takes when it is parsed into a tree, which
// may be a hundred times the text's size.
#ifndef CYCLAMENWOOD_UTIL_JSON_BOUNDS_H_
#define CYCLAMENWOOD_UTIL_JSON_BOUNDS_H_

#include <cstddef>
#include <string_view>

namespace cyclamenwood {

struct json_bounds {
  // Arrays and objects within each other.
  size_t max_depth = 32;
  // Values of all kinds, arrays and objects included.
  size_t max_values = 500'000;
};

// Returns whether a tree of this text stays within the bounds, without parsing
// it. False too if the text contains a NUL, where parsers stop. Other text that
// is not JSON has either result.
bool is_within(std::string_view text, const json_bounds& bounds);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_UTIL_JSON_BOUNDS_H_
