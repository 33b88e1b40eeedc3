// Tests of the checks of text from outside.
#include "cyclamenwood/util/text.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace cyclamenwood {
namespace {

TEST(text, utf8_is_recognized) {
  for (const char* valid :
       {"", "a", "\x7f", "\xc2\x80", "\xdf\xbf", "\xe0\xa0\x80", "\xed\x9f\xbf",
        "\xee\x80\x80", "\xef\xbf\xbf", "\xf0\x90\x80\x80", "\xf4\x8f\xbf\xbf"})
    EXPECT_TRUE(is_utf8(valid)) << escape_for_log(valid, 9);
  for (const char* invalid :
       {"\x80", "\xbf", "\xc0\x80", "\xc1\xbf", "\xc2", "\xc2\x41",
        "\xe0\x80\x80", "\xe0\x9f\xbf", "\xed\xa0\x80", "\xed\xbf\xbf",
        "\xe1\x80", "\xf0\x80\x80\x80", "\xf0\x8f\xbf\xbf", "\xf4\x90\x80\x80",
        "\xf5\x80\x80\x80", "\xf8\x88\x80\x80\x80", "\xfe", "\xff", "a\xff"})
    EXPECT_FALSE(is_utf8(invalid)) << escape_for_log(invalid, 9);
}

// nlohmann-json's dump throws at bytes that are not valid UTF-8.
TEST(text, utf8_of_random_bytes_is_recognized_like_by_the_json_library) {
  std::mt19937 random(20261205);
  const unsigned char drawn[] = {0x00, 0x41, 0x7f, 0x80, 0x8f, 0x90, 0x9f,
                                 0xa0, 0xbf, 0xc0, 0xc2, 0xdf, 0xe0, 0xe1,
                                 0xed, 0xef, 0xf0, 0xf1, 0xf4, 0xf5, 0xff};
  int valid_texts = 0;
  for (int round = 0; round < 50'000; ++round) {
    std::string bytes;
    for (size_t count = 1 + random() % 4; count > 0; --count)
      bytes += static_cast<char>(drawn[random() % std::size(drawn)]);
    bool valid = true;
    try {
      (void)nlohmann::json(bytes).dump();
    } catch (const nlohmann::json::type_error&) {
      valid = false;
    }
    valid_texts += valid ? 1 : 0;
    EXPECT_EQ(is_utf8(bytes), valid) << escape_for_log(bytes, 9);
  }
  EXPECT_GT(valid_texts, 1'000);
}

TEST(text, control_characters_are_not_printable) {
  EXPECT_TRUE(is_printable("i-7f3a91c2"));
  EXPECT_TRUE(is_printable("a b\xc3\xa9\xc2\xa0"));
  for (const std::string& text :
       {std::string("\0", 1), std::string("a\n"), std::string("a\r\nX: y"),
        std::string("\x1b[2J"), std::string("\x7f"), std::string("\xc2\x9b"),
        std::string("\xff")})
    EXPECT_FALSE(is_printable(text)) << escape_for_log(text, 9);
}

TEST(text, log_text_has_one_word_of_bounded_length) {
  EXPECT_EQ(escape_for_log("i-7f3a91c2", 64), "i-7f3a91c2");
  EXPECT_EQ(escape_for_log("a b\n\\\xff", 64), "a\\x20b\\x0a\\x5c\\xff");
  EXPECT_EQ(escape_for_log(std::string(1'000, 'x'), 3), "xxx...");
  EXPECT_EQ(escape_for_log("xxx", 3), "xxx");
}

}  // namespace
}  // namespace cyclamenwood
