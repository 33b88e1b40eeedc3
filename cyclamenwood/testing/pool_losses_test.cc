// Tests of what a pool does about upstreams that crash with its runs.
#include <gtest/gtest.h>

#include <numeric>

#include "cyclamenwood/testing/pool_fixture.h"

namespace cyclamenwood {
namespace {

class pool_losses : public pool_fixture {
 protected:
  // Adds upstreams that crash when they start this task.
  void add_fragile_upstreams(int count, const std::string& task) {
    for (int i = 1; i <= count; ++i)
      add_upstream("u" + std::to_string(i)).crashes_on =
          [task](const std::string& started) { return started == task; };
  }

  size_t crashes() const {
    return std::accumulate(upstreams.begin(), upstreams.end(), size_t{0},
                           [](size_t sum, const fake_upstream& upstream) {
                             return sum + upstream.crashed_by().size();
                           });
  }

  // A request whose caller waits long enough for many attempts.
  wire::run_request patient_request(const std::string& job, uint32_t tasks) {
    wire::run_request made = request(10, job, tasks);
    made.set_remaining_ms(60'000);
    return made;
  }
};

TEST_F(pool_losses, a_task_that_crashes_every_upstream_is_given_up) {
  add_fragile_upstreams(8, "j.0.0.0");
  own(1);
  run_until(now + 100);
  ask(patient_request("j", 1));
  run_until(now + 30'000);
  EXPECT_EQ(crashes(), 2U);
  ASSERT_EQ(reported.size(), 1U);
  EXPECT_EQ(reported[0].second.outcome(), wire::RUN_CRASHED);
  EXPECT_TRUE(reported[0].second.started());
}

TEST_F(pool_losses, a_task_lost_with_silent_upstreams_is_started_a_third_time) {
  add_fragile_upstreams(4, "");
  own(1);
  run_until(now + 100);
  for (fake_upstream& upstream : upstreams)
    upstream.set_run_ms(60'000);
  ask(patient_request("j", 1));
  for (int lost = 0; lost < 3; ++lost) {
    EXPECT_EQ(reported.size(), 0U);
    run_until(now + 20);
    unreachable.insert(state.placed.at("j.0.0.0"));
    run_until(now + 1'300);
  }
  EXPECT_EQ(count(wire::RUN_LOST), 1U);
  EXPECT_EQ(count(wire::RUN_CRASHED), 0U);
}

TEST_F(pool_losses, a_task_that_did_not_reach_an_upstream_was_not_lost_there) {
  add_fragile_upstreams(1, "");
  own(1);
  run_until(now + 100);
  unreachable.insert("u1");
  ask(patient_request("j", 1));
  ASSERT_TRUE(state.placed.contains("j.0.0.0"));
  run_until(now + 2'000);
  EXPECT_FALSE(state.placed.contains("j.0.0.0"));
  EXPECT_TRUE(state.losses.tasks.empty());
}

// Upstreams that had announced their end are no evidence against a task.
TEST_F(pool_losses, a_task_lost_with_leaving_upstreams_is_not_given_up) {
  add_fragile_upstreams(4, "");
  own(1);
  run_until(now + 100);
  for (fake_upstream& upstream : upstreams)
    upstream.set_run_ms(60'000);
  ask(patient_request("j", 1));
  for (int lost = 0; lost < 3; ++lost) {
    run_until(now + 20);
    std::string id = state.placed.at("j.0.0.0");
    wire::upstream leaving = find(id)->info();
    leaving.set_state(wire::UPSTREAM_LEAVING);
    update_upstream(state, leaving, now, out);
    unreachable.insert(id);
    run_until(now + 1'300);
  }
  EXPECT_EQ(count(wire::RUN_CRASHED), 0U);
  EXPECT_TRUE(state.placed.contains("j.0.0.0"));
}

TEST_F(pool_losses, a_lost_task_is_not_returned_as_if_never_ordered) {
  add_fragile_upstreams(1, "j.0.0.0");
  own(1);
  run_until(now + 100);
  wire::run_request returnable = patient_request("j", 1);
  returnable.set_returnable(true);
  ask(returnable);
  ASSERT_TRUE(state.placed.contains("j.0.0.0"));
  run_until(now + 2'000);
  EXPECT_EQ(crashes(), 1U);
  EXPECT_EQ(count(wire::RUN_RETURNED), 0U);
}

TEST_F(pool_losses, a_second_crash_takes_no_other_task_with_it) {
  add_fragile_upstreams(3, "j.0.0.0");
  own(1);
  run_until(now + 100);
  ask(patient_request("j", 1));
  std::set<std::string> lost;
  for (uint64_t submission = 20; submission < 100; ++submission) {
    ask(request(submission, "k" + std::to_string(submission), 1));
    run_until(now + 40);
  }
  EXPECT_EQ(crashes(), 2U);
  EXPECT_EQ(count(wire::RUN_CRASHED), 1U);
  for (const auto& [task, upstreams] : state.losses.tasks)
    EXPECT_TRUE(task == "j.0.0.0" || upstreams.size() == 1) << task;
  EXPECT_LE(state.losses.tasks.size(), 2U);
}

TEST_F(pool_losses, a_stop_answered_after_the_restart_hides_no_crash) {
  add_fragile_upstreams(1, "j.0.0.0");
  own(1);
  run_until(now + 100);
  ask(patient_request("j", 1));
  run_until(now + 50);
  ASSERT_EQ(crashes(), 1U);
  unreachable.insert("u1");
  run_until(now + 50);
  // The upstream has started again under its id. Only the stop reaches it.
  order_reply accepted;
  accepted.outcome = order_outcome::accepted;
  for (const auto& [id, order] : std::map(state.orders)) {
    if (order.kind == order_kind::stop)
      order_replied(state, id, accepted, now, out);
  }
  run_until(now + 1'500);
  EXPECT_FALSE(state.placed.contains("j.0.0.0"));
  ASSERT_EQ(state.losses.tasks.size(), 1U);
  EXPECT_TRUE(state.losses.tasks.at("j.0.0.0").begin()->second.crashed);
}

TEST_F(pool_losses, a_crash_is_reported_before_its_owner_may_be_replaced) {
  add_fragile_upstreams(1, "j.0.0.0");
  own(1);
  run_until(now + 100);
  ask(patient_request("j", 1));
  run_until(now + 50);
  ASSERT_EQ(crashes(), 1U);
  ASSERT_EQ(out.losses.size(), 1U);
  EXPECT_EQ(out.losses[0].task(), "j.0.0.0");
  EXPECT_FALSE(out.losses[0].crashed());
}

TEST_F(pool_losses, a_restart_under_the_same_id_counts_as_a_crash) {
  add_fragile_upstreams(8, "j.0.0.0");
  for (fake_upstream& upstream : upstreams)
    upstream.down_ms = 20;
  own(1);
  run_until(now + 100);
  ask(patient_request("j", 1));
  run_until(now + 10'000);
  EXPECT_EQ(crashes(), 2U);
  EXPECT_EQ(count(wire::RUN_CRASHED), 1U);
}

}  // namespace
}  // namespace cyclamenwood
