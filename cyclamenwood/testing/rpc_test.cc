#include "cyclamenwood/rpc.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenwood {
namespace {

constexpr auto PATIENCE = std::chrono::seconds(20);

// Collects what a node receives.
class inbox {
 public:
  void add(wire::envelope envelope) {
    std::lock_guard lock(mutex_);
    received_.push_back(std::move(envelope));
    arrived_.notify_all();
  }

  // Waits for `count` envelopes and returns all that have arrived by then.
  std::vector<wire::envelope> wait_for(size_t count) {
    std::unique_lock lock(mutex_);
    arrived_.wait_for(lock, PATIENCE,
                      [&] { return received_.size() >= count; });
    return received_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::vector<wire::envelope> received_;
};

class rpc_test : public testing::Test {
 protected:
  rpc_test()
      : address_(fmt::format("127.0.0.1:{}", 20'000 + getpid() % 9'000)) {}

  rpc_node make_node(inbox& into,
                     const std::map<std::string, std::string>& peers = {}) {
    return rpc_node(peers, [&into](wire::envelope envelope) {
      into.add(std::move(envelope));
    });
  }

  static wire::envelope numbered(const std::string& from, uint64_t number) {
    wire::envelope envelope;
    envelope.set_from(from);
    envelope.mutable_pool_hello()->set_requests(number);
    return envelope;
  }

  // Sends until the first one has arrived: those before may be dropped.
  static void send_until_received(rpc_node& node, inbox& at) {
    auto give_up = std::chrono::steady_clock::now() + PATIENCE;
    while (at.wait_for(0).empty() &&
           std::chrono::steady_clock::now() < give_up) {
      node.send("b", numbered("a", 0));
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  std::string address_;
  inbox at_a_;
  inbox at_b_;
};

TEST_F(rpc_test, envelopes_sent_together_arrive_in_order_in_few_messages) {
  constexpr uint64_t COUNT = 500;
  rpc_node b = make_node(at_b_);
  ASSERT_TRUE(ok(b.listen(address_)));
  rpc_node a = make_node(at_a_, {{"b", address_}});
  for (uint64_t number = 0; number < COUNT; ++number)
    a.send("b", numbered("a", number));
  std::vector<wire::envelope> received = at_b_.wait_for(COUNT);
  ASSERT_EQ(received.size(), COUNT);
  for (uint64_t number = 0; number < COUNT; ++number)
    EXPECT_EQ(received[number].pool_hello().requests(), number);
  EXPECT_EQ(a.counts().sent_messages, COUNT);
  EXPECT_LT(a.counts().written_messages, COUNT / 2);
}

TEST_F(rpc_test, large_envelopes_are_not_joined) {
  constexpr uint64_t COUNT = 8;
  rpc_node b = make_node(at_b_);
  ASSERT_TRUE(ok(b.listen(address_)));
  rpc_node a = make_node(at_a_, {{"b", address_}});
  for (uint64_t number = 0; number < COUNT; ++number) {
    wire::envelope envelope = numbered("a", number);
    envelope.mutable_pool_hello()->set_pool(std::string(100'000, 'x'));
    a.send("b", envelope);
  }
  EXPECT_EQ(at_b_.wait_for(COUNT).size(), COUNT);
  EXPECT_EQ(a.counts().written_messages, COUNT);
}

TEST_F(rpc_test, replies_use_the_stream_of_the_other_process) {
  rpc_node b = make_node(at_b_);
  ASSERT_TRUE(ok(b.listen(address_)));
  rpc_node a = make_node(at_a_, {{"b", address_}});
  send_until_received(a, at_b_);
  for (uint64_t number = 0; number < 100; ++number)
    b.send("a", numbered("b", number));
  std::vector<wire::envelope> received = at_a_.wait_for(100);
  ASSERT_EQ(received.size(), 100U);
  for (uint64_t number = 0; number < 100; ++number)
    EXPECT_EQ(received[number].pool_hello().requests(), number);
}

TEST_F(rpc_test, a_peer_that_was_started_again_is_reached_again) {
  rpc_node a = make_node(at_a_, {{"b", address_}});
  {
    rpc_node b = make_node(at_b_);
    ASSERT_TRUE(ok(b.listen(address_)));
    send_until_received(a, at_b_);
    EXPECT_FALSE(at_b_.wait_for(1).empty());
  }
  inbox at_successor;
  rpc_node b = make_node(at_successor);
  ASSERT_TRUE(ok(b.listen(address_)));
  send_until_received(a, at_successor);
  EXPECT_FALSE(at_successor.wait_for(1).empty());
}

TEST_F(rpc_test, a_node_ends_while_its_peer_goes_on_sending) {
  auto b = std::make_unique<rpc_node>(
      std::map<std::string, std::string>(),
      [this](wire::envelope envelope) { at_b_.add(std::move(envelope)); });
  ASSERT_TRUE(ok(b->listen(address_)));
  rpc_node a = make_node(at_a_, {{"b", address_}});
  send_until_received(a, at_b_);
  for (int i = 0; i < 1'000; ++i) {
    if (i == 500)
      b.reset();
    a.send("b", numbered("a", i));
  }
  EXPECT_FALSE(at_b_.wait_for(1).empty());
}

TEST_F(rpc_test, an_address_in_use_is_reported) {
  rpc_node b = make_node(at_b_);
  ASSERT_TRUE(ok(b.listen(address_)));
  rpc_node other = make_node(at_a_);
  EXPECT_FALSE(ok(other.listen(address_)));
}

}  // namespace
}  // namespace cyclamenwood
