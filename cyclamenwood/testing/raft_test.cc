// Tests of consensus rules that the randomized tests exercise only rarely.
#include "cyclamenwood/raft.h"

#include <gtest/gtest.h>

namespace cyclamenwood {
namespace {

wire::member make_member(const std::string& host, uint64_t identity) {
  wire::member member;
  member.set_host(host);
  member.set_identity(identity);
  return member;
}

wire::membership three_members() {
  wire::membership members;
  for (uint64_t identity : {1, 2, 3})
    *members.add_voters() =
        make_member("h" + std::to_string(identity), identity);
  return members;
}

raft_group make_group(uint64_t identity) {
  return make_raft_group("g",
                         make_member("h" + std::to_string(identity), identity),
                         three_members(), raft_options(), identity, 0);
}

wire::raft_message append_from(uint64_t leader,
                               uint64_t term,
                               uint64_t to,
                               uint64_t index,
                               uint64_t entry_term) {
  wire::raft_message message;
  message.set_group("g");
  message.set_from(leader);
  message.set_to(to);
  message.set_term(term);
  wire::append_request& request = *message.mutable_append_request();
  request.set_previous_index(index - 1);
  wire::log_entry& entry = *request.add_entries();
  entry.set_index(index);
  entry.set_term(entry_term);
  entry.mutable_command()->set_noop(true);
  return message;
}

wire::raft_message vote_from(uint64_t candidate, uint64_t term, uint64_t to) {
  wire::raft_message message;
  message.set_group("g");
  message.set_from(candidate);
  message.set_to(to);
  message.set_term(term);
  message.mutable_vote_request()->set_last_index(9);
  message.mutable_vote_request()->set_last_term(9);
  return message;
}

// Votes and acknowledgments are sent only after the writes they depend on are
// synced.
TEST(raft, votes_and_acknowledgments_wait_for_the_sync) {
  raft_group group = make_group(1);
  raft_output out;
  raft_receive(group, vote_from(2, 5, 1), 10, out);
  EXPECT_EQ(out.writes.size(), 2U);
  EXPECT_TRUE(out.messages.empty());
  raft_synced(group, 11, out);
  ASSERT_EQ(out.messages.size(), 1U);
  EXPECT_TRUE(out.messages[0].vote_reply().granted());
  raft_output second;
  raft_receive(group, vote_from(3, 5, 1), 12, second);
  raft_synced(group, 12, second);
  ASSERT_EQ(second.messages.size(), 1U);
  EXPECT_FALSE(second.messages[0].vote_reply().granted());
}

// An acknowledgment that waits for a sync must not be sent if a newer leader
// replaces its entry in the meantime: the old leader would count an entry that
// no longer exists.
TEST(raft, acknowledgments_of_an_older_term_are_dropped) {
  raft_group group = make_group(1);
  raft_output out;
  raft_receive(group, append_from(2, 5, 1, 1, 5), 10, out);
  raft_receive(group, append_from(3, 6, 1, 1, 6), 11, out);
  raft_synced(group, 12, out);
  ASSERT_EQ(out.messages.size(), 1U);
  EXPECT_EQ(out.messages[0].to(), 3U);
  EXPECT_EQ(out.messages[0].term(), 6U);
}

// A replica with a new identity has an empty log and is not a voter. It neither
// grants a vote nor starts an election, whatever the settings say later.
TEST(raft, an_empty_replacement_neither_votes_nor_campaigns) {
  raft_group group = make_raft_group("g", make_member("h3", 99),
                                     three_members(), raft_options(), 1, 0);
  raft_output out;
  raft_receive(group, vote_from(2, 5, 99), 10, out);
  raft_synced(group, 10, out);
  ASSERT_EQ(out.messages.size(), 1U);
  EXPECT_FALSE(out.messages[0].vote_reply().granted());
  raft_output later;
  for (int64_t now = 0; now < 60'000; now += 100)
    raft_tick(group, now, later);
  EXPECT_TRUE(later.messages.empty());
}

TEST(raft, settings_do_not_change_a_written_membership) {
  raft_group group = make_group(1);
  raft_output out;
  raft_write_initial_members(group, out);
  wire::membership edited = three_members();
  edited.mutable_voters(2)->set_identity(99);
  raft_group restarted =
      make_raft_group("g", make_member("h1", 1), edited, raft_options(), 1, 0);
  raft_replay(restarted, out.writes[0]);
  EXPECT_TRUE(raft_is_voter(restarted, 3));
  EXPECT_FALSE(raft_is_voter(restarted, 99));
}

wire::raft_message vote_for(uint64_t from, uint64_t term, bool pre_vote) {
  wire::raft_message message;
  message.set_group("g");
  message.set_from(from);
  message.set_to(1);
  message.set_term(term);
  message.mutable_vote_reply()->set_granted(true);
  message.mutable_vote_reply()->set_pre_vote(pre_vote);
  return message;
}

wire::raft_message accepted_up_to(uint64_t from,
                                  uint64_t term,
                                  uint64_t index) {
  wire::raft_message message;
  message.set_group("g");
  message.set_from(from);
  message.set_to(1);
  message.set_term(term);
  message.mutable_append_reply()->set_accepted(true);
  message.mutable_append_reply()->set_index(index);
  return message;
}

// An entry of an older term is not committed merely because a majority of the
// replicas holds it: a later leader without it could still be elected (Ongaro
// and Ousterhout, figure 8).
TEST(raft, entries_of_older_terms_commit_with_one_of_the_own_term) {
  raft_group group = make_group(1);
  raft_output out;
  raft_receive(group, append_from(2, 1, 1, 1, 1), 10, out);
  raft_synced(group, 10, out);
  raft_tick(group, 60'000, out);
  raft_receive(group, vote_for(3, 2, true), 60'001, out);
  raft_synced(group, 60'001, out);
  raft_receive(group, vote_for(3, 2, false), 60'002, out);
  raft_synced(group, 60'002, out);
  ASSERT_EQ(group.role, raft_role::leader);
  raft_receive(group, accepted_up_to(2, 2, 1), 60'003, out);
  EXPECT_TRUE(out.committed.empty());
  raft_receive(group, accepted_up_to(2, 2, 2), 60'004, out);
  EXPECT_EQ(out.committed.size(), 2U);
}

// A delayed snapshot must not remove entries that were acknowledged.
TEST(raft, a_snapshot_keeps_the_tail_that_continues_it) {
  raft_group group = make_group(1);
  raft_output out;
  for (uint64_t index = 1; index <= 5; ++index) {
    wire::raft_message message = append_from(2, 5, 1, index, 5);
    message.mutable_append_request()->set_previous_term(index == 1 ? 0 : 5);
    raft_receive(group, message, 10, out);
  }
  wire::raft_message snapshot;
  snapshot.set_group("g");
  snapshot.set_from(2);
  snapshot.set_to(1);
  snapshot.set_term(5);
  wire::snapshot& body =
      *snapshot.mutable_install_snapshot()->mutable_snapshot();
  body.set_index(3);
  body.set_term(5);
  *body.mutable_members() = three_members();
  raft_receive(group, snapshot, 11, out);
  EXPECT_EQ(raft_last_index(group), 5U);
  EXPECT_EQ(group.log.front().index(), 4U);
}

}  // namespace
}  // namespace cyclamenwood
