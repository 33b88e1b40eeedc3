// Tests of the pool under load: slow and failing upstreams, more work than
// capacity, lost and reordered messages.
#include <gtest/gtest.h>

#include "cyclamenwood/testing/pool_fixture.h"

namespace cyclamenwood {
namespace {

// Load: one upstream is stalled while another has free capacity. The task
// completes on the other one and never runs twice at the same time.
TEST_F(pool_fixture, a_stalled_task_is_moved) {
  fake_upstream& stalled = add_upstream("u1", 1000);
  stalled.set_run_ms(1'000'000);
  fake_upstream& good = add_upstream("u2", 4000);
  own(1);
  run_until(now + 20);
  unix_ms asked = now;
  ask(request(1, "j1", 1));
  ASSERT_EQ(stalled.runs().size(), 0U);
  while (count(wire::RUN_DONE) == 0 && now < asked + 2000) {
    run_until(now + STEP_MS);
    EXPECT_LE(stalled.runs().size() + good.runs().size(), 1U);
  }
  EXPECT_EQ(stalled.starts(), 1U);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
  // Two lists show the stall; the stop and the run itself follow.
  EXPECT_LT(now - asked, 1000);
}

TEST_F(pool_fixture, a_slow_upstream_loses_its_task_to_a_better_one) {
  fake_upstream& slow = add_upstream("u1", 1000);
  slow.set_run_ms(8 * RUN_MS);
  add_upstream("u2", 4000);
  own(1);
  run_until(now + 20);
  wire::run_request wanted = request(1, "j1", 1);
  wanted.set_aim_ms(6 * RUN_MS);
  unix_ms asked = now;
  ask(wanted);
  while (count(wire::RUN_DONE) == 0 && now < asked + 2000)
    run_until(now + STEP_MS);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
  EXPECT_LE(now - asked, 6 * RUN_MS);
}

// Without free capacity elsewhere a move would only discard work.
TEST_F(pool_fixture, a_slow_task_is_not_moved_without_room_elsewhere) {
  fake_upstream& slow = add_upstream("u1", 1000);
  slow.set_run_ms(8 * RUN_MS);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 1));
  run_until(now + 10 * RUN_MS);
  EXPECT_EQ(slow.starts(), 1U);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
}

// A payload that fails everywhere ejects no upstream.
TEST_F(pool_fixture, jobs_that_always_fail_eject_no_upstream) {
  for (const char* id : {"u1", "u2", "u3"})
    add_upstream(id).set_failing(true);
  own(1);
  run_until(now + 20);
  for (uint64_t job = 1; job <= 12; ++job) {
    ask(request(job, "j" + std::to_string(job), 1));
    run_until(now + 200);
  }
  EXPECT_EQ(count(wire::RUN_FAILED), 12U);
  for (const auto& [id, upstream] : state.upstreams)
    EXPECT_FALSE(upstream.on_probation) << id;
}

// After its back-off an ejected upstream gets one task at a time.
TEST_F(pool_fixture, an_ejected_upstream_is_probed_with_one_task) {
  fake_upstream& bad = add_upstream("u1", 2000);
  bad.set_failing(true);
  add_upstream("u2", 8000);
  own(1);
  run_until(now + 20);
  for (uint64_t job = 1; job <= 6; ++job) {
    ask(request(job, "j" + std::to_string(job), 1));
    run_until(now + 150);
  }
  ASSERT_TRUE(state.upstreams.at("u1").on_probation);
  bad.set_failing(false);
  uint64_t before = bad.starts();
  run_until(now + 3000);
  ask(request(50, "j50", 4));
  EXPECT_EQ(state.upstreams.at("u1").runs.size(), 1U);
  run_until(now + 400);
  EXPECT_EQ(bad.starts(), before + 1);
  EXPECT_FALSE(state.upstreams.at("u1").on_probation);
}

// Messages may be reordered. No task may start after its release, since the
// caller may have been refused with the answer that its job has not run.
TEST_F(pool_fixture, a_request_overtaken_by_its_release_starts_nothing) {
  fake_upstream& upstream = add_upstream("u1");
  own(1);
  run_until(now + 20);
  update_peer(state, "e1", 1, now, now, out);
  release_runs(state, 7, now, now, out);
  ask(request(7, "j1", 1));
  run_until(now + 300);
  EXPECT_EQ(upstream.starts(), 0U);
  ask(request(8, "j1", 1));
  run_until(now + 300);
  EXPECT_EQ(upstream.starts(), 1U);
}

// An entry host that was suspended lost its jobs in the pool, and may request
// them again.
TEST_F(pool_fixture, a_suspended_host_may_request_its_jobs_again) {
  fake_upstream& upstream = add_upstream("u1");
  upstream.set_run_ms(5000);
  own(1);
  run_until(now + 20);
  wire::run_request wanted = request(7, "j1", 1);
  wanted.set_estimate_ms(5000);
  wanted.set_remaining_ms(20000);
  ask(wanted);
  keep_peers = false;
  run_until(now + PEER_TIMEOUT_MS + 200);
  keep_peers = true;
  EXPECT_TRUE(upstream.runs().empty());
  ask(wanted);
  run_until(now + 100);
  EXPECT_EQ(upstream.runs().size(), 1U);
}

