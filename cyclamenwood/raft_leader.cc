// Leader behaviour: replication, commit, heartbeats, check-quorum and handover.
//
// Appends are pipelined to a replica once it has accepted one. After a
// rejection or a lost acknowledgment the leader probes with one append at a
// time. It counts its own log only up to `synced_index`, so that it can send
// entries to other replicas while its own disk is still writing them.
#include "cyclamenwood/raft_internal.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace cyclamenwood {
namespace {

void send_snapshot(raft_group& group,
                   uint64_t to,
                   raft_progress& progress,
                   int64_t now,
                   raft_output& out) {
  wire::raft_message message = message_to(group, to);
  *message.mutable_install_snapshot()->mutable_snapshot() = group.snapshot;
  progress.resend_at_ms = now + group.options.resend_timeout_ms;
  progress.probing = true;
  out.messages.push_back(std::move(message));
}

// The size of the entries that were sent and not acknowledged. Those that a
// snapshot has replaced count as acknowledged.
uint64_t bytes_in_flight(const raft_group& group,
                         const raft_progress& progress) {
  uint64_t first = std::max(progress.match, group.snapshot.index()) + 1;
  return raft_log_bytes(group, first, progress.next - 1);
}

bool can_pipeline(const raft_group& group, const raft_progress& progress) {
  const raft_options& options = group.options;
  return progress.next - progress.match <= options.max_entries_in_flight &&
         bytes_in_flight(group, progress) < options.max_bytes_in_flight;
}

// The last entry of an append that begins with the entry `first`.
uint64_t end_of_append(const raft_group& group, uint64_t first) {
  const raft_options& options = group.options;
  uint64_t end = std::min<uint64_t>(
      raft_last_index(group), first + options.max_entries_per_message - 1);
  while (end > first &&
         raft_log_bytes(group, first, end) > options.max_bytes_per_message)
    --end;
  return end;
}

// Sends an append without entries. It refers to an index that is known to
// match, so that the replica can also advance its commit index, or to the
// snapshot's index when the matching entry is no longer in the log.
void send_heartbeat(raft_group& group,
                    uint64_t to,
                    const raft_progress& progress,
                    raft_output& out) {
  uint64_t previous =
      term_at(group, progress.match) ? progress.match : group.snapshot.index();
  wire::raft_message message = message_to(group, to);
  wire::append_request& request = *message.mutable_append_request();
  request.set_previous_index(previous);
  request.set_previous_term(*term_at(group, previous));
  request.set_commit_index(group.commit_index);
  request.set_heartbeat(true);
  out.messages.push_back(std::move(message));
}

}  // namespace

void sync_progress_with_members(raft_group& group, int64_t now) {
  for (const wire::member& voter : group.members.voters()) {
    auto [found, added] = group.progress.try_emplace(voter.identity());
    raft_progress& progress = found->second;
    progress.host = voter.host();
    progress.learner = false;
    if (added) {
      progress.next = raft_last_index(group) + 1;
      progress.last_contact_ms = now;
    }
  }
  std::erase_if(group.progress, [&](const auto& item) {
    return !item.second.learner && !raft_is_voter(group, item.first);
  });
}

// Commits all entries that a majority of the voters has synced, once they
// include an entry of the current term.
void advance_commit(raft_group& group, raft_output& out) {
  std::vector<uint64_t> matches;
  for (const wire::member& voter : group.members.voters()) {
    if (voter.identity() == group.self.identity())
      matches.push_back(group.synced_index);
    else if (auto found = group.progress.find(voter.identity());
             found != group.progress.end())
      matches.push_back(found->second.match);
    else
      matches.push_back(0);
  }
  if (matches.empty())
    return;
  std::sort(matches.begin(), matches.end(), std::greater<>());
  uint64_t candidate = matches[majority(group) - 1];
  if (candidate < group.term_start_index)
    return;
  deliver_committed(group, std::max(candidate, group.commit_index), out);
}

// Sends entries from `progress.next` on, or the snapshot when the log no longer
// has the entry before them.
void send_append(raft_group& group,
                 uint64_t to,
                 raft_progress& progress,
                 int64_t now,
                 raft_output& out) {
  uint64_t previous = progress.next - 1;
  std::optional<uint64_t> previous_term = term_at(group, previous);
  if (!previous_term) {
    send_snapshot(group, to, progress, now, out);
    return;
  }
  wire::raft_message message = message_to(group, to);
  wire::append_request& request = *message.mutable_append_request();
  request.set_previous_index(previous);
  request.set_previous_term(*previous_term);
  request.set_commit_index(group.commit_index);
  uint64_t end = end_of_append(group, progress.next);
  for (uint64_t index = progress.next; index <= end; ++index)
    *request.add_entries() = entry_at(group, index);
  if (request.entries_size() > 0)
    progress.resend_at_ms = now + group.options.resend_timeout_ms;
  if (!progress.probing)
    progress.next = end + 1;
  out.messages.push_back(std::move(message));
}

void send_pending_entries(raft_group& group, int64_t now, raft_output& out) {
  for (auto& [identity, progress] : group.progress) {
    if (identity == group.self.identity())
      continue;
    // Sending a snapshot sets `probing`, which ends the loop.
    while (!progress.probing && progress.next <= raft_last_index(group) &&
           can_pipeline(group, progress))
      send_append(group, identity, progress, now, out);
  }
}

