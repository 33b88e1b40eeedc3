// Tests of the pool with in-process upstreams: runs, leases, changes of owner.
#include <gtest/gtest.h>

#include "cyclamenwood/intake.h"
#include "cyclamenwood/testing/pool_fixture.h"

namespace cyclamenwood {
namespace {

TEST_F(pool_fixture, runs_tasks_where_there_is_room_and_reports_each) {
  add_upstream("u1");
  add_upstream("u2");
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 6));
  run_until(now + 400);
  EXPECT_EQ(count(wire::RUN_DONE), 6U);
  for (const fake_upstream& upstream : upstreams) {
    EXPECT_EQ(upstream.rejected_no_room(), 0U);
    EXPECT_TRUE(upstream.runs().empty());
  }
}

TEST_F(pool_fixture, an_unanswered_start_is_repeated_with_its_attempt) {
  add_upstream("u1");
  own(1);
  run_until(now + 20);
  drop_starts = 1;
  ask(request(1, "j1", 1));
  run_until(now + 700);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
  EXPECT_EQ(upstreams.front().starts(), 1U);
}

// The task may still run on the partitioned upstream until every lease has
// expired.
TEST_F(pool_fixture,
       a_partitioned_upstream_keeps_its_tasks_until_leases_expire) {
  fake_upstream& first = add_upstream("u1", 1000);
  first.set_run_ms(5000);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 1));
  run_until(now + 50);
  ASSERT_EQ(first.runs().size(), 1U);
  fake_upstream& second = add_upstream("u2", 1000);
  run_until(now + 20);
  unreachable.insert("u1");
  unix_ms partitioned_ms = now;
  while (second.runs().empty() && now < partitioned_ms + 3000) {
    run_until(now + STEP_MS);
    first.advance(now);
    EXPECT_LE(first.runs().size() + second.runs().size(), 1U);
  }
  EXPECT_EQ(second.runs().size(), 1U);
}

// The restarted upstream knows nothing of the stop that settled the attempt.
TEST_F(pool_fixture, a_stopped_start_is_not_carried_out_after_a_restart) {
  fake_upstream& first = add_upstream("u1", 1000);
  own(1);
  run_until(now + 20);
  drop_starts = 3;
  ask(request(1, "j1", 1));
  run_order late;
  for (const auto& [id, order] : state.orders) {
    if (order.kind == order_kind::start)
      late = order;
  }
  fake_upstream& second = add_upstream("u2", 1000);
  second.set_run_ms(5000);
  while (second.runs().empty() && now < 1'003'000)
    run_until(now + STEP_MS);
  ASSERT_EQ(second.runs().size(), 1U);
  first.restart(now);
  run_until(now + 1'000);
  late.lease_deadline_ms = INT64_MAX;
  EXPECT_EQ(first.carry_out(late, now).outcome, order_outcome::stale_attempt);
  EXPECT_EQ(state.upstreams.at("u1").used.cpu_milli, 0);
}

TEST_F(pool_fixture, a_rejected_token_ends_the_ownership) {
  fake_upstream& upstream = add_upstream("u1");
  own(1);
  run_until(now + 20);
  run_order newer;
  newer.token = 2;
  upstream.carry_out(newer, now);
  run_until(now + 500);
  EXPECT_TRUE(out.ownership_lost);
}

// A new owner adopts the runs that an entry host requests and stops the others.
TEST_F(pool_fixture, a_new_owner_adopts_runs_that_are_asked_for) {
  fake_upstream& upstream = add_upstream("u1");
  upstream.set_run_ms(700);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 1));
  ask(request(2, "j2", 1));
  run_until(now + 50);
  ASSERT_EQ(upstream.runs().size(), 2U);
  own(2);
  run_until(now + 20);
  wire::run_request again = request(1, "j1", 1);
  again.set_resumed(true);
  ask(again);
  run_until(now + 500);
  EXPECT_EQ(upstream.runs().size(), 1U);
  EXPECT_EQ(upstream.runs().begin()->first, "j1.0.0.0");
  run_until(now + 500);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
  EXPECT_EQ(upstream.starts(), 2U);
}

