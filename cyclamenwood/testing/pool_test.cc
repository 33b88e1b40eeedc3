// The owner's part, against upstreams without a network.
#include "cyclamenwood/pool.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "cyclamenwood/testing/fake_upstream.h"

namespace cyclamenwood {
namespace {

constexpr int64_t STEP_MS = 5;
constexpr int64_t RUN_MS = 100;

// One pool, its upstreams, and a clock. Orders are carried out at once and
// holds answered when something ended or their wait is over.
class pool_fixture : public testing::Test {
 protected:
  pool_fixture() { state.zone = "kranj"; }

  fake_upstream& add_upstream(const std::string& id, uint32_t cpu = 2000) {
    upstreams.emplace_back(id, "kranj", cpu, 500'000, RUN_MS);
    learn_upstream(state, upstreams.back().info(), now, out);
    flush();
    return upstreams.back();
  }

  void own(uint64_t token) {
    own_pool(state, token, now, out);
    flush();
  }

  wire::run_request request(uint64_t submission,
                            const std::string& job,
                            uint32_t tasks) {
    wire::run_request made;
    made.set_submission(submission);
    made.set_job(job);
    for (uint32_t task = 0; task < tasks; ++task)
      made.add_tasks(task);
    made.set_spec("spec");
    made.mutable_need()->set_cpu_milli(1000);
    made.set_service("fit-desk");
    made.set_max_attempts(2);
    made.set_estimate_ms(RUN_MS);
    made.set_aim_ms(300);
    made.set_remaining_ms(3000);
    return made;
  }

  void ask(const wire::run_request& wanted, const std::string& from = "e1") {
    say_hello(from, 1);
    request_runs(state, from, wanted, now, out);
    flush();
  }

  // A host that has received all that the owner told it.
  void say_hello(const std::string& from, uint64_t incarnation) {
    hear_peer(state, from, incarnation, now, now, out);
    wire::pool_hello hello;
    hello.set_requests(state.peers[from].requests_received);
    hello.set_have_upstreams(state.upstreams_version);
    answer_hello(state, from, hello, now);
  }

  void flush() {
    place_tasks(state, now, out);
    for (run_order& order : std::exchange(out.orders, {}))
      waiting.push_back({now, std::move(order)});
    for (auto& [host, results] : std::exchange(out.results, {})) {
      for (const wire::run_result& result : results.results())
        reported.emplace_back(host, result);
    }
  }

  fake_upstream* find(const std::string& id) {
    for (fake_upstream& upstream : upstreams) {
      if (upstream.info().id() == id)
        return &upstream;
    }
    return nullptr;
  }

  // Answers orders until `until`.
  void run_until(unix_ms until) {
    while (now < until) {
      now += STEP_MS;
      for (auto& [order_sent, order] : std::exchange(waiting, {}))
        answer(order_sent, order);
      if (keep_peers) {
        for (const auto& [host, peer] : std::map(state.peers))
          say_hello(host, peer.incarnation);
      }
      tick_pool(state, now, out);
      flush();
    }
  }

  void answer(unix_ms sent, const run_order& order) {
    fake_upstream* upstream = find(order.upstream);
    upstream->advance(now);
    bool silent = unreachable.contains(order.upstream) ||
                  (order.kind == order_kind::start && drop_starts > 0);
    if (silent) {
      if (now < order.give_up_ms) {
        waiting.push_back({sent, order});
        return;
      }
      if (order.kind == order_kind::start)
        --drop_starts;
      order_replied(state, order.id, {}, now, out);
    } else {
      order_reply reply = upstream->carry_out(order, now);
      bool waits = order.kind == order_kind::hold && reply.ended.empty() &&
                   now < sent + order.wait_ms;
      if (waits) {
        waiting.push_back({sent, order});
        return;
      }
      order_replied(state, order.id, reply, now, out);
    }
    flush();
  }

  size_t count(wire::run_outcome outcome) const {
    return std::count_if(reported.begin(), reported.end(),
                         [outcome](const auto& item) {
                           return item.second.outcome() == outcome;
                         });
  }

  struct sent_order {
    unix_ms sent = 0;
    run_order order;
  };

  unix_ms now = 1'000'000;
  pool state;
  pool_output out;
  std::deque<fake_upstream> upstreams;
  std::vector<sent_order> waiting;
  std::vector<std::pair<std::string, wire::run_result>> reported;
  std::set<std::string> unreachable;
  int drop_starts = 0;
  bool keep_peers = true;
};

TEST_F(pool_fixture, runs_tasks_where_there_is_room_and_reports_each) {
  add_upstream("u1");
  add_upstream("u2");
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 6));
  run_until(now + 400);
  EXPECT_EQ(count(wire::RUN_DONE), 6U);
  for (const fake_upstream& upstream : upstreams) {
    EXPECT_EQ(upstream.rejected_for_room(), 0U);
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

// Until every lease has run out the task may still run there.
TEST_F(pool_fixture, a_cut_off_upstream_keeps_its_tasks_until_leases_are_over) {
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
  unix_ms cut = now;
  while (second.runs().empty() && now < cut + 3000) {
    run_until(now + STEP_MS);
    first.advance(now);
    EXPECT_LE(first.runs().size() + second.runs().size(), 1U);
  }
  EXPECT_EQ(second.runs().size(), 1U);
}

TEST_F(pool_fixture, a_rejected_token_ends_the_ownership) {
  fake_upstream& upstream = add_upstream("u1");
  own(1);
  run_until(now + 20);
  run_order newer;
  newer.token = 2;
  upstream.carry_out(newer, now);
  run_until(now + 500);
  EXPECT_TRUE(out.lost);
}

// A takeover adopts what an entry host asks for and stops the rest.
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
  run_until(now + PEER_SILENCE_MS + 100);
  EXPECT_TRUE(upstream.runs().empty());
}

// Regression, random run 2710: a request waited while the owner stood still;
// its sender was gone by then and the job under way elsewhere.
TEST_F(pool_fixture, a_request_with_an_old_echo_is_not_obeyed) {
  EXPECT_FALSE(hear_peer(state, "e1", 1, now - PEER_SILENCE_MS - 1, now, out));
  EXPECT_FALSE(hear_peer(state, "e1", 1, 0, now, out));
  EXPECT_TRUE(hear_peer(state, "e1", 1, now - PEER_SILENCE_MS, now, out));
}

// The queue must not be served for an entry host that is silent, even when
// the first thing after standing still is not a tick.
TEST_F(pool_fixture, after_standing_still_nothing_is_started_for_the_silent) {
  fake_upstream& upstream = add_upstream("u1", 1000);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 2));
  run_until(now + 20);
  ASSERT_EQ(upstream.starts(), 1U);
  now += 2000;
  wire::upstream more = upstream.info();
  more.set_id("u2");
  learn_upstream(state, more, now, out);
  state.upstreams.at("u2").listed = true;
  flush();
  EXPECT_TRUE(state.jobs.empty());
}