// Load: tasks arrive at twice the capacity for seconds. Callers whose jobs are
// rejected are notified on arrival, and most of the capacity goes to jobs that
// complete within their objective.
TEST_F(pool_fixture, under_overload_callers_are_refused_on_arrival) {
  for (const char* id : {"u1", "u2", "u3", "u4"})
    add_upstream(id, 2000);
  own(1);
  run_until(now + 20);
  std::map<uint64_t, unix_ms> asked;
  uint64_t next = 1;
  unix_ms end = now + 4000;
  while (now < end) {
    // 8 tasks fit at a time and take 100 ms each: 80 tasks a second fit, 160
    // arrive.
    wire::run_request wanted = request(next, "j" + std::to_string(next), 1);
    wanted.set_aim_ms(2 * RUN_MS + 20);
    wanted.set_remaining_ms(1500);
    asked[next++] = now;
    ask(wanted);
    run_until(now + STEP_MS);
    if (now % 20 == 0)
      continue;
    run_until(now + STEP_MS / 5);
  }
  run_until(now + 2000);
  size_t done = count(wire::RUN_DONE);
  size_t refused = count(wire::RUN_EXPIRED);
  EXPECT_EQ(done + refused, next - 1);
  // 320 tasks fit into the 4 s; at least three quarters of them are served.
  EXPECT_GE(done, 240U);
  for (const auto& [host, result] : reported) {
    bool refused = result.outcome() == wire::RUN_EXPIRED;
    EXPECT_FALSE(refused && result.started());
  }
}

// A process that was just started became the owner before all upstreams had
// announced themselves. The task is running on one of those that are missing.
TEST_F(pool_fixture, a_resumed_task_waits_for_unannounced_upstreams) {
  fake_upstream& hidden = add_upstream("u1");
  own(1);
  run_until(now + 20);
  ask(request(7, "j1", 1));
  run_until(now + 10);
  ASSERT_EQ(hidden.runs().size(), 1U);
  // Another process takes over; only u2 has announced itself to it.
  state = {};
  state.name = "kranj";
  waiting.clear();
  fake_upstream& other = add_upstream("u2");
  own(2);
  run_until(now + 20);
  wire::run_request resumed = request(7, "j1", 1);
  resumed.set_resumed(true);
  resumed.add_former_upstreams("u1");
  ask(resumed);
  run_until(now + 50);
  EXPECT_EQ(other.starts(), 0U);
  // u1 announces itself, and its run is adopted.
  update_upstream(state, hidden.info(), now, out);
  flush();
  run_until(now + 400);
  EXPECT_EQ(other.starts(), 0U);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
}

// A task runs only on upstreams that its entry host knows of, since the entry
// host has to name them to the next owner.
TEST_F(pool_fixture, an_upstream_takes_tasks_once_entry_hosts_know_of_it) {
  fake_upstream& upstream = add_upstream("u1");
  own(1);
  run_until(now + 20);
  update_peer(state, "e1", 1, now, now, out);
  request_runs(state, "e1", request(7, "j1", 1), now, out);
  flush();
  EXPECT_TRUE(upstream.runs().empty());
  wire::pool_hello hello;
  wire::pool_state reply = answer_hello(state, "e1", hello, now);
  ASSERT_EQ(reply.upstreams_size(), 1);
  hello.set_have_upstreams(reply.upstreams_version());
  EXPECT_EQ(answer_hello(state, "e1", hello, now).upstreams_size(), 0);
  flush();
  run_until(now + 20);
  EXPECT_EQ(upstream.runs().size(), 1U);
}

// Load: more tasks than free capacity, while other pools may have some. The
// tasks that can't start are returned at once and are never started here, and
// they don't count as load of this pool.
TEST_F(pool_fixture, returnable_tasks_without_free_capacity_are_returned) {
  fake_upstream& upstream = add_upstream("u1", 2000);
  own(1);
  run_until(now + 20);
  wire::run_request wanted = request(7, "j1", 5);
  wanted.set_returnable(true);
  ask(wanted);
  EXPECT_EQ(count(wire::RUN_RETURNED), 3U);
  EXPECT_TRUE(state.queue.empty());
  double work_of_two = 2.0 * 1000 * RUN_MS;
  EXPECT_NEAR(state.load.at("fit-desk").work, work_of_two, 1.0);
  run_until(now + 3 * RUN_MS);
  EXPECT_EQ(count(wire::RUN_DONE), 2U);
  EXPECT_EQ(upstream.starts(), 2U);
}

TEST_F(pool_fixture, a_job_of_which_all_tasks_are_returned_is_dropped) {
  own(1);
  wire::run_request wanted = request(7, "j1", 2);
  wanted.set_returnable(true);
  ask(wanted);
  EXPECT_EQ(count(wire::RUN_RETURNED), 2U);
  EXPECT_TRUE(state.jobs.empty());
  EXPECT_TRUE(state.queue.empty());
}

// The task was ordered for an earlier submission of its job and that run has
// not ended. In another pool it would start beside that run.
TEST_F(pool_fixture, a_task_with_an_unsettled_run_is_not_returned) {
  add_upstream("u1", 2000);
  own(1);
  run_until(now + 20);
  ask(request(7, "j1", 1), "e1");
  run_until(now + 20);
  wire::run_request again = request(8, "j1", 1);
  again.set_returnable(true);
  ask(again, "e2");
  EXPECT_EQ(count(wire::RUN_RETURNED), 0U);
  run_until(now + 3 * RUN_MS);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
}

}  // namespace
}  // namespace cyclamenwood
