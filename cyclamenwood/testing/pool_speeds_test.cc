// Tests of a pool that learns the speeds of its upstreams.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "cyclamenwood/pool_internal.h"
#include "cyclamenwood/testing/pool_fixture.h"

namespace cyclamenwood {
namespace {

constexpr int64_t SLOW_FACTOR = 3;

class speeds_fixture : public pool_fixture {
 protected:
  speeds_fixture() { state.options.learn_speeds = true; }

  // Adds u1 to u3. Lets u1 complete its runs SLOW_FACTOR times slower than the
  // others until their speeds are learned.
  void learn_slow_upstream() {
    for (const char* id : {"u1", "u2", "u3"})
      add_upstream(id);
    find("u1")->set_run_ms(SLOW_FACTOR * RUN_MS);
    own(1);
    run_until(now + 20);
    complete_jobs(40);
  }

  // Runs jobs that fill all three upstreams.
  void complete_jobs(int jobs) {
    for (int job = 0; job < jobs; ++job) {
      uint64_t submission = next_submission++;
      ask(request(submission, "learn" + std::to_string(submission), 6));
      run_until(now + (SLOW_FACTOR + 1) * RUN_MS);
      release_runs(state, submission, 0, now, out);
    }
  }

  // Starts a job of `tasks` tasks on one upstream; the others take work again
  // after 100 ms. A task takes `run_ms` there and `elsewhere_ms` on a usual
  // upstream. Returns when all ended.
  void play_on(const std::string& id,
               uint32_t tasks,
               int64_t run_ms,
               int64_t elsewhere_ms) {
    for (auto& [other, upstream] : state.upstreams) {
      if (other != id)
        upstream.backoff_until_ms = now + 100;
    }
    for (fake_upstream& upstream : upstreams)
      upstream.set_run_ms(elsewhere_ms);
    find("u1")->set_run_ms(SLOW_FACTOR * elsewhere_ms);
    find(id)->set_run_ms(run_ms);
    reported.clear();
    wire::run_request wanted = request(next_submission++, "played", tasks);
    wanted.set_estimate_ms(ESTIMATE_MS);
    wanted.set_aim_ms(3 * ESTIMATE_MS);
    wanted.set_remaining_ms(10 * ESTIMATE_MS);
    ask(wanted);
    run_until(now + 2 * STEP_MS);
    ASSERT_EQ(find(id)->runs().size(), tasks);
    run_until(now + 12 * ESTIMATE_MS);
  }

  size_t events(const std::string& name) const {
    return std::count_if(
        out.events.begin(), out.events.end(),
        [&name](const log_event& item) { return item.event == name; });
  }