// Regression, score 85378f11: a job was called unrun though a task of it had
// been ordered.
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

// Regression, hunt 017f35b6, scale-1 --seed 335269258358: during a cut the
// owner forgot a job that it had run, and called it unrun when it was asked
// again.
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

// Load: more than the room. Jobs that can still meet their objective go before
// those that can't, whatever their order of arrival.
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

TEST_F(pool_fixture, an_upstream_that_fails_all_rests_and_jobs_run_elsewhere) {
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
  learn_upstream(state, leaving, now, out);
  ask(request(1, "j1", 1));
  run_until(now + 300);
  EXPECT_EQ(upstream.starts(), 0U);
}

// The same id, another life: what ran there is over, and its numbers of ends
// begin anew.
TEST_F(pool_fixture, an_upstream_that_starts_again_loses_its_runs_at_once) {
  fake_upstream& upstream = add_upstream("u1");
  upstream.set_run_ms(600);
  own(1);
  run_until(now + 20);
  ask(request(1, "j1", 1));
  run_until(now + 50);
  upstream.restart(now);
  run_until(now + 400);
  EXPECT_EQ(upstream.starts(), 2U);
  run_until(now + 800);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
}

// Regression, random run 63: a task ordered between the restart and its
// announcement runs on the new life and must not be started elsewhere.
TEST_F(pool_fixture, the_announcement_of_a_new_life_does_not_end_its_runs) {
  fake_upstream& first = add_upstream("u1", 1000);
  own(1);
  run_until(now + 20);
  first.restart(now);
  ask(request(1, "j1", 1));
  run_until(now + 20);
  ASSERT_EQ(first.runs().size(), 1U);
  fake_upstream& second = add_upstream("u2", 1000);
  run_until(now + 20);
  learn_upstream(state, first.info(), now, out);
  flush();
  run_until(now + 400);
  EXPECT_EQ(first.starts(), 1U);
  EXPECT_EQ(second.starts(), 0U);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
}

// Regression, random run 575: a start without an answer is carried out late,
// by a later life of its upstream that never heard of the stop.
TEST_F(pool_fixture, a_new_life_is_told_the_stop_of_an_unanswered_start) {
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

TEST_F(pool_fixture, a_step_goes_only_where_its_label_is) {
  add_upstream("u1");
  upstreams.emplace_back("u2", "kranj", 2000, 0, RUN_MS);
  wire::upstream labelled = upstreams.back().info();
  labelled.add_labels("b");
  learn_upstream(state, labelled, now, out);
  own(1);
  run_until(now + 20);
  wire::run_request picky = request(1, "j1", 3);
  picky.set_label("b");
  ask(picky);
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
  state.zone = "kranj";
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
