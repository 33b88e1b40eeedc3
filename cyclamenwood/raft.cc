// How it works. Each entry point moves the state and fills `raft_output`.
// Durability is handled in one place: whatever changes the term, the vote or
// the log goes through `write()`, which marks the group as having unsynced
// writes; messages that promise something about those writes go through
// `send_after_sync()` and wait in `held_messages` until `raft_synced()`. A
// leader counts its own log only up to `synced_index`, so it can send entries
// to the others while its own disk still works.
//
// A candidate asks for pre-votes first (Ongaro, "Consensus: Bridging Theory
// and Practice", 2014, section 9.6), so that a replica coming back from a cut
// does not raise the term of a healthy group. A leader that has not heard a
// majority for an election timeout steps down, and a replica that has heard a
// leader within the election timeout refuses (pre-)votes.
#include "cyclamenwood/raft.h"

#include <algorithm>
#include <utility>

namespace cyclamenwood {
namespace {

constexpr uint64_t FIRST_INDEX = 1;

uint64_t last_term(const raft_group& group) {
  return group.log.empty() ? group.snapshot.term() : group.log.back().term();
}

std::optional<uint64_t> term_at(const raft_group& group, uint64_t index) {
  if (index == group.snapshot.index())
    return group.snapshot.term();
  if (index < group.snapshot.index() || index > raft_last_index(group))
    return std::nullopt;
  return group.log[index - group.snapshot.index() - 1].term();
}

const wire::log_entry& entry_at(const raft_group& group, uint64_t index) {
  return group.log[index - group.snapshot.index() - 1];
}

size_t majority(const raft_group& group) {
  return group.members.voters_size() / 2 + 1;
}

void reset_election_timer(raft_group& group, int64_t now) {
  std::uniform_int_distribution<int64_t> extra(
      0, group.options.election_timeout_ms - 1);
  group.election_at_ms =
      now + group.options.election_timeout_ms + extra(group.random);
}

// The membership that the log up to `index` puts in force.
std::pair<uint64_t, const wire::membership*> membership_at(
    const raft_group& group,
    uint64_t index) {
  for (auto entry = group.log.rbegin(); entry != group.log.rend(); ++entry) {
    if (entry->index() <= index && entry->command().has_members())
      return {entry->index(), &entry->command().members()};
  }
  if (group.snapshot.index() > 0)
    return {group.snapshot.index(), &group.snapshot.members()};
  return {0, &group.initial_members};
}

void refresh_members(raft_group& group) {
  auto [index, members] = membership_at(group, raft_last_index(group));
  group.members = *members;
  group.members_index = index;
}

// Puts a snapshot in place of the log up to its index. A tail that continues
// the snapshot is kept: its entries may have been acknowledged.
void adopt_snapshot(raft_group& group, const wire::snapshot& snapshot) {
  bool continues = term_at(group, snapshot.index()) == snapshot.term();
  if (!continues)
    group.log.clear();
  while (!group.log.empty() && group.log.front().index() <= snapshot.index())
    group.log.pop_front();
  group.snapshot = snapshot;
  refresh_members(group);
}

wire::wal_write& write(raft_group& group, raft_output& out) {
  group.unsynced_writes = true;
  wire::wal_write& result = out.writes.emplace_back();
  result.set_group(group.name);
  result.set_term(group.term);
  result.set_voted_for(group.voted_for);
  return result;
}

wire::raft_message message_to(const raft_group& group, uint64_t to) {
  wire::raft_message message;
  message.set_group(group.name);
  message.set_from(group.self.identity());
  message.set_to(to);
  message.set_term(group.term);
  return message;
}

// Sends a message whose truth depends on writes that may not be synced yet.
void send_after_sync(raft_group& group,
                     wire::raft_message message,
                     raft_output& out) {
  if (group.unsynced_writes)
    group.held_messages.push_back(std::move(message));
  else
    out.messages.push_back(std::move(message));
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
    write(group, out);
  }
}

void deliver_committed(raft_group& group, uint64_t commit, raft_output& out) {
  while (group.commit_index < commit) {
    ++group.commit_index;
    out.committed.push_back(entry_at(group, group.commit_index));
  }
}

void sync_progress_with_members(raft_group& group, int64_t now) {
  for (const wire::member& voter : group.members.voters()) {
    auto [found, added] = group.progress.try_emplace(voter.identity());
    raft_progress& progress = found->second;
    progress.host = voter.host();
    progress.learner = false;
    if (added) {
      progress.next = raft_last_index(group) + 1;
      progress.last_heard_ms = now;
    }
  }
  std::erase_if(group.progress, [&](const auto& item) {
    return !item.second.learner && !raft_is_voter(group, item.first);
  });
}

void append(raft_group& group, wire::log_entry entry, wire::wal_write& record) {
  *record.add_entries() = entry;
  bool changes_members = entry.command().has_members();
  group.log.push_back(std::move(entry));
  if (changes_members)
    refresh_members(group);
}

// Commits what a majority of the voters has synced.
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

// Sends the entries from `progress.next` on.
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
  uint64_t end = std::min<uint64_t>(
      raft_last_index(group), previous + group.options.max_entries_a_message);
  for (uint64_t index = progress.next; index <= end; ++index)
    *request.add_entries() = entry_at(group, index);
  if (request.entries_size() > 0)
    progress.resend_at_ms = now + group.options.resend_timeout_ms;
  if (!progress.probing)
    progress.next = end + 1;
  out.messages.push_back(std::move(message));
}

