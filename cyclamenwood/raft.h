// The consensus reducer: one replica of one replicated log.
//
// The reducer implements Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014) with pre-vote, check-quorum,
// log compaction and leader handover. It performs no I/O: each call returns
// the writes to persist and the messages to send, and the caller reports when
// the writes are synced. A message that promises durability (a vote or an
// acknowledgment) is released only after `raft_synced` has covered the write
// that it depends on.
//
//   raft_group group = make_raft_group("claims/kranj", self, voters, options,
//                                      seed, now);
//   raft_output out;
//   raft_tick(group, now, out);           // timers
//   raft_receive(group, message, now, out);
//   raft_propose(group, command, out);    // once per command
//   raft_flush(group, now, out);          // once per batch of commands
//   ... write out.writes, sync, then:
//   raft_synced(group, now, out);
//   ... send out.messages, apply out.committed in order.
//
// Replacing a replica. A replica is identified by (host, identity); the
// identity is stored in its data folder. A folder that is formatted after a
// loss gets a new identity, so the host returns as a replica that is not a
// member: it is never asked for a vote and its acknowledgments are not counted.
// The leader replicates the log to it as a learner. Once it has caught up, the
// leader commits a membership without the lost identity, and then one that
// includes the new identity.
//
// Stopping a replica. With open membership, a voter that is about to stop asks
// to leave and runs on until a learner has taken its place or no learner can:
//
//   bool may_stop = raft_leave(group, now, out);   // with each tick
//
// The learner becomes a voter before the leaving one is removed, so that the
// group tolerates as many lost disks as before at every moment.
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
  // An election starts when no message from a leader arrived for a random time
  // in [election_timeout_ms, 2 * election_timeout_ms).
  int64_t election_timeout_ms = 1000;
  // The first election timeout after a start is drawn from
  // [first_election_timeout_ms, 2 * first_election_timeout_ms), so that a group
  // that lost power on all hosts does not wait the full timeout for a leader
  // that cannot exist. It must exceed the heartbeat interval, so that a
  // heartbeat of a live leader arrives first. Voters in contact with that
  // leader would refuse a vote anyway. 0 uses election_timeout_ms.
  int64_t first_election_timeout_ms = 0;
  int64_t heartbeat_interval_ms = 250;
  // An append without an answer is sent again after this time.
  int64_t resend_timeout_ms = 500;
  size_t max_entries_per_message = 512;
  // One entry is sent whatever its size.
  uint64_t max_bytes_per_message = 1 << 20;
  // Limits on entries sent but not yet acknowledged, per replica.
  size_t max_entries_in_flight = 4096;
  uint64_t max_bytes_in_flight = 2 << 20;
  // Limit on entries that are not committed yet; see raft_has_room().
  uint64_t max_uncommitted_bytes = 8 << 20;
  // Any host may join as a learner, and a learner may replace a voter that has
  // not been in contact for `replace_after_ms`. Otherwise only the hosts of the
  // initial membership participate.
  bool open_membership = false;
  // With open membership, voters are added up to this number.
  int target_voters = 3;
  // Must be shorter than the time after which a removed host no longer counts
  // as lost.
  int64_t replace_after_ms = 2'500;
  // After this time a replacement is accepted even if its availability zone
  // already has a voter.
  int64_t replace_in_any_zone_after_ms = 10'000;
};

enum class raft_role { follower, pre_candidate, candidate, leader };

// A leader's replication state for one replica.
struct raft_progress {
  std::string host;
  // Highest index known to be synced on the replica.
  uint64_t match = 0;
  // Next index to send. Invariant: next > match.
  uint64_t next = 1;
  int64_t last_contact_ms = 0;
  int64_t resend_at_ms = 0;
  // Set until the replica has accepted an append. While it is set, one append
  // at a time is sent; afterwards appends are pipelined.
  bool probing = true;
  bool learner = false;
  // Learners only: a catch-up round has ended in time.
  bool caught_up = false;
  // Learners only: last index of the log when the current catch-up round began.
  uint64_t round_end = 0;
  int64_t round_started_ms = 0;
};

struct raft_group {
  std::string name;
  wire::member self;
  raft_options options;

  // Persistent state. `term` and `voted_for` are part of every write, so that a
  // change of them reaches the disk with the next write.
  uint64_t term = 0;
  uint64_t voted_for = 0;
  // Entries after the snapshot. Invariant: log[i].index ==
  // snapshot.index + 1 + i.
  std::deque<wire::log_entry> log;
  // Total size of all entries up to and including log[i], counted from
  // `log_start_bytes`. Invariant: log_ends_bytes.size() == log.size().
  std::deque<uint64_t> log_ends_bytes;
  uint64_t log_start_bytes = 0;
  wire::snapshot snapshot;

  // In force until the log contains a membership. Persistent.
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
  // Leaders only: index of the first entry of the current term. Only entries
  // from this index on are committed by counting replicas; earlier ones are
  // committed along with them.
  uint64_t term_start_index = 0;

  std::map<uint64_t, bool> votes;
  std::map<uint64_t, raft_progress> progress;
  // Identities announced by replicas that a group does not count as members,
  // by host. May hold identities that have become voters since.
  std::map<std::string, uint64_t> announced_identities;
  // Replicas that are about to stop, with the time at which their last leave
  // request expires. Such a replica is never in `announced_identities`.
  std::map<uint64_t, int64_t> leaving_until_ms;
  // When this replica repeats its own leave request, and whether the leader has
  // replied to it.
  int64_t leave_request_at_ms = 0;
  bool may_stop = false;
  // Availability zones by host; hosts of unknown zones are absent.
  std::map<std::string, std::string> zones;

