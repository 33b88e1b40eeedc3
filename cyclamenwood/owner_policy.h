// Decides which entry host shall own which shard of each availability zone's
// upstreams.
//
// Only a process of the zone itself is chosen, so that a zone that is cut off
// keeps its owners. An owner is replaced when it was restarted or drains, or
// when it has not been heard for OWNER_SILENCE_MS, and a process of its zone
// can take over. Who has been listening for a shorter time, or heard the first
// entry host a shorter time ago, can't tell silence and leaves silent owners
// alone: after a loss of power all come back one by one, each to its shard.
//
// A zone with many upstreams gets as many shards as it has entry hosts when it
// gets its first owner, any other zone one; that number stays. Shards are
// spread evenly over the zone's entry hosts, and moved when one has none.
#ifndef CYCLAMENWOOD_OWNER_POLICY_H_
#define CYCLAMENWOOD_OWNER_POLICY_H_

#include <map>
#include <string>
#include <vector>

#include "cyclamenwood/control_log.h"
#include "cyclamenwood/types.h"

namespace cyclamenwood {

// An owner that was silent for this long is replaced: three hellos in a row
// missed. Shorter than a run's lease, so that its runs may still be adopted.
constexpr int64_t OWNER_SILENCE_MS = 700;
// An entry host heard of for this long may be given a shard that another one
// has: as long as a lease, so that what its former life ran is over.
constexpr int64_t SETTLED_MS = 1'000;

struct owner_policy_options {
  // A zone with fewer upstreams has one pool, which queues best. So many bring
  // about 200 starts a second, 0.05 of a core for one owner: half of what the
  // smallest entry hosts have (docs/CAPACITY.md).
  uint32_t split_from_upstreams = 24;
  // Shards smaller than this leave no room for a wide job.
  uint32_t min_upstreams_a_shard = 8;
  // A zone gets its first owners after listening for this long: by then its
  // entry hosts have been heard, which sets the number of shards.
  int64_t founding_ms = 1'000;
};

// What a replica knows of one entry host.
struct known_entry_host {
  std::string zone;
  uint64_t incarnation = 0;
  bool draining = false;
  unix_ms first_heard_ms = 0;
  unix_ms heard_ms = 0;
  // When it was last told of the other entry hosts.
  unix_ms told_hosts_ms = 0;
  // The configuration that it has, as of its last hello, and the one that was
  // sent last, and when.
  uint64_t have_version = 0;
  uint64_t sent_version = 0;
  unix_ms config_sent_ms = 0;
  uint64_t sent_change = 0;
  // Of its last hello: it has all grants up to this token, and knows so many
  // upstreams of its zone.
  uint64_t have_token = 0;
  uint32_t upstreams = 0;
};

using entry_host_map = std::map<std::string, known_entry_host>;

// Grants to propose now; tokens are not set. `receiving_since_ms`: from when
// on every hello has been heard.
std::vector<wire::owner_grant> choose_owners(
    const control_log& log,
    const entry_host_map& hosts,
    unix_ms receiving_since_ms,
    unix_ms now,
    const owner_policy_options& options = {});

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_OWNER_POLICY_H_
