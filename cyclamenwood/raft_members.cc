// Replacing a replica whose data folder or host was lost: catch the new
// identity up as a learner, remove the lost one, add the new one.
#include "cyclamenwood/raft_internal.h"

#include <algorithm>
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

// Whether the settings' first membership has a replica on this host.
bool is_placed(const raft_group& group, std::string_view host) {
  return std::any_of(
      group.initial_members.voters().begin(),
      group.initial_members.voters().end(),
      [host](const wire::member& voter) { return voter.host() == host; });
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

// Drops learners whose host has announced another identity since.
void drop_stale_learners(raft_group& group) {
  std::erase_if(group.progress, [&group](const auto& item) {
    auto stranger = group.strangers.find(item.second.host);
    return item.second.learner && (stranger == group.strangers.end() ||
                                   stranger->second != item.first);
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
  learner.last_heard_ms = now;
  learner.round_end = raft_last_index(group);
  learner.round_started_ms = now;
  send_append(group, identity, learner, now, out);
}

// A learner has caught up when it received everything that was logged at the
// start of a round within an election timeout (Ongaro 2014, section 4.2.1).
bool is_caught_up(const raft_group& group,
                  raft_progress& learner,
                  int64_t now) {
  if (learner.match < learner.round_end || learner.match == 0)
    return false;
  bool quick =
      now - learner.round_started_ms <= group.options.election_timeout_ms;
  bool in_touch =
      now - learner.last_heard_ms <= group.options.election_timeout_ms;
  learner.round_end = raft_last_index(group);
  learner.round_started_ms = now;
  return quick && in_touch;
}

// Voters other than `leaving` in the zone of the host; none when its zone is
// not known.
int64_t voters_beside(const raft_group& group,
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

// Voters that one availability zone may hold, so that its loss leaves a
// majority.
int64_t max_voters_a_zone(const raft_group& group) {
  return std::max((group.options.target_voters - 1) / 2, 1);
}

// A voter that has been silent for so long that the newcomer may take its
// place. An availability zone gets a second voter only when there was no better
// replacement for a longer time.
const wire::member* find_silent(const raft_group& group,
                                const std::string& host,
                                int64_t now) {
  if (!group.options.open_membership)
    return nullptr;
  for (const wire::member& voter : group.members.voters()) {
    auto progress = group.progress.find(voter.identity());
    if (voter.identity() == group.self.identity() ||
        progress == group.progress.end())
      continue;
    int64_t silent_ms = now - progress->second.last_heard_ms;
    bool crowded = voters_beside(group, host, voter.identity()) >=
                   max_voters_a_zone(group);
    int64_t allowed_ms = crowded ? group.options.replace_anywhere_after_ms
                                 : group.options.replace_after_ms;
    if (silent_ms > allowed_ms)
      return &voter;
  }
  return nullptr;
}

// Whether the newcomer may be added to the voters as they are.
bool has_place_for(const raft_group& group, const std::string& host) {
  int voters = group.members.voters_size();
  if (!group.options.open_membership ||
      voters < group.initial_members.voters_size())
    return true;
  return voters < group.options.target_voters && group.zones.contains(host) &&
         voters_beside(group, host, 0) < max_voters_a_zone(group);
}

// The voter whose place the newcomer takes: its host's former replica, or a
// silent one where there is no free place. One newcomer takes one place: two
// removals for it would leave an even number of voters.
const wire::member* replaced_by(const raft_group& group,
                                const std::string& host,
                                uint64_t newcomer,
                                int64_t now) {
  const wire::member* former = member_on_host(group, host, newcomer);
  if (former != nullptr || has_place_for(group, host))
    return former;
  return find_silent(group, host, now);
}

wire::membership without(const wire::membership& members, uint64_t identity) {
  wire::membership rest;
  for (const wire::member& voter : members.voters()) {
    if (voter.identity() != identity)
      *rest.add_voters() = voter;
  }
  return rest;
}

}  // namespace

// Moves at most one membership change forward. The lost identity is removed
// before the new one is added: while it counts, the group needs all the
// others anyway, and the other order could need the vote of a replica that
// does not know yet that it is a voter.
void replace_members(raft_group& group, int64_t now, raft_output& out) {
  drop_stale_learners(group);
  bool change_open = group.members_index > group.commit_index;
  if (change_open || !raft_leader_ready(group))
    return;
  for (const auto& [host, identity] : group.strangers) {
    if (raft_is_voter(group, identity))
      continue;
    auto found = group.progress.find(identity);
    if (found == group.progress.end()) {
      if (group.options.open_membership || is_placed(group, host))
        start_learner(group, host, identity, now, out);
      continue;
    }
    if (!is_caught_up(group, found->second, now))
      continue;
    const wire::member* lost = replaced_by(group, host, identity, now);
    if (lost != nullptr) {
      propose_members(group, without(group.members, lost->identity()), now,
                      out);
      return;
    }
    if (!has_place_for(group, host))
      continue;
    wire::membership members = group.members;
    wire::member& added = *members.add_voters();
    added.set_host(host);
    added.set_identity(identity);
    propose_members(group, std::move(members), now, out);
    return;
  }
}

void raft_announce(raft_group& group,
                   std::string_view host,
                   uint64_t identity) {
  group.strangers[std::string(host)] = identity;
}

}  // namespace cyclamenwood