TEST_F(pool_fixture, a_release_tells_whether_a_start_was_ordered) {
  add_upstream("u1", 1000);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 1));
  ask(request(2, "j2", 1));
  EXPECT_FALSE(release_runs(state, 1, now, now, out));
  EXPECT_TRUE(release_runs(state, 2, now, now, out));
  // The first confirmation was lost.
  EXPECT_FALSE(release_runs(state, 1, now, now, out));
  EXPECT_TRUE(release_runs(state, 2, now, now, out));
  // Its request was lost or is on its way.
  EXPECT_FALSE(release_runs(state, 3, now, now, out));
  flush();
}

TEST_F(pool_fixture, a_found_run_is_not_taken_for_smaller_than_it_is) {
  fake_upstream& upstream = add_upstream("u1");
  upstream.cpu_of = [](const std::string&) { return 2000; };
  upstream.set_run_ms(700);
  own(1);
  run_until(now + 20);
  wire::run_request whole = request(1, "j1", 1);
  whole.mutable_need()->set_cpu_milli(2000);
  ask(whole);
  run_until(now + 50);
  ASSERT_EQ(upstream.runs().size(), 1U);
  upstream.set_capacity(1000);
  update_upstream(state, upstream.info(), now, out);
  own(2);
  run_until(now + 20);
  upstream.set_capacity(2000);
  update_upstream(state, upstream.info(), now, out);
  ask(request(2, "j2", 1));
  run_until(now + 50);
  EXPECT_EQ(upstream.rejected_no_room(), 0U);
}

// The request may reach the new owner before the lists do.
TEST_F(pool_fixture, a_resumed_task_is_not_started_before_the_lists_are_read) {
  fake_upstream& first = add_upstream("u1");
  first.set_run_ms(700);
  add_upstream("u2");
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 1));
  run_until(now + 50);
  own(2);
  wire::run_request again = request(1, "j1", 1);
  again.set_resumed(true);
  ask(again);
  run_until(now + 900);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
  EXPECT_EQ(upstreams[0].starts() + upstreams[1].starts(), 1U);
}

TEST_F(pool_fixture, the_same_job_from_another_host_waits_for_the_stop) {
  fake_upstream& first = add_upstream("u1", 1000);
  fake_upstream& second = add_upstream("u2", 1000);
  first.set_run_ms(2000);
  second.set_run_ms(2000);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 1), "e1");
  run_until(now + 50);
  ask(request(2, "j1", 1), "e2");
  for (int i = 0; i < 100; ++i) {
    run_until(now + STEP_MS);
    EXPECT_LE(first.runs().size() + second.runs().size(), 1U);
  }
  EXPECT_EQ(first.runs().size() + second.runs().size(), 1U);
  EXPECT_EQ(first.starts() + second.starts(), 2U);
}

TEST_F(pool_fixture, a_silent_entry_host_loses_its_jobs) {
  fake_upstream& upstream = add_upstream("u1");
  upstream.set_run_ms(5000);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 2));
  run_until(now + 50);
  ASSERT_EQ(upstream.runs().size(), 2U);
  keep_peers = false;
  run_until(now + PEER_TIMEOUT_MS + 100);
  EXPECT_TRUE(upstream.runs().empty());
}

TEST_F(pool_fixture, changes_of_owner_do_not_keep_a_run_that_nobody_wants) {
  fake_upstream& upstream = add_busy_upstream();
  ASSERT_EQ(upstream.runs().size(), 1U);
  unix_ms sent_again_ms = now + state.options.resubmission_ms;
  for (uint64_t token = 2; now < sent_again_ms; ++token) {
    own(token);
    run_until(std::min(now + 300, sent_again_ms));
  }
  EXPECT_TRUE(upstream.runs().empty());
}

