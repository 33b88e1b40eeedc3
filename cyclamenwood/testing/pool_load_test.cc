// The owner's part under load: slow and failing upstreams, more work than room,
// messages that were lost or overtaken.
#include <gtest/gtest.h>

#include "cyclamenwood/testing/pool_fixture.h"

namespace cyclamenwood {
namespace {

// Load: one upstream stands still while another has room. Callers get their
// answer from the other one, and no task runs twice at once.
TEST_F(pool_fixture, a_task_that_stands_still_is_moved) {
  fake_upstream& still = add_upstream("u1", 1000);
  still.set_run_ms(1'000'000);
  fake_upstream& good = add_upstream("u2", 4000);
  own(1);
  run_until(now + 20);
  unix_ms asked = now;
  ask(request(1, "j1", 1));
  ASSERT_EQ(still.runs().size(), 0U);
  while (count(wire::RUN_DONE) == 0 && now < asked + 2000) {
    run_until(now + STEP_MS);
    EXPECT_LE(still.runs().size() + good.runs().size(), 1U);
  }
  EXPECT_EQ(still.starts(), 1U);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
  // Found within two lists; then the stop and the run itself.
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

// Without room elsewhere a move would only throw work away.
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
TEST_F(pool_fixture, jobs_that_always_fail_eject_nobody) {
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

// After its rest an ejected upstream is tried with one task at a time.
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

// Messages that took different ways: nothing may start after the release, or a
// refusal that the caller has would not be true.
TEST_F(pool_fixture, a_request_overtaken_by_its_release_starts_nothing) {
  fake_upstream& upstream = add_upstream("u1");
  own(1);
  run_until(now + 20);
  hear_peer(state, "e1", 1, now, now, out);
  release_runs(state, 7, now, out);
  ask(request(7, "j1", 1));
  run_until(now + 300);
  EXPECT_EQ(upstream.starts(), 0U);
  ask(request(8, "j1", 1));
  run_until(now + 300);
  EXPECT_EQ(upstream.starts(), 1U);
}

// An entry host that stood still lost its jobs here, and may ask for them
// again.
TEST_F(pool_fixture, a_host_that_stood_still_may_ask_again) {
  fake_upstream& upstream = add_upstream("u1");
  upstream.set_run_ms(5000);
  own(1);
  run_until(now + 20);
  wire::run_request wanted = request(7, "j1", 1);
  wanted.set_estimate_ms(5000);
  wanted.set_remaining_ms(20000);
  ask(wanted);
  keep_peers = false;
  run_until(now + PEER_SILENCE_MS + 200);
  keep_peers = true;
  EXPECT_TRUE(upstream.runs().empty());
  ask(wanted);
  run_until(now + 100);
  EXPECT_EQ(upstream.runs().size(), 1U);
}

// Load: twice the room arrives for seconds. Those who are refused hear it on
// arrival; of the room, most goes to jobs that end within their objective.
TEST_F(pool_fixture, under_overload_callers_are_refused_on_arrival) {
  for (const char* id : {"u1", "u2", "u3", "u4"})
    add_upstream(id, 2000);
  own(1);
  run_until(now + 20);
  std::map<uint64_t, unix_ms> asked;
  uint64_t next = 1;
  unix_ms end = now + 4000;
  while (now < end) {
    // 8 places, each 100 ms: 80 tasks a second fit, 160 come.
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
  // Of the 320 tasks that fit into the 4 s at least three quarters are served.
  EXPECT_GE(done, 240U);
  for (const auto& [host, result] : reported) {
    bool refused = result.outcome() == wire::RUN_EXPIRED;
    EXPECT_FALSE(refused && result.started());
  }
}

// A process that was just started became the owner before it had heard of all
// upstreams: the task runs on one of the others.
TEST_F(pool_fixture, a_resumed_task_waits_for_upstreams_not_heard_of_yet) {
  fake_upstream& hidden = add_upstream("u1");
  own(1);
  run_until(now + 20);
  ask(request(7, "j1", 1));
  run_until(now + 10);
  ASSERT_EQ(hidden.runs().size(), 1U);
  // Another process takes over and knows only u2.
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
  // It is heard of: its run is adopted.
  learn_upstream(state, hidden.info(), now, out);
  flush();
  run_until(now + 400);
  EXPECT_EQ(other.starts(), 0U);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
}

// Tasks run only where their entry host knows that the owner has upstreams, so
// that it can tell the next owner.
TEST_F(pool_fixture, an_upstream_takes_tasks_once_entry_hosts_know_of_it) {
  fake_upstream& upstream = add_upstream("u1");
  own(1);
  run_until(now + 20);
  hear_peer(state, "e1", 1, now, now, out);
  request_runs(state, "e1", request(7, "j1", 1), now, out);
  flush();
  EXPECT_TRUE(upstream.runs().empty());
  wire::pool_hello hello;
  wire::pool_state told = answer_hello(state, "e1", hello, now);
  ASSERT_EQ(told.upstreams_size(), 1);
  hello.set_have_upstreams(told.upstreams_version());
  EXPECT_EQ(answer_hello(state, "e1", hello, now).upstreams_size(), 0);
  flush();
  run_until(now + 20);
  EXPECT_EQ(upstream.runs().size(), 1U);
}

}  // namespace
}  // namespace cyclamenwood