void send_heartbeats(raft_group& group, int64_t now, raft_output& out) {
  group.heartbeat_at_ms = now + group.options.heartbeat_interval_ms;
  for (auto& [identity, progress] : group.progress) {
    if (identity == group.self.identity())
      continue;
    bool unanswered =
        progress.match < raft_last_index(group) && now >= progress.resend_at_ms;
    if (!unanswered) {
      send_heartbeat(group, identity, progress, out);
      continue;
    }
    progress.probing = true;
    progress.next = progress.match + 1;
    send_append(group, identity, progress, now, out);
  }
}

void become_leader(raft_group& group, int64_t now, raft_output& out) {
  group.role = raft_role::leader;
  group.leader = group.self.identity();
  group.progress.clear();
  sync_progress_with_members(group, now);
  group.quorum_check_at_ms = now + group.options.election_timeout_ms;
  group.term_start_index = raft_last_index(group) + 1;
  wire::command noop;
  noop.set_stamp_ms(now);
  noop.set_noop(true);
  raft_propose(group, noop, out);
  for (auto& [identity, progress] : group.progress) {
    if (identity == group.self.identity())
      continue;
    progress.next = raft_last_index(group);
    send_append(group, identity, progress, now, out);
  }
  group.heartbeat_at_ms = now + group.options.heartbeat_interval_ms;
}

void handle_append_reply(raft_group& group,
                         const wire::raft_message& message,
                         int64_t now,
                         raft_output& out) {
  if (message.term() > group.term) {
    become_follower(group, message.term(), 0, now, out);
    return;
  }
  auto found = group.progress.find(message.from());
  if (group.role != raft_role::leader || message.term() != group.term ||
      found == group.progress.end())
    return;
  raft_progress& progress = found->second;
  const wire::append_reply& reply = message.append_reply();
  progress.last_contact_ms = now;
  if (reply.heartbeat())
    return;
  if (!reply.accepted()) {
    progress.probing = true;
    progress.next = std::max(progress.match + 1, reply.index() + 1);
    progress.next = std::min(progress.next, raft_last_index(group) + 1);
    send_append(group, message.from(), progress, now, out);
    return;
  }
  progress.match = std::max(progress.match, reply.index());
  progress.next = std::max(progress.next, progress.match + 1);
  if (progress.probing) {
    progress.probing = false;
    progress.next = progress.match + 1;
  }
  if (progress.match < raft_last_index(group))
    progress.resend_at_ms = now + group.options.resend_timeout_ms;
  advance_commit(group, out);
  if (group.handover_target == message.from() &&
      progress.match == raft_last_index(group)) {
    wire::raft_message handover = message_to(group, message.from());
    handover.mutable_handover_request();
    out.messages.push_back(std::move(handover));
  }
  send_pending_entries(group, now, out);
}

void check_quorum(raft_group& group, int64_t now, raft_output& out) {
  group.quorum_check_at_ms = now + group.options.election_timeout_ms;
  size_t in_contact = 0;
  for (const wire::member& voter : group.members.voters()) {
    if (voter.identity() == group.self.identity()) {
      ++in_contact;
      continue;
    }
    auto found = group.progress.find(voter.identity());
    if (found != group.progress.end() && now - found->second.last_contact_ms <=
                                             group.options.election_timeout_ms)
      ++in_contact;
  }
  if (in_contact < majority(group))
    become_follower(group, group.term, 0, now, out);
}

void raft_flush(raft_group& group, int64_t now, raft_output& out) {
  if (group.role == raft_role::leader)
    send_pending_entries(group, now, out);
}

bool raft_has_room(const raft_group& group) {
  uint64_t first = std::max(group.commit_index, group.snapshot.index()) + 1;
  return raft_log_bytes(group, first, raft_last_index(group)) <
         group.options.max_uncommitted_bytes;
}

std::optional<uint64_t> raft_propose(raft_group& group,
                                     wire::command command,
                                     raft_output& out) {
  if (group.role != raft_role::leader || group.handover_target != 0)
    return std::nullopt;
  wire::log_entry entry;
  entry.set_index(raft_last_index(group) + 1);
  entry.set_term(group.term);
  *entry.mutable_command() = std::move(command);
  uint64_t index = entry.index();
  append_entry(group, std::move(entry), begin_write(group, out));
  return index;
}

bool raft_hand_over(raft_group& group, int64_t now, raft_output& out) {
  if (group.role != raft_role::leader)
    return false;
  uint64_t best = 0;
  std::pair<bool, uint64_t> best_rank;
  for (const auto& [identity, progress] : group.progress) {
    bool recent = now - progress.last_contact_ms <=
                  2 * group.options.heartbeat_interval_ms;
    if (identity == group.self.identity() || progress.learner || !recent)
      continue;
    std::pair<bool, uint64_t> rank(!is_leaving(group, identity, now),
                                   progress.match);
    if (best == 0 || rank > best_rank) {
      best = identity;
      best_rank = rank;
    }
  }
  if (best == 0)
    return false;
  group.handover_target = best;
  group.handover_until_ms = now + group.options.election_timeout_ms;
  raft_progress& progress = group.progress[best];
  send_append(group, best, progress, now, out);
  return true;
}

bool raft_leader_ready(const raft_group& group) {
  return group.role == raft_role::leader &&
         group.commit_index >= group.term_start_index;
}

}  // namespace cyclamenwood
