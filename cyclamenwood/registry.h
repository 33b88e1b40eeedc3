// The upstreams an entry host knows, and how entry hosts share that knowledge.
//
// An upstream announces itself to one entry host, its holder, and keeps a
// lease there by doing so. The holder tells the others joins, changes and
// leaves at once. Renewals stay with the holder: each second it vouches for
// the whole set it holds by count and digest. A receiver whose copy has
// another digest asks for the differing buckets. A set that is not vouched
// for in time is not used, so a lost leave or a dead holder stops new work
// within the vouch timeout.
//
// Each holder's set is copied as it is, so that digests can agree whatever
// another holder says of the same upstream. Of several records of one
// upstream the view takes the one with the highest incarnation; within an
// incarnation `leaving` is final, then the higher sequence counts. Records
// that left or expired are remembered for a while, so that late messages do
// not revive them.
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
  // Own set, nonzero for records that left: when they go.
  unix_ms forget_at_ms = 0;
};

// The view of one upstream over all sets.
struct known_upstream {
  wire::upstream record;
  // The entry host that hears the announcements; may be this one.
  std::string holder;
  // Own leases only.
  unix_ms lease_until_ms = 0;
  // No set has a record any more that would count.
  bool expired = false;
  // Nonzero for records that left or expired: when to forget them.
  unix_ms forget_at_ms = 0;
};

// Another entry host, as it describes itself.
struct known_holder {
  uint64_t incarnation = 0;
  unix_ms last_contact_ms = 0;
  // Until then its set may be used.
  unix_ms vouched_until_ms = 0;
  bool draining = false;
  std::map<std::string, uint32_t, std::less<>> demand;
};

struct registry {
  std::string self;
  membership_settings options;
  // By holder and id. Invariant: `upstreams` has the best record of each id.
  std::map<std::string,
           std::map<std::string, held_upstream, std::less<>>,
           std::less<>>
      sets;
  std::map<std::string, known_upstream, std::less<>> upstreams;
  std::map<std::string, known_holder, std::less<>> holders;
  // Ids by service, for all records that are not forgotten.
  std::map<std::string, std::set<std::string>, std::less<>> by_service;
  // Own changes that the other entry hosts have not been told.
  wire::upstream_delta outgoing;
  // Grows with every change of `upstreams`.
  uint64_t revision = 0;
  unix_ms vouch_at_ms = 0;
};

enum class announce_result { renewed, changed, outdated };

// Takes an announcement that this entry host heard itself.
announce_result registry_announce(registry& all,
                                  const wire::upstream& record,
                                  unix_ms now);

// Ends own leases that ran out and forgets old records.
void registry_expire(registry& all, unix_ms now);

// Takes the changes to send to all other entry hosts.
wire::upstream_delta registry_take_outgoing(registry& all);

wire::vouch registry_vouch(const registry& all);

// Returns the request to send when the copy of `from`'s set differs.
std::optional<wire::sync_request> registry_receive_vouch(
    registry& all,
    std::string_view from,
    uint64_t incarnation,
    const wire::vouch& vouch,
    unix_ms now);

wire::upstream_delta registry_answer_sync(const registry& all,
                                          const wire::sync_request& request);

void registry_receive_delta(registry& all,
                            std::string_view from,
                            const wire::upstream_delta& delta,
                            unix_ms now);

// May get new tasks as far as its lease goes.
bool registry_usable(const registry& all,
                     const known_upstream& upstream,
                     unix_ms now);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_REGISTRY_H_
