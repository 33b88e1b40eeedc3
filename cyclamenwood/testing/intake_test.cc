// Tests of the intake, the choice of pools, and the neighbours of an entry
// host.
#include "cyclamenwood/intake.h"

#include <fmt/format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "cyclamenwood/neighbours.h"
#include "cyclamenwood/pool_name.h"

namespace cyclamenwood {
namespace {

job_spec make_job(uint32_t tasks, int64_t estimate_ms) {
  job_spec job;
  job.spec = "spec";
  job.best_effort = true;
  step_spec step;
  step.count = tasks;
  step.need.set_cpu_milli(1000);
  step.estimate_ms = estimate_ms;
  job.steps = {step};
  return job;
}

class intake_fixture : public testing::Test {
 protected:
  intake_fixture() {
    state.zone = "kranj";
    route_table table;
    table.version = 1;
    route queue;
    queue.name = "q";
    queue.host = "h";
    queue.path_prefix = "/q/";
    queue.service = "fit-desk";
    queue.timeout_ms = 500;
    queue.max_attempts = 2;
    table.routes = {queue};
    state.routes = table;
    grant("kranj", "e1", 1);
    grant("vic", "e2", 2);
    report_capacity("kranj", 1, {4000});
    report_capacity("vic", 2, {4000});
  }

  void grant(const std::string& zone, const std::string& host, uint64_t token) {
    wire::control_news news;
    wire::owner_grant& added = *news.add_grants();
    added.set_zone(zone);
    added.set_host(host);
    added.set_token(token);
    merge_grants(state, news.grants());
  }

  void report_capacity(const std::string& zone,
                       uint64_t token,
                       const std::vector<uint32_t>& free) {
    wire::pool_state update;
    update.set_pool(zone);
    update.set_token(token);
    update.set_clock_ms(now - 7);
    wire::service_room& room = *update.add_services();
    room.set_service("fit-desk");
    room.set_total_cpu_milli(4000);
    for (uint32_t cpu : free)
      room.add_free_cpu_milli(cpu);
    receive_pool_state(state, update, now, out);
  }

  void submit(uint64_t exchange,
              const std::string& id,
              const job_spec& job,
              int64_t wait_ms = 2000) {
    caller_call call;
    call.exchange = exchange;
    call.host = "h";
    call.path = "/q/" + id;
    call.wait_ms = wait_ms;
    call.job = job;
    receive_call(state, call, now, out);
  }

  void report(uint64_t submission,
              uint32_t task,
              wire::run_outcome outcome,
              bool started = true) {
    wire::run_results results;
    results.set_pool("kranj");
    wire::run_result& result = *results.add_results();
    result.set_submission(submission);
    result.set_task(task);
    result.set_outcome(outcome);
    result.set_started(started);
    receive_run_results(state, "e1", results, now, out);
  }

  // An owner confirms the release of a submission.
  void confirm_release(uint64_t submission,
                       bool unstarted,
                       const std::string& pool = "kranj",
                       uint64_t token = 1) {
    wire::run_released released;
    released.set_submission(submission);
    released.set_pool(pool);
    released.set_token(token);
    released.set_unstarted(unstarted);
    receive_run_released(state, released, now, out);
  }

  // The owner of "kranj" returns task 0 and has no free capacity.
  void return_task(uint64_t submission) {
    wire::run_results results;
    results.set_pool("kranj");
    wire::run_result& result = *results.add_results();
    result.set_submission(submission);
    result.set_outcome(wire::RUN_RETURNED);
    wire::service_room& room = *results.add_services();
    room.set_service("fit-desk");
    room.set_total_cpu_milli(4000);
    room.add_free_cpu_milli(0);
    receive_run_results(state, "e1", results, now, out);
  }

  std::vector<wire::run_request> requests(const std::string& host) const {
    std::vector<wire::run_request> found;
    for (const auto& [to, envelope] : out.messages) {
      if (to == host && envelope.has_run_request())
        found.push_back(envelope.run_request());
    }
    return found;
  }

