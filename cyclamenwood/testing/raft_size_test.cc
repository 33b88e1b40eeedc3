// Logs with large entries: messages and writes are bounded in bytes.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cyclamenwood/raft.h"

namespace cyclamenwood {
namespace {

constexpr size_t ENTRY_BYTES = 400'000;
constexpr uint64_t ENTRIES = 20;

wire::membership two_members() {
  wire::membership members;
  for (uint64_t identity : {1, 2}) {
    wire::member& voter = *members.add_voters();
    voter.set_host("h" + std::to_string(identity));
    voter.set_identity(identity);
  }
  return members;
}

wire::raft_message message_of(uint64_t term) {
  wire::raft_message message;
  message.set_group("g");
  message.set_from(2);
  message.set_to(1);
  message.set_term(term);
  return message;
}

// A leader of two replicas that has proposed large commands.
class large_entries : public testing::Test {
 protected:
  void SetUp() override {
    group =
        make_raft_group("g", two_members().voters(0), two_members(), {}, 1, 0);
    raft_output out;
    raft_tick(group, now, out);
    vote(true, 1);
    vote(false, 1);
    ASSERT_EQ(group.role, raft_role::leader);
    accept(raft_last_index(group));
    for (uint64_t i = 0; i < ENTRIES; ++i) {
      wire::command command;
      command.mutable_latest()->set_content(std::string(ENTRY_BYTES, 'x'));
      raft_propose(group, command, out);
    }
  }

  void vote(bool pre_vote, uint64_t term) {
    wire::raft_message message = message_of(term);
    message.mutable_vote_reply()->set_granted(true);
    message.mutable_vote_reply()->set_pre_vote(pre_vote);
    raft_output out;
    raft_receive(group, message, now, out);
    raft_synced(group, now, out);
  }

  raft_output accept(uint64_t index) {
    wire::raft_message message = message_of(group.term);
    message.mutable_append_reply()->set_accepted(true);
    message.mutable_append_reply()->set_index(index);
    raft_output out;
    raft_receive(group, message, now, out);
    return out;
  }

  static size_t bytes_of(const raft_output& out) {
    size_t bytes = 0;
    for (const wire::raft_message& message : out.messages)
      bytes += message.ByteSizeLong();
    return bytes;
  }

  raft_group group;
  int64_t now = 60'000;
};

// review/3: an append contained up to 512 entries, whatever their size.
TEST_F(large_entries, are_sent_in_parts) {
  raft_output out;
  raft_flush(group, now, out);
  uint64_t last = 0;
  while (!out.messages.empty()) {
    EXPECT_LE(bytes_of(out), group.options.max_bytes_in_flight +
                                 group.options.max_bytes_per_message);
    for (const wire::raft_message& message : out.messages) {
      EXPECT_LE(message.ByteSizeLong(),
                group.options.max_bytes_per_message + 1000);
      const auto& entries = message.append_request().entries();
      if (!entries.empty())
        last = entries.rbegin()->index();
    }
    out = accept(last);
  }
  EXPECT_EQ(last, raft_last_index(group));
}

// review/3: the log was written anew as one record, which was copied several
// times.
TEST_F(large_entries, are_written_in_parts) {
  std::vector<wire::wal_write> writes = raft_dump(group);
  raft_group restarted =
      make_raft_group("g", two_members().voters(0), {}, {}, 1, 0);
  for (const wire::wal_write& write : writes) {
    EXPECT_LE(write.ByteSizeLong(), group.options.max_bytes_per_message + 1000);
    raft_replay(restarted, write);
  }
  EXPECT_EQ(restarted.term, group.term);
  ASSERT_EQ(restarted.log.size(), group.log.size());
  EXPECT_TRUE(
      std::equal(group.log.begin(), group.log.end(), restarted.log.begin(),
                 [](const auto& a, const auto& b) {
                   return a.SerializeAsString() == b.SerializeAsString();
                 }));
}

// One entry is sent whatever its size.
TEST_F(large_entries, are_sent_one_by_one_if_each_is_above_the_limit) {
  group.options.max_bytes_per_message = ENTRY_BYTES / 2;
  raft_output out;
  raft_flush(group, now, out);
  ASSERT_FALSE(out.messages.empty());
  for (const wire::raft_message& message : out.messages)
    EXPECT_EQ(message.append_request().entries_size(), 1);
}

// The sizes follow the log when it is shortened at either end.
TEST_F(large_entries, are_counted_after_a_snapshot_and_a_truncation) {
  raft_output out;
  raft_synced(group, now, out);
  accept(raft_last_index(group));
  raft_compact(group, 5, "state", out);
  wire::wal_write truncation = raft_dump(group).front();
  truncation.set_truncate_from(10);
  raft_replay(group, truncation);
  uint64_t bytes = 0;
  for (const wire::log_entry& entry : group.log)
    bytes += entry.ByteSizeLong();
  EXPECT_EQ(group.log.front().index(), 6U);
  EXPECT_EQ(raft_last_index(group), 9U);
  EXPECT_EQ(raft_log_bytes(group, 6, 9), bytes);
}

}  // namespace
}  // namespace cyclamenwood