TEST_F(pool_fixture, an_unanswered_stop_does_not_keep_a_run) {
  fake_upstream& upstream = add_busy_upstream();
  ASSERT_EQ(upstream.runs().size(), 1U);
  keep_peers = false;
  drop_stops = true;
  run_until(now + state.options.resubmission_ms);
  EXPECT_TRUE(upstream.runs().empty());
}

TEST_F(pool_fixture, a_lease_of_other_runs_does_not_keep_a_run_of_a_lost_host) {
  fake_upstream& upstream = add_upstream("u1");
  upstream.set_run_ms(10'000);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 1), "e1");
  say_hello("e2", 1);
  keep_peers = false;
  unix_ms lost_ms = now;
  const leased_upstream& known = state.upstreams.at("u1");
  while (now < lost_ms + 400 || known.renewal_sent_ms != now) {
    run_until(now + STEP_MS);
    say_hello("e1", 1);
  }
  request_runs(state, "e2", request(2, "j2", 1), now, out);
  flush();
  drop_stops = true;
  while (now < lost_ms + state.options.resubmission_ms) {
    run_until(now + STEP_MS);
    say_hello("e1", 1);
  }
  EXPECT_FALSE(upstream.runs().contains("j2.0.0.0"));
}

TEST_F(pool_fixture, a_task_of_a_live_host_starts_beside_other_runs_at_once) {
  fake_upstream& upstream = add_upstream("u1");
  upstream.set_run_ms(10'000);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 1), "e1");
  run_until(now + 1'000);
  keep_peers = false;
  say_hello("e2", 1);
  run_until(now + 100);
  say_hello("e1", 1);
  request_runs(state, "e2", request(2, "j2", 1), now, out);
  flush();
  run_until(now + 10);
  EXPECT_TRUE(upstream.runs().contains("j2.0.0.0"));
}

TEST_F(pool_fixture, a_repeated_request_does_not_keep_a_run_that_is_stopped) {
  fake_upstream& upstream = add_busy_upstream();
  ASSERT_EQ(upstream.runs().size(), 1U);
  unix_ms lost_ms = now;
  keep_peers = false;
  drop_stops = true;
  run_until(lost_ms + PEER_TIMEOUT_MS + 100);
  ask(request(1, "j1", 1));
  release_runs(state, 1, now, now, out);
  flush();
  run_until(lost_ms + state.options.resubmission_ms);
  EXPECT_TRUE(upstream.runs().empty());
}

TEST_F(pool_fixture, a_release_that_arrives_late_does_not_keep_a_run) {
  fake_upstream& upstream = add_upstream("u1");
  upstream.set_run_ms(10'000);
  own(1);
  run_until(now + 20);
  for (int64_t delay_ms = 0; delay_ms <= 700; delay_ms += STEP_MS) {
    SCOPED_TRACE(delay_ms);
    auto submission = static_cast<uint64_t>(now);
    ask(request(submission, "j" + std::to_string(submission), 1));
    run_until(now + 50);
    ASSERT_EQ(upstream.runs().size(), 1U);
    unix_ms released_ms = now;
    unconfirmed_echo_ms = released_ms;
    run_until(now + delay_ms);
    drop_stops = true;
    release_runs(state, submission, released_ms, now, out);
    flush();
    unconfirmed_echo_ms = 0;
    run_until(released_ms + state.options.resubmission_ms);
    EXPECT_TRUE(upstream.runs().empty());
    drop_stops = false;
    run_until(now + 2'000);
  }
}

TEST(intake, a_hello_names_the_earliest_unconfirmed_release) {
  intake sender;
  wire::owner_grant& grant = sender.grants["kranj"];
  grant.set_token(7);
  sender.pools["kranj"].token = 7;
  EXPECT_EQ(make_pool_hello(sender, "kranj").unconfirmed_echo_ms(), 0);
  sender.releases[{1, "kranj"}].echo_ms = 500;
  sender.releases[{2, "kranj"}].echo_ms = 400;
  sender.releases[{3, "vic"}].echo_ms = 300;
  EXPECT_EQ(make_pool_hello(sender, "kranj").unconfirmed_echo_ms(), 400);
}

TEST_F(pool_fixture, a_run_does_not_inherit_a_lease_beyond_its_limit) {
  for (int64_t silent_ms = 0; silent_ms < PEER_TIMEOUT_MS; silent_ms += 50) {
    SCOPED_TRACE(silent_ms);
    std::string id = "u" + std::to_string(silent_ms);
    fake_upstream& upstream = add_upstream(id, 2000);
    upstream.set_run_ms(10'000);
    own(state.highest_token + 1);
    run_until(now + 20);
    ask(request(now, "keeps_the_lease", 1), "e2");
    ask(request(now + 1, "j1", 1), "e1");
    unix_ms contact_ms = now;
    release_runs(state, now + 1, now, now, out);
    run_until(now + 100);
    state.peers["e1"].last_contact_ms = now - silent_ms;
    contact_ms = now - silent_ms;
    request_runs(state, "e1", request(now + 2, "j2", 1), now, out);
    flush();
    drop_stops = true;
    keep_peers = false;
    while (now < contact_ms + state.options.resubmission_ms) {
      run_until(now + STEP_MS);
      say_hello("e2", 1);
    }
    upstream.advance(now);
    EXPECT_FALSE(upstream.runs().contains("j2.0.0.0"));
    drop_stops = false;
    keep_peers = true;
    unreachable.insert(id);
  }
}

TEST_F(pool_fixture, a_stopped_run_does_not_shorten_the_lease_of_others) {
  fake_upstream& upstream = add_upstream("u1");
  upstream.set_run_ms(2'500);
  own(1);
  run_until(now + 20);
  wire::run_request wanted = request(1, "j1", 1);
  wanted.set_estimate_ms(2'500);
  ask(wanted, "e1");
  wire::run_request dropped = request(2, "j2", 1);
  dropped.set_estimate_ms(2'500);
  ask(dropped, "e2");
  run_until(now + 50);
  ASSERT_EQ(upstream.runs().size(), 2U);
  release_runs(state, 2, 0, now, out);
  flush();
  run_until(now + 2'600);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
  EXPECT_EQ(upstream.starts(), 2U);
}

// Regression (random run 2710): a request was delayed while the owner was
// suspended. By then its sender had failed and the job was in progress
// elsewhere.
TEST_F(pool_fixture, a_request_with_an_old_echo_is_ignored) {
  EXPECT_FALSE(
      update_peer(state, "e1", 1, now - PEER_TIMEOUT_MS - 1, now, out));
  EXPECT_FALSE(update_peer(state, "e1", 1, 0, now, out));
  EXPECT_TRUE(update_peer(state, "e1", 1, now - PEER_TIMEOUT_MS, now, out));
}

// No task may be started for a silent entry host, even if the first event after
// a suspension is not a tick.
TEST_F(pool_fixture, after_a_suspension_nothing_is_started_for_silent_hosts) {
  fake_upstream& upstream = add_upstream("u1", 1000);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 2));
  run_until(now + 20);
  ASSERT_EQ(upstream.starts(), 1U);
  now += 2000;
  wire::upstream more = upstream.info();
  more.set_id("u2");
  update_upstream(state, more, now, out);
  state.upstreams.at("u2").listed = true;
  flush();
  EXPECT_TRUE(state.jobs.empty());
}

// Regression (score 85378f11): a job was reported as not started though a start
// had been ordered for one of its tasks.
TEST_F(pool_fixture, after_a_suspension_no_unanswered_start_is_repeated) {
  add_upstream("u1", 1000);
  own(1);
  run_until(now + 20);
  drop_starts = 1;
  ask(request(1, "j1", 1));
  for (const auto& [id, order] : std::map(state.orders)) {
    if (order.kind == order_kind::start)
      order_replied(state, id, {}, now, out);
  }
  waiting.clear();
  out.orders.clear();
  now += 2000;
  tick_pool(state, now, out);
  for (const run_order& order : out.orders)
    EXPECT_NE(order.kind, order_kind::start);
}

// Its sender learned of the change of owner 2 s after this owner did.
TEST_F(pool_fixture, a_late_resumed_request_waits_for_unknown_upstreams) {
  fake_upstream& upstream = add_upstream("u1");
  own(1);
  run_until(now + 2000);
  wire::run_request again = request(1, "j1", 1);
  again.set_resumed(true);
  again.add_former_upstreams("u9");
  ask(again);
  run_until(now + state.options.lease_ms);
  EXPECT_EQ(upstream.starts(), 0U);
  run_until(now + 1000);
  EXPECT_EQ(upstream.starts(), 1U);
}

TEST_F(pool_fixture, nothing_is_started_before_the_upstreams_clock_is_known) {
  fake_upstream& upstream = add_upstream("u1");
  own(1);
  run_until(now + 20);
  upstream.restart(now);
  update_upstream(state, upstream.info(), now, out);
  ask(request(1, "j1", 1));
  for (const sent_order& sent : waiting)
    EXPECT_EQ(sent.order.kind, order_kind::renewal);
  run_until(now + 500);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
  EXPECT_EQ(count(wire::RUN_FAILED), 0U);
}

TEST_F(pool_fixture, an_expired_job_with_an_ordered_task_counts_as_started) {
  add_upstream("u1", 1000).set_run_ms(5000);
  own(1);
  run_until(now + 20);
  wire::run_request wide = request(1, "j1", 3);
  wide.set_remaining_ms(200);
  ask(wide);
  run_until(now + 400);
  ASSERT_GT(count(wire::RUN_EXPIRED), 0U);
  for (const auto& [host, result] : reported)
    EXPECT_TRUE(result.started());
}

// Regression (hunt 017f35b6, scale-1 --seed 335269258358): during a network
// partition the owner dropped a job that it had run, and reported it as not
// started when it was requested again.
TEST_F(pool_fixture, a_job_that_is_asked_for_again_may_have_been_started) {
  add_upstream("u1", 500);
  own(1);
  run_until(now + 20);
  wire::run_request again = request(1, "j1", 1);
  again.set_remaining_ms(100);
  again.set_resumed(true);
  ask(again);
  run_until(now + 300);
  ASSERT_EQ(count(wire::RUN_EXPIRED), 1U);
  EXPECT_TRUE(reported.front().second.started());
}

TEST_F(pool_fixture, an_expired_job_that_never_had_room_counts_as_unstarted) {
  add_upstream("u1", 500);
  own(1);
  run_until(now + 20);
  wire::run_request small = request(1, "j1", 1);
  small.set_remaining_ms(200);
  ask(small);
  run_until(now + 400);
  ASSERT_EQ(count(wire::RUN_EXPIRED), 1U);
  EXPECT_FALSE(reported.front().second.started());
}

TEST_F(pool_fixture, a_job_that_can_not_end_in_time_is_given_up_early) {
  add_upstream("u1").set_run_ms(4000);
  own(1);
  run_until(now + 20);
  unix_ms asked = now;
  wire::run_request slow = request(1, "j1", 1);
  slow.set_remaining_ms(1500);
  ask(slow);
  while (reported.empty() && now < asked + 2000)
    run_until(now + STEP_MS);
  EXPECT_EQ(count(wire::RUN_EXPIRED), 1U);
  EXPECT_LT(now - asked, 700);
}

// Load: more work than capacity. Jobs that can still meet their objective are
// served before those that can't, regardless of their order of arrival.
TEST_F(pool_fixture, jobs_past_their_objective_go_behind_the_others) {
  add_upstream("u1", 1000);
  own(1);
  run_until(now + 20);
  ask(request(1, "first", 1));
  wire::run_request late = request(2, "late", 1);
  late.set_aim_ms(RUN_MS);
  ask(late);
  run_until(now + 60);
  wire::run_request punctual = request(3, "punctual", 1);
  punctual.set_priority(2);
  ask(punctual);
  run_until(now + 500);
  ASSERT_EQ(reported.size(), 3U);
  EXPECT_EQ(reported[1].second.submission(), 3U);
  EXPECT_EQ(reported[2].second.submission(), 2U);
}

TEST_F(pool_fixture, a_failing_upstream_is_ejected_and_jobs_run_elsewhere) {
  fake_upstream& bad = add_upstream("u1", 1000);
  bad.set_failing(true);
  add_upstream("u2", 4000);
  own(1);
  run_until(now + 20);
  for (uint64_t job = 1; job <= 10; ++job) {
    ask(request(job, "j" + std::to_string(job), 1));
    run_until(now + 130);
  }
  EXPECT_EQ(count(wire::RUN_DONE), 10U);
  EXPECT_LE(bad.starts(), 3U);
}

TEST_F(pool_fixture, a_task_that_fails_everywhere_is_reported_failed) {
  for (const char* id : {"u1", "u2", "u3"})
    add_upstream(id).set_failing(true);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 1));
  run_until(now + 600);
  EXPECT_EQ(count(wire::RUN_FAILED), 1U);
  uint64_t starts = 0;
  for (const fake_upstream& upstream : upstreams)
    starts += upstream.starts();
  EXPECT_EQ(starts, 2U);
}

TEST_F(pool_fixture, a_leaving_upstream_gets_no_new_task) {
  fake_upstream& upstream = add_upstream("u1");
  own(1);
  run_until(now + 20);
  wire::upstream leaving = upstream.info();
  leaving.set_state(wire::UPSTREAM_LEAVING);
  leaving.set_sequence(2);
  update_upstream(state, leaving, now, out);
  ask(request(1, "j1", 1));
  run_until(now + 300);
  EXPECT_EQ(upstream.starts(), 0U);
}

// A new incarnation under the same id: the runs of the previous one are over,
// and the end numbers start again.
TEST_F(pool_fixture, a_restarted_upstream_loses_its_runs_at_once) {
  fake_upstream& upstream = add_upstream("u1");
  upstream.set_run_ms(600);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 1));
  run_until(now + 50);
  upstream.restart(now);
  run_until(now + 50);
  update_upstream(state, upstream.info(), now, out);
  run_until(now + 350);
  EXPECT_EQ(upstream.starts(), 2U);
  run_until(now + 800);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
}

TEST_F(pool_fixture, a_new_incarnation_is_not_taken_for_as_large_as_the_last) {
  fake_upstream& upstream = add_upstream("u1");
  own(1);
  run_until(now + 20);
  upstream.restart(now);
  upstream.set_capacity(1000);
  run_until(now + 400);
  ask(request(1, "j1", 2));
  run_until(now + 50);
  EXPECT_EQ(upstream.starts(), 0U);
  update_upstream(state, upstream.info(), now, out);
  run_until(now + 50);
  EXPECT_EQ(upstream.starts(), 1U);
  EXPECT_EQ(upstream.rejected_no_room(), 0U);
}

// Regression (random run 63): a task that is ordered between the restart and
// its announcement runs on the new incarnation and must not be started
// elsewhere.
TEST_F(pool_fixture, announcing_a_new_incarnation_does_not_end_its_runs) {
  fake_upstream& first = add_upstream("u1", 1000);
  own(1);
  run_until(now + 20);
  first.restart(now);
  ask(request(1, "j1", 1));
  run_until(now + 20);
  ASSERT_EQ(first.runs().size(), 1U);
  fake_upstream& second = add_upstream("u2", 1000);
  run_until(now + 20);
  update_upstream(state, first.info(), now, out);
  flush();
  run_until(now + 400);
  EXPECT_EQ(first.starts(), 1U);
  EXPECT_EQ(second.starts(), 0U);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
}

// Regression (random run 575): an unanswered start is carried out late, by a
// later incarnation that never received the stop.
TEST_F(pool_fixture, a_new_incarnation_gets_the_stop_of_an_unanswered_start) {
  fake_upstream& first = add_upstream("u1", 1000);
  own(1);
  run_until(now + 20);
  drop_starts = 3;
  ask(request(1, "j1", 1));
  run_until(now + 300);
  run_order late;
  late.kind = order_kind::start;
  late.token = 1;
  late.task = "j1.0.0.0";
  late.attempt = 1;
  late.lease_deadline_ms = now + 600'000;
  first.restart(now);
  run_until(now + 600);
  EXPECT_EQ(first.carry_out(late, now).outcome, order_outcome::stale_attempt);
}

// Random run 369 with a third of the orders late.
TEST_F(pool_fixture, a_task_waits_until_its_late_start_is_barred_again) {
  fake_upstream& first = add_upstream("u1", 1000);
  own(1);
  run_until(now + 20);
  drop_starts = 3;
  ask(request(1, "j1", 1));
  while (!state.upstreams["u1"].runs.empty() && now < 1'002'000)
    run_until(now + STEP_MS);
  ASSERT_TRUE(state.upstreams["u1"].runs.empty());
  drop_stops = true;
  first.restart(now);
  run_until(now + 20);
  update_upstream(state, first.info(), now, out);
  run_until(now + 20);
  fake_upstream& second = add_upstream("u2", 1000);
  run_until(now + 300);
  EXPECT_EQ(second.starts(), 0U);
  drop_stops = false;
  run_until(now + 800);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
}

TEST_F(pool_fixture, a_rejected_task_is_not_started_by_its_unanswered_order) {
  fake_upstream& first = add_upstream("u1", 1000);
  own(1);
  run_until(now + 20);
  drop_starts = 1;
  ask(request(1, "j1", 1));
  run_order late;
  late.kind = order_kind::start;
  late.token = 1;
  late.task = "j1.0.0.0";
  late.attempt = 1;
  late.lease_deadline_ms = now + 600'000;
  // The start is sent again, and there is no room for it.
  first.set_capacity(0);
  run_until(now + 200);
  ASSERT_EQ(first.rejected_no_room(), 1U);
  first.set_capacity(1000);
  EXPECT_EQ(first.carry_out(late, now).outcome, order_outcome::stale_attempt);
}

TEST_F(pool_fixture,
       stops_of_an_upstream_that_is_gone_are_not_repeated_at_once) {
  fake_upstream& upstream = add_upstream("u1");
  upstream.crashes_on = [](const std::string&) { return true; };
  upstream.down_ms = 60'000;
  own(1);
  run_until(now + 20);
  uint64_t first_order = state.next_order;
  ask(request(1, "j1", 1));
  run_until(now + 1'000);
  uint64_t renewals = 1'000 / 50;
  EXPECT_LE(state.next_order - first_order, renewals + 10);
}

TEST_F(pool_fixture, a_released_task_is_stopped_after_a_second_run_was) {
  fake_upstream& first = add_upstream("u1", 1000);
  own(1);
  run_until(now + 20);
  first.set_run_ms(10'000);
  wire::run_request long_job = request(1, "j1", 1);
  long_job.set_estimate_ms(10'000);
  long_job.set_remaining_ms(60'000);
  ask(long_job);
  fake_upstream& second = add_upstream("u2", 1000);
  run_until(now + 50);
  // A start that was ordered earlier arrives late.
  run_order late;
  late.kind = order_kind::start;
  late.token = 1;
  late.task = "j1.0.0.0";
  late.attempt = 1;
  late.lease_deadline_ms = now + 600'000;
  second.set_run_ms(10'000);
  ASSERT_EQ(second.carry_out(late, now).outcome, order_outcome::accepted);
  run_until(now + 600);
  ASSERT_TRUE(second.runs().empty());
  ASSERT_EQ(first.runs().size(), 1U);
  release_runs(state, 1, now, now, out);
  flush();
  run_until(now + 100);
  EXPECT_TRUE(first.runs().empty());
}

// The stop was acknowledged only by the previous incarnation. The delayed start
// must not run on the new one beside the next attempt.
TEST_F(pool_fixture, a_stop_acknowledged_by_a_past_incarnation_is_sent_again) {
  fake_upstream& first = add_upstream("u1", 1000);
  own(1);
  run_until(now + 20);
  drop_starts = 3;
  ask(request(1, "j1", 1));
  const leased_run& run = state.upstreams["u1"].runs["j1.0.0.0"];
  unix_ms asked = now;
  while (run.absence_valid_from_ms == INT64_MAX && now < asked + 2000)
    run_until(now + STEP_MS);
  ASSERT_EQ(run.state, run_state::stopping);
  first.restart(now);
  run_until(now + 600);
  run_order late;
  late.kind = order_kind::start;
  late.token = 1;
  late.task = "j1.0.0.0";
  late.attempt = 1;
  late.lease_deadline_ms = now + 600'000;
  EXPECT_EQ(first.carry_out(late, now).outcome, order_outcome::stale_attempt);
}

TEST_F(pool_fixture, resources_of_a_run_that_is_being_stopped_are_not_free) {
  fake_upstream& first = add_upstream("u1", 1000);
  first.set_run_ms(5000);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 1));
  run_until(now + 50);
  ASSERT_EQ(first.runs().size(), 1U);
  release_runs(state, 1, now, now, out);
  flush();
  ask(request(2, "j2", 1));
  for (const sent_order& sent : waiting)
    EXPECT_NE(sent.order.kind, order_kind::start);
  run_until(now + 1000);
  EXPECT_EQ(first.rejected_no_room(), 0U);
  EXPECT_EQ(first.runs().count("j2.0.0.0"), 1U);
}

TEST_F(pool_fixture, a_step_goes_only_where_its_label_is) {
  add_upstream("u1");
  upstreams.emplace_back("u2", "kranj", 2000, 0, RUN_MS);
  wire::upstream labelled = upstreams.back().info();
  labelled.add_labels("b");
  update_upstream(state, labelled, now, out);
  own(1);
  run_until(now + 20);
  wire::run_request labelled_request = request(1, "j1", 3);
  labelled_request.set_label("b");
  ask(labelled_request);
  run_until(now + 500);
  EXPECT_EQ(upstreams[0].starts(), 0U);
  EXPECT_EQ(upstreams[1].starts(), 3U);
}

TEST_F(pool_fixture, a_hello_shows_which_messages_were_lost) {
  add_upstream("u1");
  own(1);
  ask(request(7, "j1", 1));
  wire::pool_hello hello;
  hello.set_have_upstreams(state.upstreams_version);
  hello.set_requests(1);
  EXPECT_FALSE(answer_hello(state, "e1", hello, now).requests_lost());
  // A second request was sent and did not arrive.
  hello.set_requests(2);
  EXPECT_TRUE(answer_hello(state, "e1", hello, now).requests_lost());
  EXPECT_FALSE(answer_hello(state, "e1", hello, now).requests_lost());
  run_until(now + 400);
  ASSERT_EQ(count(wire::RUN_DONE), 1U);
  EXPECT_EQ(answer_hello(state, "e1", hello, now).results(), 1U);
}

}  // namespace
}  // namespace cyclamenwood
