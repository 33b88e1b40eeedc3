// A replica that is about to stop. It asks all voters to let it go, until the
// leader replies. The leader replies when it has committed a membership without
// the replica, or when no learner can take its place; advance_membership()
// replaces it in between.
//
// Without this, a voter that has ended stays a member until it has been silent
// for `replace_after_ms`, and counts against the majority for that time.
//
// All voters record the request, since any of them may be the next leader. A
// request expires after one election timeout, so that a replica that crashes
// while it leaves and is started again is a voter like the others.
#include "cyclamenwood/raft_internal.h"

#include <algorithm>
#include <utility>

namespace cyclamenwood {
namespace {

// Whether a learner that is in contact, or has yet to be started, can take the
// place of the voter.
bool has_successor(const raft_group& group, uint64_t voter, int64_t now) {
  return std::any_of(group.announced_identities.begin(),
                     group.announced_identities.end(), [&](const auto& item) {
                       const auto& [host, identity] = item;
                       return !raft_is_voter(group, identity) &&
                              zone_has_place(group, host, voter) &&
                              is_in_contact(group, identity, now);
                     });
}

// Whether the group gains nothing if the replica runs on. Only the leader
// knows.
bool can_do_without(const raft_group& group, uint64_t identity, int64_t now) {
  if (!can_change_members(group) || has_surplus(group))
    return false;
  return !raft_is_voter(group, identity) ||
         !has_successor(group, identity, now);
}

}  // namespace

bool is_leaving(const raft_group& group, uint64_t identity, int64_t now) {
  auto found = group.leaving_until_ms.find(identity);
  return found != group.leaving_until_ms.end() && now < found->second;
}

void handle_leave_request(raft_group& group,
                          const wire::raft_message& message,
                          int64_t now,
                          raft_output& out) {
  uint64_t identity = message.from();
  std::erase_if(group.leaving_until_ms,
                [now](const auto& item) { return now >= item.second; });
  group.leaving_until_ms[identity] = now + group.options.election_timeout_ms;
  std::erase_if(group.announced_identities, [identity](const auto& item) {
    return item.second == identity;
  });
  if (!can_do_without(group, identity, now))
    return;
  wire::raft_message reply = message_to(group, identity);
  reply.mutable_leave_reply();
  out.messages.push_back(std::move(reply));
}

bool raft_leave(raft_group& group, int64_t now, raft_output& out) {
  if (!group.options.open_membership || group.may_stop)
    return true;
  if (group.role == raft_role::leader || now < group.leave_request_at_ms)
    return false;
  group.leave_request_at_ms = now + group.options.heartbeat_interval_ms;
  for (const wire::member& voter : group.members.voters()) {
    if (voter.identity() == group.self.identity())
      continue;
    wire::raft_message request = message_to(group, voter.identity());
    request.mutable_leave_request();
    out.messages.push_back(std::move(request));
  }
  return false;
}

}  // namespace cyclamenwood
