// The log of one replica: entries, snapshot and membership, and the rule that a
// message that depends on a write is sent only after the write is synced.
//
// Every change of the term, the vote or the log goes through `begin_write()`,
// which marks the group as having unsynced writes. Messages that depend on
// those writes go through `send_after_sync()` and are kept in
// `messages_awaiting_sync` until `raft_synced()`.
#include "cyclamenwood/raft_internal.h"

#include <algorithm>
#include <utility>

namespace cyclamenwood {
namespace {

// Returns the newest membership in the log up to `index`, with the index of its
// entry.
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

void push_entry(raft_group& group, wire::log_entry entry) {
  uint64_t start = group.log_ends_bytes.empty() ? group.log_start_bytes
                                                : group.log_ends_bytes.back();
  group.log_ends_bytes.push_back(start + entry.ByteSizeLong());
  group.log.push_back(std::move(entry));
}

// Removes the entries up to `index`.
void drop_log_through(raft_group& group, uint64_t index) {
  while (!group.log.empty() && group.log.front().index() <= index) {
    group.log.pop_front();
    group.log_start_bytes = group.log_ends_bytes.front();
    group.log_ends_bytes.pop_front();
  }
}

// The write that a new write-ahead log begins with.
wire::wal_write dump_without_log(const raft_group& group) {
  wire::wal_write dump;
  dump.set_group(group.name);
  dump.set_term(group.term);
  dump.set_voted_for(group.voted_for);
  *dump.mutable_initial_members() = group.initial_members;
  if (group.snapshot.index() > 0)
    *dump.mutable_snapshot() = group.snapshot;
  return dump;
}

}  // namespace

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

void refresh_members(raft_group& group) {
  auto [index, members] = membership_at(group, raft_last_index(group));
  group.members = *members;
  group.members_index = index;
}

// Replaces the log up to the snapshot's index with the snapshot. Later entries
// are kept if the log contains the snapshot's last entry, since they may have
// been acknowledged.
void adopt_snapshot(raft_group& group, const wire::snapshot& snapshot) {
  bool continues = term_at(group, snapshot.index()) == snapshot.term();
  drop_log_through(group,
                   continues ? snapshot.index() : raft_last_index(group));
  group.snapshot = snapshot;
  refresh_members(group);
}

wire::wal_write& begin_write(raft_group& group, raft_output& out) {
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

// Sends a message that is valid only once the writes so far are synced.
void send_after_sync(raft_group& group,
                     wire::raft_message message,
                     raft_output& out) {
  if (group.unsynced_writes)
    group.messages_awaiting_sync.push_back(std::move(message));
  else
    out.messages.push_back(std::move(message));
}

void deliver_committed(raft_group& group, uint64_t commit, raft_output& out) {
  while (group.commit_index < commit) {
    ++group.commit_index;
    out.committed.push_back(entry_at(group, group.commit_index));
  }
}

void append_entry(raft_group& group,
                  wire::log_entry entry,
                  wire::wal_write& record) {
  *record.add_entries() = entry;
  bool changes_members = entry.command().has_members();
  push_entry(group, std::move(entry));
  if (changes_members)
    refresh_members(group);
}

void truncate_log(raft_group& group, uint64_t index) {
  size_t kept = index - group.snapshot.index() - 1;
  group.log.resize(kept);
  group.log_ends_bytes.resize(kept);
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
    truncate_log(group, truncate_from);
  for (const wire::log_entry& entry : write.entries()) {
    if (entry.index() == raft_last_index(group) + 1)
      push_entry(group, entry);
  }
  refresh_members(group);
}

void raft_replay_done(raft_group& group, int64_t now) {
  group.synced_index = raft_last_index(group);
  group.commit_index = group.snapshot.index();
  start_election_timer(group, now);
}

void raft_write_initial_members(raft_group& group, raft_output& out) {
  *begin_write(group, out).mutable_initial_members() = group.initial_members;
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
  // The membership at `index` may be older than the one in force.
  *snapshot.mutable_members() = *membership_at(group, index).second;
  adopt_snapshot(group, snapshot);
  *begin_write(group, out).mutable_snapshot() = group.snapshot;
}

std::vector<wire::wal_write> raft_dump(const raft_group& group) {
  std::vector<wire::wal_write> writes{dump_without_log(group)};
  uint64_t first = group.snapshot.index() + 1;
  for (const wire::log_entry& entry : group.log) {
    bool is_full = raft_log_bytes(group, first, entry.index()) >
                   group.options.max_bytes_per_message;
    if (is_full) {
      first = entry.index();
      wire::wal_write& next = writes.emplace_back();
      next.set_group(group.name);
      next.set_term(group.term);
      next.set_voted_for(group.voted_for);
    }
    *writes.back().add_entries() = entry;
  }
  return writes;
}

uint64_t raft_log_bytes(const raft_group& group,
                        uint64_t first,
                        uint64_t last) {
  auto end_of = [&group](uint64_t index) {
    return index == group.snapshot.index()
               ? group.log_start_bytes
               : group.log_ends_bytes[index - group.snapshot.index() - 1];
  };
  return first > last ? 0 : end_of(last) - end_of(first - 1);
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

}  // namespace cyclamenwood