bool has_room(const raft_group& group, const raft_progress& progress) {
  return progress.next - progress.match <= group.options.max_entries_in_flight;
}

void send_new_entries(raft_group& group, int64_t now, raft_output& out) {
  for (auto& [identity, progress] : group.progress) {
    if (identity == group.self.identity())
      continue;
    // Sending a snapshot turns to probing.
    while (!progress.probing && progress.next <= raft_last_index(group) &&
           has_room(group, progress))
      send_append(group, identity, progress, now, out);
  }
}

// Keeps contact. It goes by an index that is known to match, so that it also
// tells the commit index, or else by the snapshot's.
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
  raft_propose(group, noop, now, out);
  for (auto& [identity, progress] : group.progress) {
    if (identity == group.self.identity())
      continue;
    progress.next = raft_last_index(group);
    send_append(group, identity, progress, now, out);
  }
  group.heartbeat_at_ms = now + group.options.heartbeat_interval_ms;
}

void ask_for_votes(raft_group& group,
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
  write(group, out);
  reset_election_timer(group, now);
  // The own vote counts once it is synced: see raft_synced().
  ask_for_votes(group, false, handover, out);
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
  ask_for_votes(group, true, false, out);
}

bool log_is_current(const raft_group& group,
                    const wire::vote_request& request) {
  if (request.last_term() != last_term(group))
    return request.last_term() > last_term(group);
  return request.last_index() >= raft_last_index(group);
}

bool hears_leader(const raft_group& group, int64_t now) {
  if (group.role == raft_role::leader)
    return true;
  return group.leader != 0 &&
         now < group.last_leader_contact_ms + group.options.election_timeout_ms;
}

void handle_vote_request(raft_group& group,
                         const wire::raft_message& message,
                         int64_t now,
                         raft_output& out) {
  const wire::vote_request& request = message.vote_request();
  if (hears_leader(group, now) && !request.handover())
    return;
  if (!request.pre_vote() && message.term() > group.term)
    become_follower(group, message.term(), 0, now, out);
  bool may_vote = request.pre_vote() ? message.term() > group.term
                                     : message.term() == group.term &&
                                           (group.voted_for == 0 ||
                                            group.voted_for == message.from());
  bool granted = may_vote && log_is_current(group, request) &&
                 raft_is_voter(group, group.self.identity());
  if (granted && !request.pre_vote()) {
    if (group.voted_for != message.from()) {
      group.voted_for = message.from();
      write(group, out);
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

// Appends the entries that are new, dropping a conflicting tail first.
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
      record = &write(group, out);
    if (known) {
      record->set_truncate_from(entry.index());
      group.log.resize(entry.index() - group.snapshot.index() - 1);
      group.synced_index = std::min(group.synced_index, entry.index() - 1);
      refresh_members(group);
    }
    append(group, entry, *record);
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
    *write(group, out).mutable_snapshot() = snapshot;
    out.restored = snapshot;
    out.committed.clear();
  }
  reply_to_append(group, message, true, group.commit_index, out);
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
  progress.last_heard_ms = now;
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
  send_new_entries(group, now, out);
}

void check_quorum(raft_group& group, int64_t now, raft_output& out) {
  group.quorum_check_at_ms = now + group.options.election_timeout_ms;
  size_t heard = 0;
  for (const wire::member& voter : group.members.voters()) {
    if (voter.identity() == group.self.identity()) {
      ++heard;
      continue;
    }
    auto found = group.progress.find(voter.identity());
    if (found != group.progress.end() &&
        now - found->second.last_heard_ms <= group.options.election_timeout_ms)
      ++heard;
  }
  if (heard < majority(group))
    become_follower(group, group.term, 0, now, out);
}

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
  raft_propose(group, command, now, out);
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
  learner.round_end = raft_last_index(group);
  learner.round_started_ms = now;
  return quick;
}

wire::membership without(const wire::membership& members, uint64_t identity) {
  wire::membership rest;
  for (const wire::member& voter : members.voters()) {
    if (voter.identity() != identity)
      *rest.add_voters() = voter;
  }
  return rest;
}

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
      if (is_placed(group, host))
        start_learner(group, host, identity, now, out);
      continue;
    }
    if (!is_caught_up(group, found->second, now))
      continue;
    const wire::member* lost = member_on_host(group, host, identity);
    if (lost != nullptr) {
      propose_members(group, without(group.members, lost->identity()), now,
                      out);
      return;
    }
    wire::membership members = group.members;
    wire::member& added = *members.add_voters();
    added.set_host(host);
    added.set_identity(identity);
    propose_members(group, std::move(members), now, out);
    return;
  }
}

}  // namespace

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
  reset_election_timer(group, now);
  return group;
}

