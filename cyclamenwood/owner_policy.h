// Decides which entry host owns which shard of each availability zone's
// upstreams.
//
// Only entry hosts of the zone itself are eligible, so that a partitioned zone
// keeps its owners. An owner is replaced if it was restarted, is draining, or
// has been silent for OWNER_TIMEOUT_MS, provided that another entry host of its
// zone can take over. A replica that started to receive hellos, or received
// its very first hello from an entry host, less than that time ago can't
// distinguish a failed owner from one that has not reported yet. It
// doesn't replace silent owners, so that after a power loss the entry hosts
// that return one by one get their own shards back.
//
// The number of shards of a zone is fixed when it gets its first owner. A zone
// with many upstreams gets one per entry host, or fewer if its shards would be
// too small; any other zone gets a single one. Shards are spread evenly over
// the zone's entry hosts, and some are moved when an entry host has none.
#ifndef CYCLAMENWOOD_OWNER_POLICY_H_
#define CYCLAMENWOOD_OWNER_POLICY_H_

#include <map>
#include <string>
#include <vector>

#include "cyclamenwood/control_log.h"
#include "cyclamenwood/types.h"

namespace cyclamenwood {

// An owner that has been silent for this long is replaced; three consecutive
// hellos are then missing. This is shorter than the lease of a run, so that the
// new owner can still adopt the runs.
constexpr int64_t OWNER_TIMEOUT_MS = 700;
// An entry host that was last heard longer ago gets no shard: one hello is
// missing.
constexpr int64_t CANDIDATE_TIMEOUT_MS = 400;
// The time between two returns of an entry host.
constexpr int64_t RETURN_EXPIRY_MS = 5'000;
// An entry host must have been known for this long before a shard is moved to
// it from another one. This is the duration of a lease, so that the runs of its
// previous incarnation have ended.
constexpr int64_t MIN_OWNER_AGE_MS = 1'000;

struct owner_policy_options {
  // A zone with fewer upstreams has a single pool, as one queue serves best. At
  // this size an owner handles about 200 starts a second, which takes 0.05 of a
  // core: half of what the smallest entry hosts have (docs/CAPACITY.md).
  uint32_t min_upstreams_to_split = 24;
  // In smaller shards a wide job would not find enough capacity.
  uint32_t min_upstreams_per_shard = 8;
  // The first owners of a zone are chosen after hellos have been received for
  // this long. By then its entry hosts, whose number determines the number of
  // shards, have reported.
  int64_t first_grant_delay_ms = 1'000;
};

// The last reported state of one entry host, as a replica has it.
struct known_entry_host {
  std::string zone;
  uint64_t incarnation = 0;
  bool draining = false;
  unix_ms first_contact_ms = 0;
  unix_ms last_contact_ms = 0;
  // When its hellos came again after a gap of more than OWNER_TIMEOUT_MS. Later
  // gaps do not count until RETURN_EXPIRY_MS after that: a host that is often
  // late would otherwise keep its zone from replacing an owner that has failed.
  unix_ms in_contact_since_ms = 0;
  // When the list of the other entry hosts was last sent to it.
  unix_ms hosts_sent_ms = 0;
  // The configuration version that the entry host had as of its last hello, and
  // the version that was last sent to it and when.
  uint64_t have_version = 0;
  uint64_t sent_version = 0;
  unix_ms config_sent_ms = 0;
  uint64_t sent_change = 0;
  // As of its last hello: it has all grants up to this token, and this number
  // of upstreams of its zone.
  uint64_t have_token = 0;
  uint32_t upstreams = 0;
  // Its processor capacity, in thousandths of a core; 0: not known.
  uint32_t processor_milli = 0;
  // The revision of the list of evacuated zones that it had as of its last
  // hello.
  uint64_t have_evacuations = 0;
};

using entry_host_map = std::map<std::string, known_entry_host>;

// Records the arrival of a hello.
void record_contact(known_entry_host& host, unix_ms now);

// Returns the grants to propose now, without tokens. `receiving_since_ms` is
// the time since which all hellos have been received.
std::vector<wire::owner_grant> choose_owners(
    const control_log& log,
    const entry_host_map& hosts,
    unix_ms receiving_since_ms,
    unix_ms now,
    const owner_policy_options& options = {});

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_OWNER_POLICY_H_
