// Key parsing and hashing. Rendezvous hashing (Thaler and Ravishankar, 1998)
// needs no state: the key is hashed with each zone, and the zone with the
// highest hash is chosen.
#include "cyclamenwood/types.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace cyclamenwood {
namespace {

constexpr size_t DIGEST_BYTES = 16;
constexpr uint64_t FNV_OFFSET = 0xcbf29ce484222325;
constexpr uint64_t FNV_PRIME = 0x100000001b3;

std::string rendezvous_zone(std::string_view tenant,
                            std::string_view key,
                            std::span<const std::string> zones) {
  const std::string* best = nullptr;
  uint64_t best_score = 0;
  for (const std::string& zone : zones) {
    std::string text = zone;
    text += '\0';
    text += tenant;
    text += '\0';
    text += key;
    uint64_t score = stable_hash(text);
    if (best == nullptr || score > best_score) {
      best = &zone;
      best_score = score;
    }
  }
  return best == nullptr ? std::string() : *best;
}

}  // namespace

parsed_key parse_key(std::string_view tenant,
                     std::string_view key,
                     std::span<const std::string> zones) {
  parsed_key parsed;
  size_t colon = key.find(':');
  std::string_view head = colon == std::string_view::npos
                              ? std::string_view()
                              : key.substr(0, colon);
  if (std::find(zones.begin(), zones.end(), head) == zones.end()) {
    parsed.home_zone = rendezvous_zone(tenant, key, zones);
    return parsed;
  }
  parsed.home_zone = head;
  std::string_view rest = key.substr(colon + 1);
  size_t second = rest.find(':');
  if (second == std::string_view::npos)
    return parsed;
  std::string_view digits = rest.substr(0, second);
  constexpr size_t MAX_EXPIRY_DIGITS = 12;
  if (digits.empty() || digits.size() > MAX_EXPIRY_DIGITS)
    return parsed;
  int64_t seconds = 0;
  auto [end, status] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  bool is_number =
      status == std::errc() && end == digits.data() + digits.size();
  if (is_number && seconds > 0)
    parsed.expiry_ms = seconds * MS_PER_SECOND;
  return parsed;
}

std::string content_digest(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return {reinterpret_cast<const char*>(digest.data()), DIGEST_BYTES};
}

uint64_t stable_hash(std::string_view text) {
  uint64_t hash = FNV_OFFSET;
  for (unsigned char byte : text) {
    hash ^= byte;
    hash *= FNV_PRIME;
  }
  hash ^= hash >> 32;
  hash *= 0xd6e8feb86659fd93;
  hash ^= hash >> 32;
  return hash;
}

}  // namespace cyclamenwood