  unix_ms now = 1'000'000;
  intake state;
  intake_output out;
};

TEST_F(intake_fixture, a_job_is_answered_when_all_its_tasks_are_done) {
  submit(1, "a", make_job(2, 100));
  ASSERT_EQ(requests("e1").size(), 1U);
  uint64_t submission = requests("e1")[0].submission();
  report(submission, 0, wire::RUN_DONE);
  EXPECT_TRUE(out.answers.empty());
  report(submission, 0, wire::RUN_DONE);
  EXPECT_TRUE(out.answers.empty());
  report(submission, 1, wire::RUN_DONE);
  ASSERT_EQ(out.answers.size(), 1U);
  EXPECT_EQ(out.answers[0].outcome, caller_outcome::completed);
  EXPECT_TRUE(out.messages.back().second.has_run_release());
}

// Load: a job with more tasks than fit into the free capacity of the own zone.
TEST_F(intake_fixture, a_wide_step_is_spread_over_zones_with_capacity) {
  submit(1, "a", make_job(6, 100));
  ASSERT_EQ(requests("e1").size(), 1U);
  ASSERT_EQ(requests("e2").size(), 1U);
  EXPECT_EQ(requests("e1")[0].tasks_size(), 4);
  EXPECT_EQ(requests("e2")[0].tasks_size(), 2);
}

TEST_F(intake_fixture, missing_tasks_are_requested_from_a_new_owner) {
  submit(1, "a", make_job(2, 100));
  uint64_t submission = requests("e1")[0].submission();
  report(submission, 0, wire::RUN_DONE);
  out = {};
  grant("kranj", "e3", 7);
  EXPECT_TRUE(requests("e3").empty());
  report_capacity("kranj", 7, {4000});
  ASSERT_EQ(requests("e3").size(), 1U);
  EXPECT_TRUE(requests("e3")[0].resumed());
  ASSERT_EQ(requests("e3")[0].tasks_size(), 1);
  EXPECT_EQ(requests("e3")[0].tasks(0), 1U);
  // The previous owner may have started some of it.
  report(submission, 1, wire::RUN_EXPIRED, false);
  EXPECT_EQ(out.answers.at(0).outcome, caller_outcome::given_up);
}

TEST_F(intake_fixture, a_former_owners_state_does_not_replace_its_successors) {
  submit(1, "a", make_job(2, 100));
  grant("kranj", "e3", 7);
  report_capacity("kranj", 7, {4000});
  ASSERT_EQ(requests("e3").size(), 1U);
  // The former owner was suspended and answers an old hello.
  report_capacity("kranj", 1, {4000});
  report_capacity("kranj", 7, {4000});
  EXPECT_EQ(requests("e3").size(), 1U);
  EXPECT_EQ(state.pools.at("kranj").token, 7U);
}

TEST_F(intake_fixture, a_resent_request_is_marked_as_resumed) {
  submit(1, "a", make_job(1, 100));
  EXPECT_FALSE(requests("e1").at(0).resumed());
  EXPECT_EQ(requests("e1").at(0).echo_ms(), now - 7);
  wire::pool_state update;
  update.set_pool("kranj");
  update.set_token(1);
  update.set_requests_lost(true);
  receive_pool_state(state, update, now, out);
  ASSERT_EQ(requests("e1").size(), 2U);
  EXPECT_TRUE(requests("e1")[1].resumed());
}

// Two changes of owner within a lease: the owner in between may not know all
// upstreams that the first one used, so a request must still list them.
TEST_F(intake_fixture, upstreams_of_recent_owners_are_kept) {
  auto report_upstreams = [this](uint64_t token, std::vector<std::string> ids) {
    wire::pool_state update;
    update.set_pool("kranj");
    update.set_token(token);
    update.set_upstreams_version(token);
    *update.mutable_upstreams() = {ids.begin(), ids.end()};
    receive_pool_state(state, update, now, out);
  };
  submit(1, "a", make_job(1, 100), 20'000);
  report_upstreams(1, {"u1", "u2"});
  now += 5000;
  grant("kranj", "e3", 5);
  report_upstreams(5, {"u1"});
  now += 300;
  grant("kranj", "e4", 6);
  report_upstreams(6, {});
  wire::run_request last = requests("e4").back();
  EXPECT_THAT(last.former_upstreams(),
              testing::UnorderedElementsAre("u1", "u1", "u2"));
  // Later the owner in between has read its lists and knows all runs.
  now += 5000;
  grant("kranj", "e5", 7);
  report_upstreams(7, {});
  EXPECT_TRUE(requests("e5").back().former_upstreams().empty());
}

TEST_F(intake_fixture,
       missing_results_are_requested_again_after_lost_messages) {
  submit(1, "a", make_job(1, 100), 5000);
  EXPECT_EQ(make_pool_hello(state, "kranj").requests(), 1U);
  for (int i = 0; i < 15; ++i) {
    now += 100;
    report_capacity("kranj", 1, {4000});
    tick_intake(state, now, out);
  }
  // No message was lost, so nothing is sent again.
  EXPECT_EQ(requests("e1").size(), 1U);
  // The owner has sent a result that did not arrive.
  wire::pool_state update;
  update.set_pool("kranj");
  update.set_token(1);
  update.set_results(1);
  receive_pool_state(state, update, now, out);
  EXPECT_EQ(requests("e1").size(), 2U);
  receive_pool_state(state, update, now, out);
  EXPECT_EQ(requests("e1").size(), 2U);
  // Missing results are requested again after a while, even if the counts
  // match.
  now += 1000;
  tick_intake(state, now, out);
  EXPECT_EQ(requests("e1").size(), 3U);
}

TEST_F(intake_fixture, an_unstarted_job_is_refused_with_a_retry_time) {
  submit(1, "a", make_job(1, 100));
  uint64_t submission = requests("e1")[0].submission();
  report(submission, 0, wire::RUN_EXPIRED, false);
  EXPECT_TRUE(out.answers.empty());
  confirm_release(submission, true);
  ASSERT_EQ(out.answers.size(), 1U);
  EXPECT_EQ(out.answers[0].outcome, caller_outcome::refused);
  EXPECT_GT(out.answers[0].retry_after_ms, 0);
}

TEST_F(intake_fixture, a_report_older_than_a_request_does_not_refuse_the_job) {
  report_capacity("vic", 2, {0});
  report_capacity("kranj", 1, {1000});
  submit(1, "a", make_job(2, 100));
  uint64_t submission = requests("e1").at(0).submission();
  return_task(submission);
  report(submission, 1, wire::RUN_EXPIRED, false);
  EXPECT_TRUE(out.answers.empty());
  // The returned task was sent there again and has been started.
  confirm_release(submission, false);
  ASSERT_EQ(out.answers.size(), 1U);
  EXPECT_EQ(out.answers[0].outcome, caller_outcome::given_up);
}

TEST_F(intake_fixture, a_job_is_refused_when_all_its_owners_have_confirmed) {
  submit(1, "a", make_job(6, 100));
  uint64_t submission = requests("e1").at(0).submission();
  report(submission, 0, wire::RUN_EXPIRED, false);
  confirm_release(submission, true);
  EXPECT_TRUE(out.answers.empty());
  confirm_release(submission, true, "vic", 2);
  ASSERT_EQ(out.answers.size(), 1U);
  EXPECT_EQ(out.answers[0].outcome, caller_outcome::refused);
}

TEST_F(intake_fixture, a_confirmation_under_another_token_does_not_refuse) {
  submit(1, "a", make_job(1, 100));
  uint64_t submission = requests("e1").at(0).submission();
  report(submission, 0, wire::RUN_EXPIRED, false);
  confirm_release(submission, true, "kranj", 9);
  ASSERT_EQ(out.answers.size(), 1U);
  EXPECT_EQ(out.answers[0].outcome, caller_outcome::given_up);
}

TEST_F(intake_fixture, a_missing_confirmation_is_not_waited_for_long) {
  submit(1, "a", make_job(1, 100));
  report(requests("e1").at(0).submission(), 0, wire::RUN_EXPIRED, false);
  now += 250;
  tick_intake(state, now, out);
  ASSERT_EQ(out.answers.size(), 1U);
  EXPECT_EQ(out.answers[0].outcome, caller_outcome::unknown);
}

TEST_F(intake_fixture, the_callers_deadline_bounds_the_job) {
  submit(1, "a", make_job(1, 100), 2000);
  now += 1900;
  report_capacity("kranj", 1, {4000});
  tick_intake(state, now, out);
  EXPECT_TRUE(out.answers.empty());
  now += 200;
  tick_intake(state, now, out);
  ASSERT_EQ(out.answers.size(), 1U);
}

TEST_F(intake_fixture, the_same_job_again_waits_for_the_first) {
  submit(1, "a", make_job(1, 100));
  submit(2, "a", make_job(1, 100));
  ASSERT_EQ(requests("e1").size(), 1U);
  report(requests("e1")[0].submission(), 0, wire::RUN_DONE);
  EXPECT_EQ(out.answers.size(), 2U);
}

TEST_F(intake_fixture, a_disconnected_caller_releases_its_job) {
  submit(1, "a", make_job(1, 100));
  out = {};
  caller_disconnected(state, 1, now, out);
  ASSERT_EQ(out.messages.size(), 1U);
  EXPECT_TRUE(out.messages[0].second.has_run_release());
  EXPECT_TRUE(state.jobs.empty());
}

TEST_F(intake_fixture, a_lost_release_is_sent_again) {
  submit(1, "a", make_job(2, 100));
  uint64_t submission = requests("e1")[0].submission();
  caller_disconnected(state, 1, now, out);
  out.messages.clear();
  tick_intake(state, now + 100, out);
  ASSERT_EQ(out.messages.size(), 1U);
  EXPECT_EQ(out.messages[0].first, "e1");
  EXPECT_EQ(out.messages[0].second.run_release().submission(), submission);
  confirm_release(submission, false);
  out.messages.clear();
  tick_intake(state, now + 200, out);
  EXPECT_TRUE(out.messages.empty());
}

TEST_F(intake_fixture, a_release_is_repeated_ever_more_rarely) {
  submit(1, "a", make_job(1, 100));
  caller_disconnected(state, 1, now, out);
  out.messages.clear();
  for (unix_ms end = now + 2'000; now < end; now += 20)
    tick_intake(state, now, out);
  EXPECT_EQ(out.messages.size(), 3U);
}

TEST_F(intake_fixture, unsupported_jobs_are_refused_and_never_sent) {
  job_spec stored = make_job(1, 100);
  stored.best_effort = false;
  submit(1, "a", stored);
  job_spec gang = make_job(1, 100);
  gang.unsupported_feature = "gang";
  submit(2, "b", gang);
  ASSERT_EQ(out.answers.size(), 2U);
  EXPECT_EQ(out.answers[0].outcome, caller_outcome::refused);
  EXPECT_EQ(out.answers[1].outcome, caller_outcome::refused);
  EXPECT_TRUE(out.messages.empty());
}

TEST_F(intake_fixture, a_later_step_waits_for_the_steps_it_depends_on) {
  job_spec job = make_job(1, 100);
  job.steps.push_back(job.steps[0]);
  job.steps[1].depends_on = {0};
  submit(1, "a", job);
  ASSERT_EQ(requests("e1").size(), 1U);
  report(requests("e1")[0].submission(), 0, wire::RUN_DONE);
  ASSERT_EQ(requests("e1").size(), 2U);
  EXPECT_EQ(requests("e1")[1].step(), 1U);
}

// The pool was chosen from an outdated state: its owner returns a task, with
// its capacity, and the task goes to a pool that has some.
TEST_F(intake_fixture, a_returned_task_goes_to_another_pool) {
  submit(1, "a", make_job(1, 100));
  ASSERT_EQ(requests("e1").size(), 1U);
  EXPECT_TRUE(requests("e1")[0].returnable());
  uint64_t submission = requests("e1")[0].submission();
  return_task(submission);
  ASSERT_EQ(requests("e2").size(), 1U);
  EXPECT_EQ(requests("e2")[0].submission(), submission);
  EXPECT_FALSE(requests("e2")[0].resumed());
  EXPECT_TRUE(out.answers.empty());
  // The first pool has dropped the job; only the second one is released.
  now += 2000;
  tick_intake(state, now, out);
  for (const auto& [host, envelope] : out.messages)
    EXPECT_FALSE(host == "e1" && envelope.has_run_release());
}

// The task was requested again, and the owner may have started it since it sent
// the return.
TEST_F(intake_fixture, a_return_that_a_repeated_request_overtook_is_ignored) {
  submit(1, "a", make_job(1, 100));
  ASSERT_EQ(requests("e1").size(), 1U);
  wire::pool_state lost;
  lost.set_pool("kranj");
  lost.set_token(1);
  lost.set_requests_lost(true);
  receive_pool_state(state, lost, now, out);
  ASSERT_EQ(requests("e1").size(), 2U);
  EXPECT_TRUE(requests("e1")[1].resumed());
  EXPECT_FALSE(requests("e1")[1].returnable());
  return_task(requests("e1")[0].submission());
  EXPECT_TRUE(requests("e2").empty());
}

// Where no pool has free capacity, the task is queued in one of them.
TEST_F(intake_fixture, a_task_is_queued_when_no_pool_has_capacity) {
  report_capacity("vic", 2, {0});
  submit(1, "a", make_job(1, 100));
  ASSERT_EQ(requests("e1").size(), 1U);
  return_task(requests("e1")[0].submission());
  size_t queued = 0;
  for (const char* host : {"e1", "e2"}) {
    for (const wire::run_request& request : requests(host))
      queued += request.returnable() ? 0 : 1;
  }
  EXPECT_EQ(queued, 1U);
}

TEST_F(intake_fixture, an_unknown_route_and_a_missing_configuration) {
  caller_call call;
  call.host = "h";
  call.path = "/none/x";
  call.job = make_job(1, 100);
  receive_call(state, call, now, out);
  EXPECT_EQ(out.answers.at(0).outcome, caller_outcome::no_route);
  state.routes.reset();
  receive_call(state, call, now, out);
  EXPECT_EQ(out.answers.at(1).outcome, caller_outcome::refused);
}

TEST_F(intake_fixture, a_draining_process_refuses_late_calls) {
  state.answer_by_ms = now - 1;
  submit(1, "a", make_job(1, 100));
  EXPECT_EQ(out.answers.at(0).outcome, caller_outcome::refused);
  EXPECT_TRUE(out.messages.empty());
}

// Callers on open connections are served while there is time for their job, and
// all have an answer when the process ends.
TEST_F(intake_fixture,
       a_draining_process_serves_jobs_that_end_before_its_exit) {
  state.answer_by_ms = now + 1000;
  submit(1, "long", make_job(1, 900));
  ASSERT_EQ(out.answers.size(), 1U);
  EXPECT_EQ(out.answers[0].outcome, caller_outcome::refused);
  submit(2, "short", make_job(1, 100));
  submit(3, "stuck", make_job(1, 100));
  ASSERT_EQ(out.answers.size(), 1U);
  report(requests("e1").at(0).submission(), 0, wire::RUN_DONE);
  ASSERT_EQ(out.answers.size(), 2U);
  EXPECT_EQ(out.answers[1].outcome, caller_outcome::completed);
  now += 1000;
  report_capacity("kranj", 1, {4000});
  tick_intake(state, now, out);
  ASSERT_EQ(out.answers.size(), 3U);
  EXPECT_EQ(out.answers[2].exchange, 3U);
  EXPECT_EQ(out.answers[2].outcome, caller_outcome::given_up);
}

// Load: queues longer than the caller waits. The caller is refused at once,
// with the time at which the queue will be done.
TEST_F(intake_fixture, a_job_that_would_wait_too_long_is_refused_on_arrival) {
  for (const char* zone : {"kranj", "vic"}) {
    wire::pool_state update;
    update.set_pool(zone);
    update.set_token(zone == std::string("kranj") ? 1 : 2);
    wire::service_room& room = *update.add_services();
    room.set_service("fit-desk");
    room.set_total_cpu_milli(4000);
    wire::queued_work& queued = *room.add_queued();
    queued.set_cpu_milli_ms(int64_t{4000} * 2500);
    receive_pool_state(state, update, now, out);
  }
  submit(1, "a", make_job(1, 100), 2000);
  ASSERT_EQ(out.answers.size(), 1U);
  EXPECT_EQ(out.answers[0].outcome, caller_outcome::refused);
  EXPECT_EQ(out.answers[0].retry_after_ms, 2500);
  EXPECT_TRUE(requests("e1").empty());
  // A caller that waits longer is served.
  submit(2, "b", make_job(1, 100), 5000);
  EXPECT_EQ(out.answers.size(), 1U);
}

// A result that was sent before a request was repeated refers only to the first
// request: the owner may have started the task since.
TEST_F(intake_fixture, a_resent_request_is_not_answered_as_refused) {
  submit(1, "a", make_job(1, 100), 5000);
  uint64_t submission = requests("e1").at(0).submission();
  wire::pool_state update;
  update.set_pool("kranj");
  update.set_token(1);
  update.set_requests_lost(true);
  receive_pool_state(state, update, now, out);
  report(submission, 0, wire::RUN_EXPIRED, false);
  ASSERT_EQ(out.answers.size(), 1U);
  EXPECT_EQ(out.answers[0].outcome, caller_outcome::given_up);
}

TEST(pool_choice, fragments_smaller_than_the_task_are_not_used) {
  pool_capacities rooms;
  rooms["own"].free_cpu_milli = {600, 600, 600};
  rooms["own"].total_cpu_milli = 3000;
  rooms["other"].free_cpu_milli = {1000};
  rooms["other"].total_cpu_milli = 3000;
  pool_plan plan = choose_pools(rooms, {1000, 100}, 1);
  EXPECT_EQ(plan.pools, std::vector<std::string>{"other"});
  EXPECT_EQ(plan.wait_ms, 0);
}

TEST(pool_choice, without_free_capacity_the_shortest_queue_is_taken) {
  pool_capacities rooms;
  rooms["own"] = {{}, {{0, 500'000}}, 1000, false, pool_distance::own_zone};
  rooms["other"] = {{}, {{0, 100'000}}, 1000, false};
  pool_plan plan = choose_pools(rooms, {1000, 200}, 3);
  // The queue of `other` takes 100 ms, with the first task 300 ms, and with the
  // second one 500 ms, as long as that of `own`.
  EXPECT_EQ(plan.pools, (std::vector<std::string>{"other", "other", "own"}));
  EXPECT_EQ(plan.wait_ms, 500);
  plan = choose_pools(rooms, {1000, 200}, 1);
  EXPECT_EQ(plan.pools, std::vector<std::string>{"other"});
}

TEST(pool_choice, only_work_of_equal_or_higher_priority_delays_a_task) {
  pool_capacities rooms;
  rooms["own"] = {{}, {{0, 100'000}, {1, 700'000}}, 1000, true};
  EXPECT_EQ(choose_pools(rooms, {1000, 10, 0}, 1).wait_ms, 100);
  pool_plan behind = choose_pools(rooms, {1000, 10, 1}, 1);
  EXPECT_EQ(behind.wait_ms, 810);
  EXPECT_TRUE(behind.overloaded);
}

TEST(pool_choice, the_nearest_pool_with_capacity_is_taken) {
  pool_capacities rooms;
  rooms["far"] = {{9000}, {}, 9000, false, pool_distance::other_zone};
  rooms["near"] = {{2000}, {}, 9000, false, pool_distance::own_zone};
  rooms["nearer"] = {{1000}, {}, 9000, false, pool_distance::own_host};
  pool_plan plan = choose_pools(rooms, {1000, 100}, 5);
  EXPECT_EQ(plan.pools,
            (std::vector<std::string>{"nearer", "near", "near", "far", "far"}));
  EXPECT_EQ(plan.wait_ms, 0);
}

// Makes grants for `shards` shards in each of two zones; host i owns shard i.
std::map<std::string, wire::owner_grant> make_grants(uint32_t shards) {
  std::map<std::string, wire::owner_grant> grants;
  for (const char* zone : {"kranj", "vic"}) {
    for (uint32_t shard = 0; shard < shards; ++shard) {
      wire::owner_grant grant;
      grant.set_zone(zone);
      grant.set_host(fmt::format("{}-host-{}", zone, shard));
      grant.set_shard(shard);
      grant.set_shards(shards);
      grants[pool_name(grant)] = grant;
    }
  }
  return grants;
}

TEST(neighbours, all_pools_of_a_small_deployment) {
  EXPECT_EQ(choose_neighbours(make_grants(1), "kranj", "kranj-host-0"),
            (std::set<std::string>{"kranj", "vic"}));
}

// The number of hellos of a host must not grow with the deployment, and no pool
// may be left without neighbours.
TEST(neighbours, a_large_deployment_uses_a_few_pools_evenly) {
  std::map<std::string, wire::owner_grant> grants = make_grants(20);
  std::map<std::string, int> contacted_by;
  for (uint32_t host = 0; host < 20; ++host) {
    std::set<std::string> chosen =
        choose_neighbours(grants, "kranj", fmt::format("kranj-host-{}", host));
    EXPECT_EQ(chosen.size(), 1 + ZONE_NEIGHBOURS + 1);
    EXPECT_TRUE(chosen.contains(fmt::format("kranj/{}", host)));
    for (const std::string& name : chosen)
      ++contacted_by[name];
  }
  EXPECT_EQ(contacted_by.size(), 40U);
  for (const auto& [name, hosts] : contacted_by)
    EXPECT_EQ(hosts, name.starts_with("kranj") ? 1 + ZONE_NEIGHBOURS : 1)
        << name;
}

TEST(neighbours, a_host_without_a_shard_has_neighbours_too) {
  EXPECT_EQ(choose_neighbours(make_grants(20), "kranj", "spare").size(),
            1 + ZONE_NEIGHBOURS + 1);
}

TEST(pool_choice, no_known_pools_give_an_empty_plan) {
  pool_capacities rooms;
  EXPECT_TRUE(choose_pools(rooms, {1000, 100}, 2).pools.empty());
}

TEST(route_table, the_longest_prefix_of_the_host_wins) {
  route_table table;
  route longer;
  longer.host = "h";
  longer.path_prefix = "/a/b/";
  route shorter;
  shorter.host = "h";
  shorter.path_prefix = "/a/";
  table.routes = {shorter, longer};
  EXPECT_EQ(find_route(table, "h", "/a/b/x")->path_prefix, "/a/b/");
  EXPECT_EQ(find_route(table, "h", "/a/x")->path_prefix, "/a/");
  EXPECT_EQ(find_route(table, "g", "/a/x"), nullptr);
}

}  // namespace
}  // namespace cyclamenwood
