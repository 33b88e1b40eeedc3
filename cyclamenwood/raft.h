// One replica of one replicated log: the consensus reducer.
//
// The reducer follows Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014) with pre-vote, check-quorum,
// log compaction and leader handover. It performs no I/O: each call returns
// what to write and what to send, and the caller reports back when the writes
// are synced. Nothing that promises durability (a vote, an acknowledgment) is
// released before `raft_synced` has covered the write behind it.
//
//   raft_group group = make_raft_group("claims/kranj", self, voters, options,
//                                      seed, now);
//   raft_output out;
//   raft_tick(group, now, out);           // timers
//   raft_receive(group, message, now, out);
//   raft_propose(group, command, out);    // as often as wanted, then
//   raft_flush(group, now, out);
//   ... write out.writes, sync, then:
//   raft_synced(group, now, out);
//   ... send out.messages, apply out.committed in order.
//
// Replacing a replica. A replica is named by (host, identity); the identity
// lives in its data folder and is drawn anew when a folder is formatted. A
// folder that was lost therefore comes back as a replica that is no member:
// it is never asked for a vote and its acknowledgments are not counted. The
// leader sends it the log as a learner, and once it has caught up commits a
// membership without the lost identity, and then one with the new one.
#ifndef CYCLAMENWOOD_RAFT_H_
#define CYCLAMENWOOD_RAFT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

struct raft_options {
  // An election starts when no leader was heard for a time drawn from
  // [election_timeout_ms, 2 * election_timeout_ms).
  int64_t election_timeout_ms = 1000;
  // After a start the first time is drawn from [first_election_ms,
  // 2 * first_election_ms), so that a group that lost its power everywhere need
  // not wait for a leader that can't be. Longer than a heartbeat: a live leader
  // is heard first, and its voters grant no vote anyway. 0: as all others.
  int64_t first_election_ms = 0;
  int64_t heartbeat_interval_ms = 250;
  // An unanswered append is repeated after this time.
  int64_t resend_timeout_ms = 500;
  size_t max_entries_a_message = 512;
  // Appends sent ahead of their acknowledgment, in entries.
  size_t max_entries_in_flight = 4096;
  // Any host may join as a learner, and one takes the place of a voter that
  // was silent for `replace_after_ms`. Otherwise only the hosts of the first
  // membership take part.
  bool open_membership = false;
  // With open membership: voters are added up to this number.
  int target_voters = 3;
  // Below the time after which a removed host no longer counts as lost.
  int64_t replace_after_ms = 2'500;
  // After this time a replacement is taken even where its availability zone
  // has a voter already.
  int64_t replace_anywhere_after_ms = 10'000;
};

enum class raft_role { follower, pre_candidate, candidate, leader };

// What a leader knows of one replica.
struct raft_progress {
  std::string host;
  // Highest index known to be synced there.
  uint64_t match = 0;
  // Next index to send. Invariant: next > match.
  uint64_t next = 1;
  int64_t last_heard_ms = 0;
  int64_t resend_at_ms = 0;
  // Set until the replica has accepted a first append; then appends are
  // pipelined.
  bool probing = true;
  bool learner = false;
  // Learners only: the end of the log when the current round began.
  uint64_t round_end = 0;
  int64_t round_started_ms = 0;
};

struct raft_group {
  std::string name;
  wire::member self;
  raft_options options;

  // Persistent state. `term` and `voted_for` reach disk with the next write.
  uint64_t term = 0;
  uint64_t voted_for = 0;
  // Entries after the snapshot. Invariant: log[i].index ==
  // snapshot.index + 1 + i.
  std::deque<wire::log_entry> log;
  wire::snapshot snapshot;

  // Holds until the log has a membership of its own. Persistent.
  wire::membership initial_members;

  // The newest membership in log or snapshot is in force from the moment it
  // is appended, as Raft requires.
  wire::membership members;
  uint64_t members_index = 0;

  // Last index covered by a finished sync. Invariant: synced <= last index.
  uint64_t synced_index = 0;

