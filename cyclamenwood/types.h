// Basic types and functions shared by the reducers.
#ifndef CYCLAMENWOOD_TYPES_H_
#define CYCLAMENWOOD_TYPES_H_

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "cyclamenwood/error.h"

namespace cyclamenwood {

// Milliseconds since the Unix epoch. All stored times have this type.
using unix_ms = int64_t;

constexpr int64_t MS_PER_SECOND = 1000;

// Identifies a job: the tenant and the key chosen by the caller.
struct job_id {
  std::string tenant;
  std::string key;
  auto operator<=>(const job_id&) const = default;
};

// One incarnation of an entry host's process. A restarted process has another
// incarnation and keeps no state of the previous one.
struct entry_instance {
  std::string host;
  uint64_t incarnation = 0;
  bool operator==(const entry_instance&) const = default;
};

// The parts of a job key: `zone:expiry-seconds:rest`, `zone:rest` or `rest`.
struct parsed_key {
  std::string home_zone;
  // 0 when the key has no expiry.
  unix_ms expiry_ms = 0;
};

// Parses a job key. The home zone depends only on (tenant, key, zones), so that
// every submission of a key reaches the same claims group. A key that names no
// zone is assigned to the zone with the highest rendezvous hash.
parsed_key parse_key(std::string_view tenant,
                     std::string_view key,
                     std::span<const std::string> zones);

// Returns the SHA-256 digest of `text`, truncated to 16 bytes. Finding a
// collision takes about 2^64 operations.
std::string content_digest(std::string_view text);

// Returns a 64-bit hash (FNV-1a with a final mix) that is the same in all
// processes.
uint64_t stable_hash(std::string_view text);

// A log line that a reducer emits: the event's name and `key=value` pairs.
struct log_event {
  std::string event;
  std::string details;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TYPES_H_
