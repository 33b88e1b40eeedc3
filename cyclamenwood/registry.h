// The upstreams known to an entry host, and the replication of that knowledge
// between entry hosts.
//
// An upstream announces itself to one entry host, its holder, and so keeps a
// lease there. The holder sends joins, changes and leaves to the other entry
// hosts at once. Lease renewals stay with the holder: each second it sends a
// digest message with the count and digest of the whole set that it holds. A
// receiver whose copy has another digest requests the buckets that differ. A
// set without a matching digest message within the vouch timeout is not used,
// so that a lost leave or a dead holder stops new work within that time.
//
// The set of each holder is replicated separately, so that digests can match
// whatever another holder reports about the same upstream. Among several
// records of one upstream, the view takes the one with the highest incarnation;
// within an incarnation `leaving` is final, then the higher sequence counts.
// Records that left or expired are retained for a while, so that late messages
// do not revive them.
//
//   registry_announce(all, record, now);       // an announcement arrived
//   registry_receive_delta(all, from, delta, now);
//   send(registry_take_outgoing(all));         // to all other entry hosts
//   registry_expire(all, now);                 // periodically
//
// `now` is in milliseconds since the Unix epoch.
#ifndef CYCLAMENWOOD_REGISTRY_H_
#define CYCLAMENWOOD_REGISTRY_H_

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenwood/settings.h"
#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

constexpr size_t REGISTRY_BUCKETS = 32;

// One record of a holder's set.
struct held_upstream {
  wire::upstream record;
  // Own set only.
  unix_ms lease_until_ms = 0;
  // Own set only; nonzero for records that left: when to remove them.
  unix_ms forget_at_ms = 0;
};

// The merged view of one upstream over all sets.
struct upstream_view {
  wire::upstream record;
  // The entry host that receives the announcements; may be this one.
  std::string holder;
  // Own leases only.
  unix_ms lease_until_ms = 0;
  // No set holds a record that counts any more.
  bool expired = false;
  // Nonzero for records that left or expired: when to remove them.
  unix_ms forget_at_ms = 0;
};

// The last reported state of another entry host.
struct holder_view {
  uint64_t incarnation = 0;
  unix_ms last_contact_ms = 0;
  // Its set may be used until this time.
  unix_ms usable_until_ms = 0;
  bool draining = false;
  std::map<std::string, uint32_t, std::less<>> demand;
};

struct registry {
  std::string self;
  membership_settings options;
  // Records by holder and upstream id. Invariant: `upstreams` has the best
  // record of each id.
  std::map<std::string,
           std::map<std::string, held_upstream, std::less<>>,
           std::less<>>
      sets;
  std::map<std::string, upstream_view, std::less<>> upstreams;
  std::map<std::string, holder_view, std::less<>> holders;
  // Ids by service, of all records in `upstreams`.
  std::map<std::string, std::set<std::string>, std::less<>> by_service;
  // Own changes that have not been sent to the other entry hosts.
  wire::upstream_delta outgoing;
  // Grows with every change of `upstreams` other than a renewal.
  uint64_t revision = 0;
  unix_ms next_digest_ms = 0;
};

enum class announce_result {
  // Only the lease was renewed.
  renewed,
  // The record is new or differs; it will be sent to the other entry hosts.
  changed,
  // A newer record is known; nothing was changed.
  outdated
};

// Handles an announcement that this entry host received from the upstream
// itself, and renews the lease.
announce_result registry_announce(registry& all,
                                  const wire::upstream& record,
                                  unix_ms now);

// Drops own records whose lease expired, the sets of unresponsive holders, and
// old records of upstreams that left or expired.
void registry_expire(registry& all, unix_ms now);

// Returns the own changes since the last call, which are to be sent to all
// other entry hosts.
wire::upstream_delta registry_take_outgoing(registry& all);

// Returns the digest message for the own set; the caller adds the load.
wire::vouch registry_make_digest(const registry& all);

// Handles a digest message. Returns the request to send to `from` when the copy
// of its set differs, or nothing.
std::optional<wire::sync_request> registry_receive_digest(
    registry& all,
    std::string_view from,
    uint64_t incarnation,
    const wire::vouch& vouch,
    unix_ms now);

// Returns the own records of all buckets whose digest differs.
wire::upstream_delta registry_answer_sync(const registry& all,
                                          const wire::sync_request& request);

// Applies the changes of the set that `from` holds.
void registry_receive_delta(registry& all,
                            std::string_view from,
                            const wire::upstream_delta& delta,
                            unix_ms now);

// Returns whether the upstream may get new tasks according to its state, and
// its lease or its holder's digest messages.
bool registry_usable(const registry& all,
                     const upstream_view& upstream,
                     unix_ms now);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_REGISTRY_H_
