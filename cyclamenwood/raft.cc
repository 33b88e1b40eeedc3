// Elections and follower behaviour. A candidate requests pre-votes first
// (Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 9.6), so
// that a replica that rejoins after a partition does not raise the term of a
// healthy group. A replica that has received a message from a leader within the
// election timeout refuses votes and pre-votes. The log is in raft_log.cc, the
// leader in raft_leader.cc, membership changes in raft_members.cc.
#include "cyclamenwood/raft_internal.h"

#include <algorithm>
#include <utility>

namespace cyclamenwood {
namespace {

void request_votes(raft_group& group,
                   bool pre_vote,
                   bool handover,
                   raft_output& out) {
  for (const wire::member& voter : group.members.voters()) {
    if (voter.identity() == group.self.identity())
      continue;
    wire::raft_message message = message_to(group, voter.identity());
    message.set_term(pre_vote ? group.term + 1 : group.term);
    wire::vote_request& request = *message.mutable_vote_request();
    request.set_pre_vote(pre_vote);
    request.set_handover(handover);
    request.set_last_index(raft_last_index(group));
    request.set_last_term(last_term(group));
    if (pre_vote)
      out.messages.push_back(std::move(message));
    else
      send_after_sync(group, std::move(message), out);
  }
}

size_t votes_granted(const raft_group& group) {
  size_t count = 0;
  for (const wire::member& voter : group.members.voters()) {
    auto vote = group.votes.find(voter.identity());
    if (vote != group.votes.end() && vote->second)
      ++count;
  }
  return count;
}

void start_election(raft_group& group,
                    bool handover,
                    int64_t now,
                    raft_output& out) {
  group.role = raft_role::candidate;
  group.leader = 0;
  ++group.term;
  group.voted_for = group.self.identity();
  group.votes.clear();
  begin_write(group, out);
  reset_election_timer(group, now);
  // This replica's own vote counts once it is synced; see raft_synced().
  request_votes(group, false, handover, out);
}

void start_pre_vote(raft_group& group, int64_t now, raft_output& out) {
  group.role = raft_role::pre_candidate;
  group.leader = 0;
  group.votes.clear();
  group.votes[group.self.identity()] = true;
  reset_election_timer(group, now);
  if (votes_granted(group) >= majority(group)) {
    start_election(group, false, now, out);
    return;
  }
  request_votes(group, true, false, out);
}

bool log_is_current(const raft_group& group,
                    const wire::vote_request& request) {
  if (request.last_term() != last_term(group))
    return request.last_term() > last_term(group);
  return request.last_index() >= raft_last_index(group);
}

bool has_recent_leader(const raft_group& group, int64_t now) {
  if (group.role == raft_role::leader)
    return true;
  return group.leader != 0 &&
         now < group.last_leader_contact_ms + group.options.election_timeout_ms;
}

// Whether this replica votes when it is asked. A candidate asks the members
// that its own log names, so that a replica with a log may be one without
// knowing it yet (Ongaro 2014, section 4.2.2). An empty one has never been a
// member.
bool may_be_voter(const raft_group& group) {
  return raft_is_voter(group, group.self.identity()) ||
         raft_last_index(group) > 0;
}

void handle_vote_request(raft_group& group,
                         const wire::raft_message& message,
                         int64_t now,
                         raft_output& out) {
  const wire::vote_request& request = message.vote_request();
  if (has_recent_leader(group, now) && !request.handover())
    return;
  if (!request.pre_vote() && message.term() > group.term)
    become_follower(group, message.term(), 0, now, out);
  bool may_vote = request.pre_vote() ? message.term() > group.term
                                     : message.term() == group.term &&
                                           (group.voted_for == 0 ||
                                            group.voted_for == message.from());
  bool granted =
      may_vote && log_is_current(group, request) && may_be_voter(group);
  if (granted && !request.pre_vote()) {
    if (group.voted_for != message.from()) {
      group.voted_for = message.from();
      begin_write(group, out);
    }
    reset_election_timer(group, now);
  }
  wire::raft_message reply = message_to(group, message.from());
  reply.set_term(granted ? message.term() : group.term);
  reply.mutable_vote_reply()->set_pre_vote(request.pre_vote());
  reply.mutable_vote_reply()->set_granted(granted);
  if (request.pre_vote())
    out.messages.push_back(std::move(reply));
  else
    send_after_sync(group, std::move(reply), out);
}

void handle_vote_reply(raft_group& group,
                       const wire::raft_message& message,
                       int64_t now,
                       raft_output& out) {
  const wire::vote_reply& reply = message.vote_reply();
  if (!reply.granted() && message.term() > group.term) {
    become_follower(group, message.term(), 0, now, out);
    return;
  }
  bool expected =
      reply.pre_vote()
          ? group.role == raft_role::pre_candidate &&
                (!reply.granted() || message.term() == group.term + 1)
          : group.role == raft_role::candidate && message.term() == group.term;
  if (!expected)
    return;
  group.votes[message.from()] = reply.granted();
  if (votes_granted(group) < majority(group))
    return;
  if (group.role == raft_role::pre_candidate)
    start_election(group, false, now, out);
  else
    become_leader(group, now, out);
}

void reply_to_append(raft_group& group,
                     const wire::raft_message& message,
                     bool accepted,
                     uint64_t index,
                     raft_output& out) {
  wire::raft_message reply = message_to(group, message.from());
  wire::append_reply& body = *reply.mutable_append_reply();
  body.set_accepted(accepted);
  body.set_index(index);
  body.set_heartbeat(message.append_request().heartbeat());
  send_after_sync(group, std::move(reply), out);
}

void follow(raft_group& group,
            const wire::raft_message& message,
            int64_t now,
            raft_output& out) {
  become_follower(group, message.term(), message.from(), now, out);
  group.last_leader_contact_ms = now;
  reset_election_timer(group, now);
}

// Appends the entries that the log does not have yet, after truncating a tail
// that conflicts with them.
void merge_entries(raft_group& group,
                   const wire::append_request& request,
                   raft_output& out) {
  wire::wal_write* record = nullptr;
  for (const wire::log_entry& entry : request.entries()) {
    if (entry.index() <= group.snapshot.index())
      continue;
    std::optional<uint64_t> known = term_at(group, entry.index());
    if (known && *known == entry.term())
      continue;
    if (record == nullptr)
      record = &begin_write(group, out);
    if (known) {
      record->set_truncate_from(entry.index());
      truncate_log(group, entry.index());
      group.synced_index = std::min(group.synced_index, entry.index() - 1);
      refresh_members(group);
    }
    append_entry(group, entry, *record);
  }
}

void handle_append(raft_group& group,
                   const wire::raft_message& message,
                   int64_t now,
                   raft_output& out) {
  const wire::append_request& request = message.append_request();
  if (message.term() < group.term) {
    reply_to_append(group, message, false, raft_last_index(group), out);
    return;
  }
  follow(group, message, now, out);
  uint64_t previous = request.previous_index();
  std::optional<uint64_t> known = term_at(group, previous);
  bool covered = previous < group.snapshot.index();
  if (!covered && (!known || *known != request.previous_term())) {
    uint64_t hint = std::min(raft_last_index(group), previous - 1);
    reply_to_append(group, message, false, std::max(hint, group.commit_index),
                    out);
    return;
  }
  merge_entries(group, request, out);
  uint64_t matched = previous + request.entries_size();
  reply_to_append(group, message, true, std::max(matched, group.commit_index),
                  out);
  uint64_t commit = std::min(request.commit_index(), matched);
  deliver_committed(group, std::max(commit, group.commit_index), out);
}

void handle_install_snapshot(raft_group& group,
                             const wire::raft_message& message,
                             int64_t now,
                             raft_output& out) {
  if (message.term() < group.term)
    return;
  follow(group, message, now, out);
  const wire::snapshot& snapshot = message.install_snapshot().snapshot();
  if (snapshot.index() > group.commit_index) {
    adopt_snapshot(group, snapshot);
    group.commit_index = snapshot.index();
    group.synced_index = std::min(group.synced_index, snapshot.index());
    *begin_write(group, out).mutable_snapshot() = snapshot;
    out.restored = snapshot;
    out.committed.clear();
  }
  reply_to_append(group, message, true, group.commit_index, out);
}

}  // namespace

static void schedule_election(raft_group& group,
                              int64_t timeout_ms,
                              int64_t now) {
  std::uniform_int_distribution<int64_t> extra(0, timeout_ms - 1);
  group.election_at_ms = now + timeout_ms + extra(group.random);
}

void reset_election_timer(raft_group& group, int64_t now) {
  schedule_election(group, group.options.election_timeout_ms, now);
}

void start_election_timer(raft_group& group, int64_t now) {
  const raft_options& options = group.options;
  schedule_election(group,
                    options.first_election_timeout_ms > 0
                        ? options.first_election_timeout_ms
                        : options.election_timeout_ms,
                    now);
}

void become_follower(raft_group& group,
                     uint64_t term,
                     uint64_t leader,
                     int64_t now,
                     raft_output& out) {
  if (group.role != raft_role::follower)
    reset_election_timer(group, now);
  group.role = raft_role::follower;
  group.leader = leader;
  group.votes.clear();
  group.progress.clear();
  group.handover_target = 0;
  if (term > group.term) {
    group.term = term;
    group.voted_for = 0;
    begin_write(group, out);
  }
}

raft_group make_raft_group(std::string_view name,
                           const wire::member& self,
                           const wire::membership& voters,
                           const raft_options& options,
                           uint64_t seed,
                           int64_t now) {
  raft_group group;
  group.name = name;
  group.self = self;
  group.initial_members = voters;
  group.members = voters;
  group.options = options;
  group.random.seed(seed);
  start_election_timer(group, now);
  return group;
}

void raft_tick(raft_group& group, int64_t now, raft_output& out) {
  if (group.role == raft_role::leader) {
    if (now >= group.handover_until_ms)
      group.handover_target = 0;
    if (now >= group.quorum_check_at_ms)
      check_quorum(group, now, out);
    if (group.role == raft_role::leader)
      advance_membership(group, now, out);
    if (group.role == raft_role::leader && now >= group.heartbeat_at_ms)
      send_heartbeats(group, now, out);
    return;
  }
  if (now < group.election_at_ms)
    return;
  if (raft_is_voter(group, group.self.identity()))
    start_pre_vote(group, now, out);
  else
    reset_election_timer(group, now);
}

void raft_receive(raft_group& group,
                  const wire::raft_message& message,
                  int64_t now,
                  raft_output& out) {
  if (message.to() != group.self.identity())
    return;
  switch (message.body_case()) {
    case wire::raft_message::kVoteRequest:
      handle_vote_request(group, message, now, out);
      break;
    case wire::raft_message::kVoteReply:
      handle_vote_reply(group, message, now, out);
      break;
    case wire::raft_message::kAppendRequest:
      handle_append(group, message, now, out);
      break;
    case wire::raft_message::kAppendReply:
      handle_append_reply(group, message, now, out);
      break;
    case wire::raft_message::kInstallSnapshot:
      handle_install_snapshot(group, message, now, out);
      break;
    case wire::raft_message::kHandoverRequest:
      if (message.term() == group.term &&
          raft_is_voter(group, group.self.identity()))
        start_election(group, true, now, out);
      break;
    case wire::raft_message::kLeaveRequest:
      handle_leave_request(group, message, now, out);
      break;
    case wire::raft_message::kLeaveReply:
      group.may_stop = group.may_stop || message.term() >= group.term;
      break;
    case wire::raft_message::BODY_NOT_SET:
      break;
  }
}

void raft_synced(raft_group& group, int64_t now, raft_output& out) {
  group.unsynced_writes = false;
  group.synced_index = raft_last_index(group);
  for (wire::raft_message& message : group.messages_awaiting_sync) {
    if (message.term() == group.term)
      out.messages.push_back(std::move(message));
  }
  group.messages_awaiting_sync.clear();
  if (group.role == raft_role::candidate &&
      group.voted_for == group.self.identity()) {
    group.votes[group.self.identity()] = true;
    if (votes_granted(group) >= majority(group))
      become_leader(group, now, out);
  }
  if (group.role == raft_role::leader && !group.unsynced_writes)
    advance_commit(group, out);
  raft_flush(group, now, out);
}

std::string raft_leader_host(const raft_group& group) {
  for (const wire::member& voter : group.members.voters()) {
    if (voter.identity() == group.leader)
      return voter.host();
  }
  return {};
}

}  // namespace cyclamenwood