  static constexpr int64_t ESTIMATE_MS = 400;
  uint64_t next_submission = 1'000;
};

// Guards against speeds that are not learned from the runs of the pool.
TEST_F(speeds_fixture, a_slow_upstream_is_known) {
  learn_slow_upstream();
  EXPECT_TRUE(has_uneven_speeds(state, "fit-desk"));
  EXPECT_LT(state.upstreams["u1"].speed.speed, 0.5);
  EXPECT_NEAR(state.upstreams["u2"].speed.speed, 1, 0.1);
  EXPECT_GE(events("upstream_speed"), 1U);
}

// Guards against a log line for each of many small changes.
TEST_F(speeds_fixture, equal_upstreams_log_no_speed) {
  for (const char* id : {"u1", "u2", "u3"})
    add_upstream(id);
  own(1);
  run_until(now + 20);
  complete_jobs(20);
  EXPECT_FALSE(has_uneven_speeds(state, "fit-desk"));
  EXPECT_EQ(events("upstream_speed"), 0U);
}

// Guards against an upstream whose fault begins after its speed was learned.
TEST_F(speeds_fixture, an_upstream_that_turns_slow_is_noticed) {
  for (const char* id : {"u1", "u2", "u3"})
    add_upstream(id);
  own(1);
  run_until(now + 20);
  complete_jobs(40);
  ASSERT_FALSE(has_uneven_speeds(state, "fit-desk"));
  find("u1")->set_run_ms(SLOW_FACTOR * RUN_MS);
  complete_jobs(20);
  EXPECT_TRUE(has_uneven_speeds(state, "fit-desk"));
}

// Guards against moves that discard work: the task would take as long
// elsewhere.
TEST_F(speeds_fixture, a_long_task_on_a_usual_upstream_is_not_moved) {
  learn_slow_upstream();
  play_on("u2", 1, 7 * ESTIMATE_MS, 7 * ESTIMATE_MS);
  EXPECT_EQ(events("task_moved"), 0U);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
}

// The former rule moves that task: shows that the test above tells them apart.
TEST_F(speeds_fixture, without_the_setting_a_long_task_is_moved) {
  state.options.learn_speeds = false;
  learn_slow_upstream();
  play_on("u2", 1, 7 * ESTIMATE_MS, 7 * ESTIMATE_MS);
  // As often as a task may be moved.
  EXPECT_EQ(events("task_moved"), 2U);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
}

// Guards against tasks that miss their objective on an upstream that is known
// to be slow, while another has free capacity.
TEST_F(speeds_fixture, a_task_on_a_slow_upstream_is_moved) {
  learn_slow_upstream();
  play_on("u1", 1, 4 * ESTIMATE_MS, ESTIMATE_MS);
  EXPECT_EQ(events("task_moved"), 1U);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
  // Its slowness was known, so that it is no reason to eject the upstream.
  EXPECT_EQ(events("upstream_ejected"), 0U);
}

// Guards against a fault that slows all runs on an upstream whose past speed
// is usual.
TEST_F(speeds_fixture, tasks_are_moved_from_an_upstream_that_is_slow_now) {
  learn_slow_upstream();
  play_on("u2", 2, 7 * ESTIMATE_MS, ESTIMATE_MS);
  EXPECT_EQ(events("task_moved"), 2U);
  EXPECT_EQ(count(wire::RUN_DONE), 2U);
}

// Guards against a fault that stalls a single task.
TEST_F(speeds_fixture, a_stalled_task_is_moved_from_a_usual_upstream) {
  learn_slow_upstream();
  play_on("u2", 1, 1'000'000, ESTIMATE_MS);
  EXPECT_EQ(events("task_moved"), 1U);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
}

// Guards against long tasks on slow upstreams, where they miss their objective,
// and against short tasks on fast ones that long tasks need.
TEST_F(speeds_fixture, a_long_task_goes_where_it_meets_its_objective) {
  learn_slow_upstream();
  wire::run_request wanted = request(1, "j1", 1);
  wanted.set_estimate_ms(800);
  wanted.set_aim_ms(1'340);
  ask(wanted);
  run_until(now + 20);
  EXPECT_EQ(find("u1")->runs().size(), 0U);
  wire::run_request relaxed = request(2, "j2", 1);
  relaxed.set_aim_ms(1'000);
  state.upstreams["u2"].backoff_until_ms = now + 1'000;
  state.upstreams["u3"].backoff_until_ms = now + 1'000;
  ask(relaxed);
  run_until(now + 20);
  EXPECT_EQ(find("u1")->runs().size(), 1U);
}

// Guards against the speed of a process that has ended.
TEST_F(speeds_fixture, a_new_incarnation_starts_from_the_prior) {
  learn_slow_upstream();
  find("u1")->restart(now);
  update_upstream(state, find("u1")->info(), now, out);
  EXPECT_EQ(state.upstreams["u1"].speed.speed, 1);
  EXPECT_EQ(state.upstreams["u1"].speed.totals.runs, 0);
}

// Guards against speeds that were learned long ago, under an earlier ownership.
TEST_F(speeds_fixture, a_new_owner_starts_from_the_prior) {
  learn_slow_upstream();
  own(2);
  EXPECT_FALSE(has_uneven_speeds(state, "fit-desk"));
  EXPECT_TRUE(state.times.kinds.empty());
  for (const auto& [id, upstream] : state.upstreams)
    EXPECT_EQ(upstream.speed.speed, 1) << id;
}

// Guards against capacity that is announced but not available.
TEST_F(speeds_fixture, capacity_is_weighted_by_speed) {
  learn_slow_upstream();
  wire::pool_state described = describe_pool(state, now);
  ASSERT_EQ(described.services_size(), 1);
  EXPECT_LT(described.services(0).total_cpu_milli(), 5'300U);
  EXPECT_GT(described.services(0).total_cpu_milli(), 4'300U);
}

// Guards against forecasts that ignore the speed of the upstream and the
// progress of the run.
TEST_F(speeds_fixture, forecasts_follow_speed_and_progress) {
  learn_slow_upstream();
  wire::run_request wanted = request(1, "j1", 1);
  wanted.set_estimate_ms(800);
  EXPECT_GT(expected_run_ms(state, state.upstreams["u1"], wanted), 1'600);
  EXPECT_NEAR(expected_run_ms(state, state.upstreams["u2"], wanted), 800, 80);
  for (fake_upstream& upstream : upstreams)
    upstream.set_run_ms(2'000);
  ask(wanted);
  unix_ms started_ms = now;
  run_until(now + 700);
  for (auto& [id, upstream] : state.upstreams) {
    for (auto& [name, run] : upstream.runs) {
      EXPECT_NEAR(expected_end_ms(state, upstream, run, now),
                  started_ms + 2'000, 200);
      EXPECT_EQ(expected_end_ms(state, upstream, run, now + 5'000),
                now + 5'000);
    }
  }
}

// Guards against effects of speeds that a deployment did not ask for.
TEST_F(speeds_fixture, without_the_setting_nothing_is_learned) {
  state.options.learn_speeds = false;
  learn_slow_upstream();
  EXPECT_TRUE(state.times.kinds.empty());
  EXPECT_FALSE(has_uneven_speeds(state, "fit-desk"));
  for (const auto& [id, upstream] : state.upstreams) {
    EXPECT_EQ(upstream.speed.speed, 1) << id;
    EXPECT_EQ(expected_run_ms(state, upstream, request(1, "j1", 1)), RUN_MS);
  }
  EXPECT_EQ(describe_pool(state, now).services(0).total_cpu_milli(), 6'000U);
  EXPECT_EQ(events("upstream_speed"), 0U);
}

}  // namespace
}  // namespace cyclamenwood
