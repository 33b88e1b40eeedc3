// Replaces a replica whose data folder or host was lost: the new identity
// catches up as a learner, the lost identity is removed from the membership,
// and the new one is added.
//
// A voter that is about to stop (raft_leave.cc) is replaced while it still
// runs: the learner is added first, and the leaving voter is removed when all
// voters in contact have that membership. A vote of each of them can then be
// counted on.
#include "cyclamenwood/raft_internal.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cyclamenwood {
namespace {

const wire::member* member_on_host(const raft_group& group,
                                   std::string_view host,
                                   uint64_t other_than) {
  for (const wire::member& voter : group.members.voters()) {
    if (voter.host() == host && voter.identity() != other_than)
      return &voter;
  }
  return nullptr;
}

// Whether the initial membership from the settings has a replica on this host.
bool is_initial_host(const raft_group& group, std::string_view host) {
  return std::any_of(
      group.initial_members.voters().begin(),
      group.initial_members.voters().end(),
      [host](const wire::member& voter) { return voter.host() == host; });
}

// Time since the replica's last message, or 0 without a progress record.
int64_t silent_ms(const raft_group& group, uint64_t identity, int64_t now) {
  auto progress = group.progress.find(identity);
  return progress == group.progress.end()
             ? 0
             : now - progress->second.last_contact_ms;
}

void record_step(const raft_group& group,
                 membership_step step,
                 const std::string& host,
                 uint64_t identity,
                 int64_t now,
                 raft_output& out) {
  out.membership_events.push_back(
      {step, host, silent_ms(group, identity, now)});
}

void propose_members(raft_group& group,
                     wire::membership members,
                     int64_t now,
                     raft_output& out) {
  wire::command command;
  command.set_stamp_ms(now);
  *command.mutable_members() = std::move(members);
  raft_propose(group, command, out);
  sync_progress_with_members(group, now);
}

// Removes learners whose host has announced another identity in the meantime.
void drop_stale_learners(raft_group& group) {
  std::erase_if(group.progress, [&group](const auto& item) {
    auto announced = group.announced_identities.find(item.second.host);
    return item.second.learner &&
           (announced == group.announced_identities.end() ||
            announced->second != item.first);
  });
}

void start_learner(raft_group& group,
                   const std::string& host,
                   uint64_t identity,
                   int64_t now,
                   raft_output& out) {
  raft_progress& learner = group.progress[identity];
  learner.host = host;
  learner.learner = true;
  learner.next = raft_last_index(group) + 1;
  learner.last_contact_ms = now;
  learner.round_end = raft_last_index(group);
  learner.round_started_ms = now;
  record_step(group, membership_step::learner_started, host, identity, now,
              out);
  send_append(group, identity, learner, now, out);
}

// A learner has caught up when, within one election timeout, it has replicated
// the log as it was at the start of the round (Ongaro 2014, section 4.2.1).
// Starts the next round when the current one is complete.
bool is_caught_up(const raft_group& group,
                  raft_progress& learner,
                  int64_t now) {
  if (learner.match < learner.round_end || learner.match == 0)
    return false;
  bool in_time =
      now - learner.round_started_ms <= group.options.election_timeout_ms;
  bool in_contact =
      now - learner.last_contact_ms <= group.options.election_timeout_ms;
  learner.round_end = raft_last_index(group);
  learner.round_started_ms = now;
  return in_time && in_contact;
}

// Returns the number of voters other than `leaving` in the availability zone of
// `host`, or 0 when that zone is not known.
int64_t voters_in_zone_of(const raft_group& group,
                          const std::string& host,
                          uint64_t leaving) {
  auto zone = group.zones.find(host);
  if (zone == group.zones.end())
    return 0;
  return std::count_if(
      group.members.voters().begin(), group.members.voters().end(),
      [&](const wire::member& voter) {
        auto other = group.zones.find(voter.host());
        return voter.identity() != leaving && other != group.zones.end() &&
               other->second == zone->second;
      });
}

// The largest number of voters in one availability zone such that the loss of
// the zone leaves a majority.
int64_t max_voters_per_zone(const raft_group& group) {
  return std::max((group.options.target_voters - 1) / 2, 1);
}

// The number of voters that the group keeps while none is being replaced.
int max_voters(const raft_group& group) {
  return std::max(group.options.target_voters,
                  group.initial_members.voters_size());
}

// Returns a voter that is about to stop and that a replica on `host` can
// replace, or null.
const wire::member* find_leaving_voter(const raft_group& group,
                                       const std::string& host,
                                       int64_t now) {
  for (const wire::member& voter : group.members.voters()) {
    if (is_leaving(group, voter.identity(), now) &&
        zone_has_place(group, host, voter.identity()))
      return &voter;
  }
  return nullptr;
}

// Returns a voter that has been out of contact long enough for a replica on
// `host` to replace it, or null. If the zone of `host` already has its share of
// voters, the longer `replace_in_any_zone_after_ms` applies, so that a replica
// in another zone is preferred when there is one.
const wire::member* find_unresponsive_voter(const raft_group& group,
                                            const std::string& host,
                                            int64_t now) {
  if (!group.options.open_membership)
    return nullptr;
  for (const wire::member& voter : group.members.voters()) {
    auto progress = group.progress.find(voter.identity());
    if (voter.identity() == group.self.identity() ||
        progress == group.progress.end())
      continue;
    int64_t since_contact_ms = now - progress->second.last_contact_ms;
    int64_t allowed_ms = zone_has_place(group, host, voter.identity())
                             ? group.options.replace_after_ms
                             : group.options.replace_in_any_zone_after_ms;
    if (since_contact_ms > allowed_ms)
      return &voter;
  }
  return nullptr;
}

// Whether a replica on `host` may become a voter without replacing another one.
bool can_add_voter(const raft_group& group, const std::string& host) {
  int voters = group.members.voters_size();
  if (!group.options.open_membership ||
      voters < group.initial_members.voters_size())
    return true;
  return voters < group.options.target_voters && group.zones.contains(host) &&
         zone_has_place(group, host, 0);
}

// Whether a learner on `host` may become a voter now: there is a place, or a
// voter is about to leave one.
bool has_place(const raft_group& group, const std::string& host, int64_t now) {
  return can_add_voter(group, host) ||
         (group.options.open_membership &&
          find_leaving_voter(group, host, now) != nullptr);
}

// Returns the voter that the new replica replaces: the previous replica of its
// host, or an unresponsive voter when no voter can be added. Null if there is
// none. Each new replica replaces one voter only: two removals for it would
// leave an even number of voters.
const wire::member* voter_to_replace(const raft_group& group,
                                     const std::string& host,
                                     uint64_t new_identity,
                                     int64_t now) {
  const wire::member* previous = member_on_host(group, host, new_identity);
  if (previous != nullptr || has_place(group, host, now))
    return previous;
  return find_unresponsive_voter(group, host, now);
}

wire::membership without(const wire::membership& members, uint64_t identity) {
  wire::membership remaining;
  for (const wire::member& voter : members.voters()) {
    if (voter.identity() != identity)
      *remaining.add_voters() = voter;
  }
  return remaining;
}

void propose_removal(raft_group& group,
                     const wire::member& voter,
                     int64_t now,
                     raft_output& out) {
  record_step(group, membership_step::voter_removed, voter.host(),
              voter.identity(), now, out);
  propose_members(group, without(group.members, voter.identity()), now, out);
}

// Whether all voters that are in contact have the membership in force.
bool members_are_replicated(const raft_group& group, int64_t now) {
  return std::all_of(
      group.progress.begin(), group.progress.end(), [&](const auto& item) {
        const auto& [identity, progress] = item;
        return identity == group.self.identity() || progress.learner ||
               !is_in_contact(group, identity, now) ||
               progress.match >= group.members_index;
      });
}

// The voter to remove when there is one too many: one that is about to stop,
// otherwise one that is out of contact, otherwise one of the zone with the most
// voters. Never this replica.
const wire::member* surplus_voter(const raft_group& group, int64_t now) {
  auto rank = [&](const wire::member& voter) {
    return std::tuple(voter.identity() != group.self.identity(),
                      is_leaving(group, voter.identity(), now),
                      !is_in_contact(group, voter.identity(), now),
                      voters_in_zone_of(group, voter.host(), 0));
  };
  return &*std::max_element(group.members.voters().begin(),
                            group.members.voters().end(),
                            [&](const wire::member& a, const wire::member& b) {
                              return rank(a) < rank(b);
                            });
}

}  // namespace

