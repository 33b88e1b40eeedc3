// Functions shared by the source files of the consensus reducer. Not part of
// its public interface.
#ifndef CYCLAMENWOOD_RAFT_INTERNAL_H_
#define CYCLAMENWOOD_RAFT_INTERNAL_H_

#include <optional>
#include <string_view>

#include "cyclamenwood/raft.h"

namespace cyclamenwood {

// ---- raft_log.cc ------------------------------------------------------------

uint64_t last_term(const raft_group& group);
std::optional<uint64_t> term_at(const raft_group& group, uint64_t index);
const wire::log_entry& entry_at(const raft_group& group, uint64_t index);
size_t majority(const raft_group& group);
void refresh_members(raft_group& group);
void adopt_snapshot(raft_group& group, const wire::snapshot& snapshot);
wire::wal_write& begin_write(raft_group& group, raft_output& out);
wire::raft_message message_to(const raft_group& group, uint64_t to);
void send_after_sync(raft_group& group,
                     wire::raft_message message,
                     raft_output& out);
void deliver_committed(raft_group& group, uint64_t commit, raft_output& out);
void append_entry(raft_group& group,
                  wire::log_entry entry,
                  wire::wal_write& record);
// Removes the entries from `index` on.
void truncate_log(raft_group& group, uint64_t index);

// ---- raft_leader.cc ---------------------------------------------------------

// Adds progress for new voters and removes that of replicas that are neither
// voters nor learners.
void sync_progress_with_members(raft_group& group, int64_t now);
void advance_commit(raft_group& group, raft_output& out);
void send_append(raft_group& group,
                 uint64_t to,
                 raft_progress& progress,
                 int64_t now,
                 raft_output& out);
void send_pending_entries(raft_group& group, int64_t now, raft_output& out);
void send_heartbeats(raft_group& group, int64_t now, raft_output& out);
void become_leader(raft_group& group, int64_t now, raft_output& out);
void handle_append_reply(raft_group& group,
                         const wire::raft_message& message,
                         int64_t now,
                         raft_output& out);
void check_quorum(raft_group& group, int64_t now, raft_output& out);

// ---- raft_members.cc --------------------------------------------------------

void advance_membership(raft_group& group, int64_t now, raft_output& out);
// Whether this replica leads and the membership in force is committed.
bool can_change_members(const raft_group& group);
// Whether there is a voter too many, which the leader will remove.
bool has_surplus(const raft_group& group);
// Whether a replica on `host` may take the place of the voter `replaced`
// without exceeding the limit of voters in one zone.
bool zone_has_place(const raft_group& group,
                    const std::string& host,
                    uint64_t replaced);
// Whether the replica has sent a message within the election timeout, or has no
// progress record yet. For leaders.
bool is_in_contact(const raft_group& group, uint64_t identity, int64_t now);

// ---- raft_leave.cc ----------------------------------------------------------

// Whether the replica has sent a leave request recently.
bool is_leaving(const raft_group& group, uint64_t identity, int64_t now);
void handle_leave_request(raft_group& group,
                          const wire::raft_message& message,
                          int64_t now,
                          raft_output& out);

// ---- raft.cc ----------------------------------------------------------------

void reset_election_timer(raft_group& group, int64_t now);
// Sets the election timer after a start; see
// raft_options::first_election_timeout_ms.
void start_election_timer(raft_group& group, int64_t now);
void become_follower(raft_group& group,
                     uint64_t term,
                     uint64_t leader,
                     int64_t now,
                     raft_output& out);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_RAFT_INTERNAL_H_
