// Small vocabulary types shared by the reducers.
#ifndef CYCLAMENWOOD_TYPES_H_
#define CYCLAMENWOOD_TYPES_H_

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "cyclamenwood/error.h"

namespace cyclamenwood {

// Milliseconds since the Unix epoch. All stored times are of this type.
using unix_ms = int64_t;

constexpr int64_t MS_PER_SECOND = 1000;

// What names a job: the tenant and the key that the caller chose.
struct job_id {
  std::string tenant;
  std::string key;
  auto operator<=>(const job_id&) const = default;
};

// One run of an entry host's process. A restarted process has another
// incarnation and inherits nothing.
struct entry_instance {
  std::string host;
  uint64_t incarnation = 0;
  bool operator==(const entry_instance&) const = default;
};

// A job key taken apart: `zone:expiry-seconds:rest`, `zone:rest` or `rest`.
struct parsed_key {
  std::string home_zone;
  // 0 when the key carries no expiry.
  unix_ms expiry_ms = 0;
};

// The home is a function of (tenant, key, zones) alone, so that every
// submission of a key meets the same claims group. A key that names no zone
// goes to the zone with the highest rendezvous hash.
parsed_key parse_key(std::string_view tenant,
                     std::string_view key,
                     std::span<const std::string> zones);

// SHA-256 of `text`, cut to 16 bytes: collisions need 2^64 work.
std::string content_digest(std::string_view text);

// A stable 64-bit hash (FNV-1a with a final mix), the same in all processes.
uint64_t stable_hash(std::string_view text);

// A log line that a reducer wants written: an event's name and `key=value`
// pairs.
struct event_note {
  std::string event;
  std::string details;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TYPES_H_