bool is_in_contact(const raft_group& group, uint64_t identity, int64_t now) {
  return silent_ms(group, identity, now) <= group.options.election_timeout_ms;
}

bool zone_has_place(const raft_group& group,
                    const std::string& host,
                    uint64_t replaced) {
  return voters_in_zone_of(group, host, replaced) < max_voters_per_zone(group);
}

bool can_change_members(const raft_group& group) {
  return raft_leader_ready(group) && group.members_index <= group.commit_index;
}

bool has_surplus(const raft_group& group) {
  return group.options.open_membership &&
         group.members.voters_size() > max_voters(group);
}

// Starts learners and proposes at most one membership change at a time. The
// lost identity is removed before the new one is added. While the lost identity
// counts, the group needs all the other voters anyway; adding first could
// require the vote of a replica that does not know yet that it is a voter.
void advance_membership(raft_group& group, int64_t now, raft_output& out) {
  drop_stale_learners(group);
  if (!can_change_members(group) || group.handover_target != 0)
    return;
  if (has_surplus(group)) {
    if (members_are_replicated(group, now))
      propose_removal(group, *surplus_voter(group, now), now, out);
    return;
  }
  for (const auto& [host, identity] : group.announced_identities) {
    if (raft_is_voter(group, identity))
      continue;
    auto found = group.progress.find(identity);
    if (found == group.progress.end()) {
      if (group.options.open_membership || is_initial_host(group, host))
        start_learner(group, host, identity, now, out);
      continue;
    }
    if (!is_caught_up(group, found->second, now))
      continue;
    if (!found->second.caught_up) {
      found->second.caught_up = true;
      record_step(group, membership_step::learner_caught_up, host, identity,
                  now, out);
    }
    const wire::member* replaced = voter_to_replace(group, host, identity, now);
    if (replaced != nullptr) {
      propose_removal(group, *replaced, now, out);
      return;
    }
    if (!has_place(group, host, now))
      continue;
    wire::membership members = group.members;
    wire::member& added = *members.add_voters();
    added.set_host(host);
    added.set_identity(identity);
    record_step(group, membership_step::voter_added, host, identity, now, out);
    propose_members(group, std::move(members), now, out);
    return;
  }
}

std::string_view to_string(membership_step step) {
  switch (step) {
    case membership_step::learner_started:
      return "learner_started";
    case membership_step::learner_caught_up:
      return "learner_caught_up";
    case membership_step::voter_added:
      return "voter_added";
    case membership_step::voter_removed:
      return "voter_removed";
  }
  return "unknown";
}

void raft_record_announcement(raft_group& group,
                              std::string_view host,
                              uint64_t identity) {
  group.announced_identities[std::string(host)] = identity;
  group.leaving_until_ms.erase(identity);
}

}  // namespace cyclamenwood