void raft_write_initial_members(raft_group& group, raft_output& out) {
  *write(group, out).mutable_initial_members() = group.initial_members;
}

void raft_replay(raft_group& group, const wire::wal_write& write) {
  group.term = write.term();
  group.voted_for = write.voted_for();
  if (write.has_initial_members())
    group.initial_members = write.initial_members();
  if (write.has_snapshot())
    adopt_snapshot(group, write.snapshot());
  uint64_t truncate_from = write.truncate_from();
  if (truncate_from > group.snapshot.index() &&
      truncate_from <= raft_last_index(group))
    group.log.resize(truncate_from - group.snapshot.index() - 1);
  for (const wire::log_entry& entry : write.entries()) {
    if (entry.index() == raft_last_index(group) + 1)
      group.log.push_back(entry);
  }
  refresh_members(group);
}

void raft_replay_done(raft_group& group, int64_t now) {
  group.synced_index = raft_last_index(group);
  group.commit_index = group.snapshot.index();
  reset_election_timer(group, now);
}

void raft_tick(raft_group& group, int64_t now, raft_output& out) {
  if (group.role == raft_role::leader) {
    if (now >= group.handover_until_ms)
      group.handover_target = 0;
    if (now >= group.quorum_check_at_ms)
      check_quorum(group, now, out);
    if (group.role == raft_role::leader)
      replace_members(group, now, out);
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
    case wire::raft_message::BODY_NOT_SET:
      break;
  }
}

std::optional<uint64_t> raft_propose(raft_group& group,
                                     wire::command command,
                                     int64_t now,
                                     raft_output& out) {
  if (group.role != raft_role::leader || group.handover_target != 0)
    return std::nullopt;
  wire::log_entry entry;
  entry.set_index(raft_last_index(group) + 1);
  entry.set_term(group.term);
  *entry.mutable_command() = std::move(command);
  uint64_t index = entry.index();
  append(group, std::move(entry), write(group, out));
  send_new_entries(group, now, out);
  return index;
}

void raft_synced(raft_group& group, int64_t now, raft_output& out) {
  group.unsynced_writes = false;
  group.synced_index = raft_last_index(group);
  for (wire::raft_message& message : group.held_messages) {
    if (message.term() == group.term)
      out.messages.push_back(std::move(message));
  }
  group.held_messages.clear();
  if (group.role == raft_role::candidate &&
      group.voted_for == group.self.identity()) {
    group.votes[group.self.identity()] = true;
    if (votes_granted(group) >= majority(group))
      become_leader(group, now, out);
  }
  if (group.role == raft_role::leader && !group.unsynced_writes)
    advance_commit(group, out);
}

void raft_announce(raft_group& group,
                   std::string_view host,
                   uint64_t identity) {
  group.strangers[std::string(host)] = identity;
}

void raft_compact(raft_group& group,
                  uint64_t index,
                  std::string data,
                  raft_output& out) {
  if (index <= group.snapshot.index() || index > group.commit_index)
    return;
  wire::snapshot snapshot;
  snapshot.set_index(index);
  snapshot.set_term(*term_at(group, index));
  snapshot.set_data(std::move(data));
  // The membership as of `index`, which may be older than the one in force.
  *snapshot.mutable_members() = *membership_at(group, index).second;
  adopt_snapshot(group, snapshot);
  *write(group, out).mutable_snapshot() = group.snapshot;
}

bool raft_hand_over(raft_group& group, int64_t now, raft_output& out) {
  if (group.role != raft_role::leader)
    return false;
  uint64_t best = 0;
  uint64_t best_match = 0;
  for (const auto& [identity, progress] : group.progress) {
    bool recent =
        now - progress.last_heard_ms <= 2 * group.options.heartbeat_interval_ms;
    if (identity == group.self.identity() || progress.learner || !recent)
      continue;
    if (best == 0 || progress.match > best_match) {
      best = identity;
      best_match = progress.match;
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

uint64_t raft_last_index(const raft_group& group) {
  return group.log.empty() ? group.snapshot.index() : group.log.back().index();
}

bool raft_is_voter(const raft_group& group, uint64_t identity) {
  return std::any_of(group.members.voters().begin(),
                     group.members.voters().end(),
                     [identity](const wire::member& voter) {
                       return voter.identity() == identity;
                     });
}

std::string raft_leader_host(const raft_group& group) {
  for (const wire::member& voter : group.members.voters()) {
    if (voter.identity() == group.leader)
      return voter.host();
  }
  return {};
}

bool raft_leader_ready(const raft_group& group) {
  return group.role == raft_role::leader &&
         group.commit_index >= group.term_start_index;
}

wire::wal_write raft_dump(const raft_group& group) {
  wire::wal_write dump;
  dump.set_group(group.name);
  dump.set_term(group.term);
  dump.set_voted_for(group.voted_for);
  *dump.mutable_initial_members() = group.initial_members;
  if (group.snapshot.index() >= FIRST_INDEX)
    *dump.mutable_snapshot() = group.snapshot;
  for (const wire::log_entry& entry : group.log)
    *dump.add_entries() = entry;
  return dump;
}

}  // namespace cyclamenwood
