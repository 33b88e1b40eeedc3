// Tests of the pool of an evacuated availability zone.
#include <gtest/gtest.h>

#include <fmt/format.h>

#include "cyclamenwood/testing/pool_fixture.h"

namespace cyclamenwood {
namespace {

class pool_evacuate : public pool_fixture {
 protected:
  uint64_t starts() const {
    uint64_t sum = 0;
    for (const fake_upstream& upstream : upstreams)
      sum += upstream.starts();
    return sum;
  }

  void own_upstreams(int count) {
    for (int i = 0; i < count; ++i)
      add_upstream(fmt::format("u{}", i));
    own(1);
    run_until(now + 20);
  }

  void evacuate() {
    evacuate_pool(state, now);
    flush();
  }

  void restore() {
    restore_pool(state, now);
    flush();
  }

  // The upstreams that the pool reports to entry hosts.
  int reported_upstreams() const {
    wire::pool_state described = describe_pool(state, now);
    return described.services().empty()
               ? 0
               : described.services(0).free_cpu_milli_size();
  }

  size_t moved_events() const {
    return std::count_if(out.events.begin(), out.events.end(),
                         [](const log_event& event) {
                           return event.event == "tasks_moved_by_evacuation";
                         });
  }
};

// A task started in a zone that an operator wants to be idle.
TEST_F(pool_evacuate, a_task_requested_later_is_not_started) {
  own_upstreams(2);
  evacuate();
  ask(request(1, "j1", 2));
  run_until(now + 200);
  EXPECT_EQ(starts(), 0U);
  EXPECT_EQ(count(wire::RUN_EXPIRED), 2U);
  EXPECT_FALSE(reported.at(0).second.started());
  EXPECT_TRUE(state.queue.empty());
  EXPECT_EQ(reported_upstreams(), 0);
  EXPECT_EQ(moved_events(), 1U);
}

// A queued task held until its deadline, though another zone could run it.
TEST_F(pool_evacuate, queued_tasks_are_returned_or_end_at_once) {
  own_upstreams(1);
  ask(request(1, "j1", 2));
  wire::run_request queued = request(2, "j2", 1);
  ask(queued);
  ASSERT_EQ(state.queue.size(), 1U);
  evacuate();
  EXPECT_EQ(count(wire::RUN_EXPIRED), 1U);
  wire::run_request returnable = request(3, "j3", 1);
  returnable.set_returnable(true);
  ask(returnable);
  EXPECT_EQ(count(wire::RUN_RETURNED), 1U);
  EXPECT_FALSE(state.jobs.contains({3, 0}));
  run_until(now + 300);
  EXPECT_EQ(starts(), 2U);
}

// A run that was stopped or lost its lease because of the evacuation.
TEST_F(pool_evacuate, runs_in_progress_end_as_planned) {
  fake_upstream& upstream = add_upstream("u1");
  upstream.set_run_ms(2'500);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 2));
  run_until(now + 20);
  evacuate();
  run_until(now + 2'600);
  EXPECT_EQ(count(wire::RUN_DONE), 2U);
  EXPECT_EQ(upstream.starts(), 2U);
}

// A stalled run was stopped in order to run elsewhere, where nothing starts it.
TEST_F(pool_evacuate, a_slow_run_is_not_moved) {
  fake_upstream& slow = add_busy_upstream();
  add_upstream("u2");
  run_until(now + 20);
  evacuate();
  run_until(now + 1'000);
  EXPECT_EQ(slow.runs().size(), 1U);
  EXPECT_EQ(starts(), 1U);
}

// A task whose run failed waited in the queue until its deadline.
TEST_F(pool_evacuate, a_task_whose_run_fails_ends_at_once) {
  own_upstreams(2);
  ask(request(1, "j1", 1));
  run_until(now + 20);
  ASSERT_EQ(starts(), 1U);
  evacuate();
  for (fake_upstream& upstream : upstreams) {
    if (!upstream.runs().empty())
      upstream.restart(now);
  }
  run_until(now + 1'500);
  EXPECT_EQ(count(wire::RUN_EXPIRED), 1U);
  EXPECT_EQ(starts(), 1U);
}

// A start whose answer was lost was sent again during the evacuation.
TEST_F(pool_evacuate, an_unanswered_start_is_not_sent_again) {
  own_upstreams(1);
  drop_starts = 1;
  ask(request(1, "j1", 1));
  run_until(now + 50);
  evacuate();
  run_until(now + 2'000);
  EXPECT_EQ(starts(), 0U);
  EXPECT_EQ(count(wire::RUN_EXPIRED), 1U);
  EXPECT_TRUE(state.placed.empty());
}

// A new owner expired the tasks whose runs it had not found yet.
TEST_F(pool_evacuate, a_new_owner_adopts_runs_and_starts_nothing) {
  fake_upstream& upstream = add_upstream("u1");
  upstream.set_run_ms(600);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 1));
  run_until(now + 20);
  ASSERT_EQ(upstream.runs().size(), 1U);
  waiting.clear();
  evacuate();
  own(2);
  wire::run_request resumed = request(1, "j1", 1);
  resumed.set_resumed(true);
  ask(resumed);
  EXPECT_EQ(count(wire::RUN_EXPIRED), 0U);
  wire::run_request other = request(2, "j2", 1);
  ask(other);
  EXPECT_EQ(count(wire::RUN_EXPIRED), 1U);
  run_until(now + 1'000);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
  EXPECT_EQ(upstream.starts(), 1U);
}

// Cold upstreams got all jobs of their zone at the end of the evacuation.
TEST_F(pool_evacuate, upstreams_return_to_service_one_after_another) {
  own_upstreams(8);
  EXPECT_EQ(reported_upstreams(), 8);
  evacuate();
  EXPECT_EQ(reported_upstreams(), 0);
  run_until(now + 1'000);
  restore();
  unix_ms restored_ms = now;
  while (now < restored_ms + RESTORE_MS) {
    EXPECT_EQ(reported_upstreams(), (now - restored_ms) * 8 / RESTORE_MS);
    run_until(now + 100);
  }
  EXPECT_EQ(reported_upstreams(), 8);
}

// Tasks were placed on upstreams that had not returned to service.
TEST_F(pool_evacuate, tasks_start_only_on_upstreams_in_service) {
  own_upstreams(4);
  evacuate();
  run_until(now + 100);
  restore();
  run_until(now + RESTORE_MS / 2);
  ask(request(1, "j1", 8));
  run_until(now + 20);
  EXPECT_EQ(starts(), 4U);
  run_until(now + RESTORE_MS);
  EXPECT_EQ(count(wire::RUN_DONE), 8U);
}

// The ramp kept upstreams of a pool that was never evacuated out of service.
TEST_F(pool_evacuate, a_pool_that_was_not_evacuated_has_no_ramp) {
  own_upstreams(3);
  EXPECT_EQ(reported_upstreams(), 3);
  evacuate();
  restore();
  own(2);
  run_until(now + 20);
  EXPECT_EQ(reported_upstreams(), 3);
  add_upstream("late");
  run_until(now + 20);
  EXPECT_EQ(reported_upstreams(), 4);
}

// A second evacuation during the ramp of the first one.
TEST_F(pool_evacuate, an_evacuation_that_begins_again_stops_the_starts) {
  own_upstreams(4);
  evacuate();
  restore();
  run_until(now + RESTORE_MS / 2);
  evacuate();
  run_until(now + RESTORE_MS);
  ask(request(1, "j1", 4));
  EXPECT_EQ(starts(), 0U);
  EXPECT_EQ(count(wire::RUN_EXPIRED), 4U);
}

}  // namespace
}  // namespace cyclamenwood