  int64_t last_leader_contact_ms = INT64_MIN / 2;
  int64_t election_at_ms = 0;
  int64_t heartbeat_at_ms = 0;
  int64_t quorum_check_at_ms = 0;
  // The voter that is to become leader. While nonzero, proposals are refused.
  uint64_t handover_target = 0;
  int64_t handover_until_ms = 0;
  std::mt19937_64 random;

  // Messages to send once the current writes are synced. Messages of an older
  // term are dropped at that point: a newer leader may have replaced the
  // entries that they acknowledge.
  std::vector<wire::raft_message> messages_awaiting_sync;
  bool unsynced_writes = false;
};

enum class membership_step {
  learner_started,
  learner_caught_up,
  voter_added,
  voter_removed,
};

// Returns the name used in logs.
std::string_view to_string(membership_step step);

// What a leader did to the membership. A voter was added or removed by an entry
// that may not be committed yet.
struct membership_event {
  membership_step step = membership_step::learner_started;
  std::string host;
  // Time since the replica's last message.
  int64_t silent_ms = 0;
};

struct raft_output {
  // For logs only.
  std::vector<membership_event> membership_events;
  std::vector<wire::wal_write> writes;
  std::vector<wire::raft_message> messages;
  // Newly committed entries in index order, each exactly once.
  std::vector<wire::log_entry> committed;
  // Set when a received snapshot replaces the state machine. To be applied
  // before `committed`.
  std::optional<wire::snapshot> restored;
};

// Returns a replica with an empty log. `voters` is the initial membership from
// the settings; a replica that is not listed there starts as a learner.
raft_group make_raft_group(std::string_view name,
                           const wire::member& self,
                           const wire::membership& voters,
                           const raft_options& options,
                           uint64_t seed,
                           int64_t now);

// Persists the initial membership. To be called once for a new group, after
// the replay and before any other function.
void raft_write_initial_members(raft_group& group, raft_output& out);

// Rebuilds state from one write of the write-ahead log. To be called for each
// write in log order, before the group runs.
void raft_replay(raft_group& group, const wire::wal_write& write);

// Ends the replay: everything that was read counts as synced. Entries after the
// snapshot are delivered again when the protocol finds them committed.
void raft_replay_done(raft_group& group, int64_t now);

// Runs the timers: elections, heartbeats, resends and membership changes.
void raft_tick(raft_group& group, int64_t now, raft_output& out);

// Handles a message of another replica. A message for another identity is
// ignored.
void raft_receive(raft_group& group,
                  const wire::raft_message& message,
                  int64_t now,
                  raft_output& out);

// Appends a command and returns its index, or nothing when this replica is not
// the leader or is handing leadership over. Once the index is committed with an
// entry of the same term, the command is never lost. The next raft_flush or
// raft_synced sends it to the other replicas, so that commands proposed
// together share messages.
std::optional<uint64_t> raft_propose(raft_group& group,
                                     wire::command command,
                                     raft_output& out);

// Whether entries that are not committed yet leave room for another one. A
// caller that proposes large commands checks this first: a leader whose
// followers are slow would otherwise collect them without a limit.
bool raft_has_room(const raft_group& group);

// Sends the commands proposed since the last call. To be called before the
// sync, so that all replicas write to disk in parallel.
void raft_flush(raft_group& group, int64_t now, raft_output& out);

// Reports that all writes returned so far are on disk.
void raft_synced(raft_group& group, int64_t now, raft_output& out);

// Records that a replica on `host` announced `identity`. The leader replaces a
// member on that host whose identity differs.
void raft_record_announcement(raft_group& group,
                              std::string_view host,
                              uint64_t identity);

// Replaces the log up to `index` with a snapshot whose state machine is `data`.
// Does nothing when `index` is not committed or already in a snapshot.
void raft_compact(raft_group& group,
                  uint64_t index,
                  std::string data,
                  raft_output& out);

// Starts to hand leadership over: the voter with the longest replicated log,
// and one that is not leaving itself if there is one, is brought up to date and
// asked to start an election at once. Returns false when this replica does not
// lead or no other voter is in contact.
bool raft_hand_over(raft_group& group, int64_t now, raft_output& out);

// Asks the group to let a learner take this replica's place before the process
// stops. To be called with each tick until it returns true: the leader has
// committed a membership without this replica, or no learner can take its
// place. A leader hands leadership over first; until then the result is false.
bool raft_leave(raft_group& group, int64_t now, raft_output& out);

uint64_t raft_last_index(const raft_group& group);
// The size of the log's entries from `first` to `last`; both are in the log.
uint64_t raft_log_bytes(const raft_group& group, uint64_t first, uint64_t last);
bool raft_is_voter(const raft_group& group, uint64_t identity);
// Empty when no leader is known.
std::string raft_leader_host(const raft_group& group);
// Whether this replica leads and has committed an entry of its own term, so
// that its state machine holds every acknowledged command.
bool raft_leader_ready(const raft_group& group);

// Returns writes that hold the replica's whole persistent state, for the start
// of a new write-ahead log file. None is much larger than
// `max_bytes_per_message`, apart from one with a larger snapshot or entry.
std::vector<wire::wal_write> raft_dump(const raft_group& group);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_RAFT_H_
