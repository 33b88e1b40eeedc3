// Replies of the process that an upstream was before it restarted under its id.
// A host that was suspended may read them after the announcement of the new
// process.
#include "cyclamenwood/testing/pool_fixture.h"

namespace cyclamenwood {
namespace {

constexpr int64_t MAX_LEASE_MS = 1000;

class restarted_upstream : public pool_fixture {
 protected:
  // Restarts the upstream, and lets the pool read the announcement of the new
  // process before the former one's reply to the renewal in progress.
  void restart_before_reply(fake_upstream& upstream) {
    upstream.restarts_clock = true;
    upstream.advance(now);
    auto renewal = std::find_if(waiting.begin(), waiting.end(),
                                [](const sent_order& sent) {
                                  return sent.order.kind == order_kind::renewal;
                                });
    ASSERT_NE(renewal, waiting.end());
    run_order order = renewal->order;
    waiting.erase(renewal);
    order_reply reply = upstream.carry_out(order, now);
    upstream.restart(now);
    update_upstream(state, upstream.info(), now, out);
    order_replied(state, order.id, reply, now, out);
    flush();
  }

  // The longest lease that an order in progress asks for.
  int64_t longest_lease_ms(fake_upstream& upstream) {
    int64_t clock_ms = upstream.carry_out({}, now).clock_ms;
    int64_t longest_ms = 0;
    for (const sent_order& sent : waiting)
      longest_ms =
          std::max(longest_ms, sent.order.lease_deadline_ms - clock_ms);
    return longest_ms;
  }
};

TEST_F(restarted_upstream, its_leases_do_not_follow_the_former_clock) {
  fake_upstream& upstream = add_busy_upstream();
  restart_before_reply(upstream);
  int64_t longest_ms = 0;
  for (int i = 0; i < 40; ++i) {
    run_until(now + STEP_MS);
    longest_ms = std::max(longest_ms, longest_lease_ms(upstream));
  }
  EXPECT_GT(longest_ms, 0);
  EXPECT_LE(longest_ms, MAX_LEASE_MS);
}

TEST_F(restarted_upstream, a_run_is_not_extended_beyond_its_limit) {
  fake_upstream& upstream = add_busy_upstream();
  restart_before_reply(upstream);
  run_until(now + 100);
  ASSERT_EQ(upstream.runs().size(), 1U);
  keep_peers = false;
  drop_stops = true;
  run_until(now + state.options.resubmission_ms);
  EXPECT_TRUE(upstream.runs().empty());
}

TEST_F(restarted_upstream,
       a_task_does_not_start_elsewhere_before_its_lease_ends) {
  fake_upstream& upstream = add_busy_upstream();
  restart_before_reply(upstream);
  run_until(now + 100);
  ASSERT_EQ(upstream.runs().size(), 1U);
  fake_upstream& other = add_upstream("u2");
  unreachable.insert("u1");
  while (other.starts() == 0 && now < 1'005'000) {
    run_until(now + STEP_MS);
    upstream.advance(now);
  }
  EXPECT_EQ(other.starts(), 1U);
  EXPECT_TRUE(upstream.runs().empty());
}

}  // namespace
}  // namespace cyclamenwood