  raft_role role = raft_role::follower;
  uint64_t leader = 0;
  uint64_t commit_index = 0;
  // Index of the first entry of the leader's own term; only commits from
  // there on are counted directly.
  uint64_t term_start_index = 0;

  std::map<uint64_t, bool> votes;
  std::map<uint64_t, raft_progress> progress;
  // Hosts with an identity that is no member, as announced by themselves.
  std::map<std::string, uint64_t> strangers;
  // Availability zones of hosts, as far as known.
  std::map<std::string, std::string> zones;

  int64_t last_leader_contact_ms = INT64_MIN / 2;
  int64_t election_at_ms = 0;
  int64_t heartbeat_at_ms = 0;
  int64_t quorum_check_at_ms = 0;
  // While nonzero, proposals are refused and this voter is to take over.
  uint64_t handover_target = 0;
  int64_t handover_until_ms = 0;
  std::mt19937_64 random;

  // Messages that must wait for the current writes to be synced. Those of an
  // older term are dropped by then: a newer leader may have replaced the
  // entries that they acknowledge.
  std::vector<wire::raft_message> held_messages;
  bool unsynced_writes = false;
};

struct raft_output {
  std::vector<wire::wal_write> writes;
  std::vector<wire::raft_message> messages;
  // Newly committed entries, in index order, each exactly once.
  std::vector<wire::log_entry> committed;
  // Set when a received snapshot replaces the state machine; precedes
  // `committed`.
  std::optional<wire::snapshot> restored;
};

// A replica of an empty log. `voters` is the first membership from the
// settings; a replica that is not among them starts as a learner.
raft_group make_raft_group(std::string_view name,
                           const wire::member& self,
                           const wire::membership& voters,
                           const raft_options& options,
                           uint64_t seed,
                           int64_t now);

// Writes the first membership when the group's log has none yet. To be called
// once after the replay and before anything else.
void raft_write_initial_members(raft_group& group, raft_output& out);

// Rebuilds state from one write of the write-ahead log, in log order, before
// the group runs.
void raft_replay(raft_group& group, const wire::wal_write& write);

// Ends the replay: all that was read is synced. Committed entries are
// delivered again by the normal course of the protocol.
void raft_replay_done(raft_group& group, int64_t now);

void raft_tick(raft_group& group, int64_t now, raft_output& out);
void raft_receive(raft_group& group,
                  const wire::raft_message& message,
                  int64_t now,
                  raft_output& out);

// Appends a command when this replica leads; returns its index and, once
// committed there in the same term, it is never lost. The other replicas get
// it by the next raft_flush or raft_synced, so that commands proposed together
// travel together.
std::optional<uint64_t> raft_propose(raft_group& group,
                                     wire::command command,
                                     raft_output& out);

// Sends what was proposed since the last time; to be called before the sync,
// so that the other disks work at the same time.
void raft_flush(raft_group& group, int64_t now, raft_output& out);

// All writes returned so far are on disk.
void raft_synced(raft_group& group, int64_t now, raft_output& out);

// A replica on `host` announced `identity`. The leader replaces a member of
// that host whose identity differs.
void raft_announce(raft_group& group, std::string_view host, uint64_t identity);

// Replaces the log up to `index` by a snapshot. `index` must be committed.
void raft_compact(raft_group& group,
                  uint64_t index,
                  std::string data,
                  raft_output& out);

// Asks the most advanced voter to start an election at once. Returns false
// when there is nobody to hand over to.
bool raft_hand_over(raft_group& group, int64_t now, raft_output& out);

uint64_t raft_last_index(const raft_group& group);
bool raft_is_voter(const raft_group& group, uint64_t identity);
std::string raft_leader_host(const raft_group& group);
// The leader has committed an entry of its own term, so that its state
// machine holds every acknowledged command.
bool raft_leader_ready(const raft_group& group);

// A write that holds the whole replica: for a new write-ahead log file.
wire::wal_write raft_dump(const raft_group& group);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_RAFT_H_
