// Tests that JSON text is measured without a parse.
#include "cyclamenwood/util/json_bounds.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace cyclamenwood {
namespace {

using nlohmann::json;

bool fits_depth(std::string_view text, size_t max_depth) {
  return is_within(text, {.max_depth = max_depth, .max_values = 1'000});
}

bool fits_values(std::string_view text, size_t max_values) {
  return is_within(text, {.max_depth = 1'000, .max_values = max_values});
}

TEST(json_bounds, depth_counts_open_arrays_and_objects) {
  EXPECT_TRUE(fits_depth("5", 0));
  EXPECT_FALSE(fits_depth("[]", 0));
  EXPECT_TRUE(fits_depth(R"([{"a":[]},{"a":[]},[[]]])", 3));
  EXPECT_FALSE(fits_depth(R"([{"a":[]}])", 2));
  EXPECT_FALSE(fits_depth("[[[", 2));
  EXPECT_TRUE(fits_depth("]]]][[", 2));
}

TEST(json_bounds, brackets_in_strings_are_text) {
  EXPECT_TRUE(fits_depth(R"(["[[[{{{"])", 1));
  EXPECT_TRUE(fits_depth(R"({"[[[":"]"})", 1));
  EXPECT_TRUE(fits_depth(R"(["\"[[["])", 1));
  EXPECT_TRUE(fits_depth(R"(["\\\"[[["])", 1));
  EXPECT_FALSE(fits_depth(R"(["\\",[]])", 1));
  EXPECT_FALSE(fits_depth(R"(["\\\\",[]])", 1));
  EXPECT_FALSE(fits_depth(R"(["]]]",[]])", 1));
  EXPECT_TRUE(fits_depth(R"(["[[)", 1));
  EXPECT_TRUE(fits_depth(R"(["\)", 1));
}

TEST(json_bounds, values_are_counted) {
  EXPECT_TRUE(fits_values("[1,2,3]", 4));
  EXPECT_FALSE(fits_values("[1,2,3]", 3));
  EXPECT_TRUE(fits_values(R"(["a,b,c,d"])", 2));
  EXPECT_FALSE(fits_values("[[],[],[]]", 3));
}

TEST(json_bounds, a_nul_is_never_within) {
  EXPECT_FALSE(is_within(std::string_view("{}\0", 3), json_bounds()));
  EXPECT_FALSE(is_within(std::string_view("{\"\0\":1}", 7), json_bounds()));
}

struct tree_size {
  size_t depth = 0;
  size_t values = 0;
};

tree_size measure(const json& tree) {
  tree_size size{tree.is_structured() ? size_t{1} : 0, 1};
  size_t below = 0;
  for (const json& child : tree.is_structured() ? tree : json::array()) {
    tree_size nested = measure(child);
    below = std::max(below, nested.depth);
    size.values += nested.values;
  }
  size.depth += below;
  return size;
}

json make_tree(std::mt19937& random, int levels) {
  static const char* const texts[] = {"",      "[",  "{\"", "\\",
                                      "\\\"[", ",,", "]}"};
  switch (random() % (levels > 0 ? 4 : 2)) {
    case 0:
      return random() % 100;
    case 1:
      return texts[random() % std::size(texts)];
    case 2: {
      json list = json::array();
      for (size_t count = random() % 4; count > 0; --count)
        list.push_back(make_tree(random, levels - 1));
      return list;
    }
    default: {
      json object = json::object();
      for (size_t count = random() % 4; count > 0; --count)
        object[texts[random() % std::size(texts)]] =
            make_tree(random, levels - 1);
      return object;
    }
  }
}

TEST(json_bounds, the_tree_of_an_accepted_text_is_within_the_bounds) {
  std::mt19937 random(20261205);
  for (int round = 0; round < 5'000; ++round) {
    json tree = make_tree(random, 6);
    tree_size size = measure(tree);
    std::string text = tree.dump(round % 2 == 0 ? -1 : 1);
    EXPECT_TRUE(fits_depth(text, size.depth)) << text;
    EXPECT_FALSE(size.depth > 0 && fits_depth(text, size.depth - 1)) << text;
    EXPECT_FALSE(fits_values(text, size.values - 1)) << text;
    EXPECT_TRUE(fits_values(text, 2 * size.values)) << text;
  }
}

}  // namespace
}  // namespace cyclamenwood
