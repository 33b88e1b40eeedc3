#include "cyclamenwood/util/text.h"

#include <fmt/format.h>

#include <cstdint>
#include <iterator>
#include <optional>

namespace cyclamenwood {
namespace {

constexpr uint32_t FIRST_SURROGATE = 0xd800;
constexpr uint32_t LAST_SURROGATE = 0xdfff;
constexpr uint32_t LAST_CODE_POINT = 0x10ffff;
constexpr unsigned char DELETE = 0x7f;

// The lead bytes of sequences of one length, and the lowest code point that
// needs that length.
struct sequence_form {
  unsigned char mask;
  unsigned char lead;
  size_t bytes;
  uint32_t first;
};

constexpr sequence_form FORMS[] = {{0x80, 0x00, 1, 0},
                                   {0xe0, 0xc0, 2, 0x80},
                                   {0xf0, 0xe0, 3, 0x800},
                                   {0xf8, 0xf0, 4, 0x10000}};

// Removes the first code point from `bytes`. Returns nullopt if there is no
// valid one.
std::optional<uint32_t> take_code_point(std::string_view& bytes) {
  auto lead = static_cast<unsigned char>(bytes.front());
  for (const sequence_form& form : FORMS) {
    if ((lead & form.mask) != form.lead)
      continue;
    if (bytes.size() < form.bytes)
      return std::nullopt;
    uint32_t point = lead & static_cast<unsigned char>(~form.mask);
    for (char next : bytes.substr(1, form.bytes - 1)) {
      if ((static_cast<unsigned char>(next) & 0xc0) != 0x80)
        return std::nullopt;
      point = point << 6 | (static_cast<unsigned char>(next) & 0x3f);
    }
    bool is_surrogate = point >= FIRST_SURROGATE && point <= LAST_SURROGATE;
    if (point < form.first || point > LAST_CODE_POINT || is_surrogate)
      return std::nullopt;
    bytes.remove_prefix(form.bytes);
    return point;
  }
  return std::nullopt;
}

bool is_control(uint32_t point) {
  return point < 0x20 || (point >= DELETE && point < 0xa0);
}

}  // namespace

bool is_utf8(std::string_view bytes) {
  while (!bytes.empty()) {
    if (!take_code_point(bytes))
      return false;
  }
  return true;
}

bool is_printable(std::string_view bytes) {
  while (!bytes.empty()) {
    std::optional<uint32_t> point = take_code_point(bytes);
    if (!point || is_control(*point))
      return false;
  }
  return true;
}

std::string escape_for_log(std::string_view bytes, size_t max_bytes) {
  std::string escaped;
  for (char next : bytes.substr(0, max_bytes)) {
    auto byte = static_cast<unsigned char>(next);
    if (byte > ' ' && byte < DELETE && next != '\\')
      escaped += next;
    else
      fmt::format_to(std::back_inserter(escaped), "\\x{:02x}", byte);
  }
  if (bytes.size() > max_bytes)
    escaped += "...";
  return escaped;
}

}  // namespace cyclamenwood
