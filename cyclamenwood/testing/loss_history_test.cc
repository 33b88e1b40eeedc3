// Tests of the history of lost runs, and of its way between hosts.
#include "cyclamenwood/loss_history.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "cyclamenwood/host_entry.h"

namespace cyclamenwood {
namespace {

constexpr unix_ms NOW = 1'000'000;

wire::run_loss make_loss(const std::string& task,
                         const std::string& upstream,
                         bool crashed,
                         uint64_t incarnation = 1) {
  wire::run_loss loss;
  loss.set_task(task);
  loss.set_upstream(upstream);
  loss.set_incarnation(incarnation);
  loss.set_crashed(crashed);
  loss.set_remaining_ms(LOSS_RETENTION_MS);
  return loss;
}

TEST(loss_history, a_loss_that_is_reported_twice_counts_once) {
  loss_history history;
  EXPECT_TRUE(record_loss(history, make_loss("t", "u1", true), NOW));
  EXPECT_FALSE(record_loss(history, make_loss("t", "u1", true), NOW));
  EXPECT_FALSE(record_loss(history, make_loss("t", "u1", false), NOW));
  EXPECT_TRUE(is_suspect(history, "t"));
  EXPECT_EQ(judge_task(history, "t"), loss_verdict::none);
  EXPECT_TRUE(record_loss(history, make_loss("t", "u1", true, 2), NOW));
  EXPECT_EQ(judge_task(history, "t"), loss_verdict::crashed);
  EXPECT_FALSE(is_suspect(history, "s"));
}

TEST(loss_history, silence_counts_less_than_a_crash) {
  loss_history history;
  record_loss(history, make_loss("t", "u1", false), NOW);
  EXPECT_FALSE(is_suspect(history, "t"));
  record_loss(history, make_loss("t", "u2", false), NOW);
  EXPECT_TRUE(is_suspect(history, "t"));
  EXPECT_EQ(judge_task(history, "t"), loss_verdict::none);
  record_loss(history, make_loss("t", "u1", true), NOW);
  EXPECT_EQ(judge_task(history, "t"), loss_verdict::none);
  record_loss(history, make_loss("t", "u2", true), NOW);
  EXPECT_EQ(judge_task(history, "t"), loss_verdict::crashed);
}

TEST(loss_history,
     a_job_lost_in_silence_is_not_said_to_have_crashed_upstreams) {
  loss_history history;
  for (const char* upstream : {"u1", "u2", "u3"})
    record_loss(history, make_loss("job.0.0.0", upstream, false), NOW);
  EXPECT_EQ(judge_job(history, "job"), loss_verdict::lost);
  record_loss(history, make_loss("job.0.0.1", "u1", true), NOW);
  EXPECT_EQ(judge_job(history, "job"), loss_verdict::lost);
  record_loss(history, make_loss("job.0.0.1", "u2", true), NOW);
  EXPECT_EQ(judge_job(history, "job"), loss_verdict::crashed);
  EXPECT_EQ(judge_job(history, "jo"), loss_verdict::none);
}

TEST(loss_history, losses_expire_and_are_limited_in_number) {
  loss_history history;
  record_loss(history, make_loss("t", "u1", false), NOW);
  record_loss(history, make_loss("t", "u1", true), NOW + 10);
  expire_losses(history, NOW + LOSS_RETENTION_MS - 1);
  EXPECT_TRUE(is_suspect(history, "t"));
  expire_losses(history, NOW + LOSS_RETENTION_MS);
  EXPECT_TRUE(history.tasks.empty());
  EXPECT_TRUE(history.recent.empty());
  for (size_t i = 0; i < 2 * MAX_RETAINED_LOSSES; ++i)
    record_loss(history, make_loss("t" + std::to_string(i), "u", true), NOW);
  EXPECT_EQ(history.tasks.size(), MAX_RETAINED_LOSSES);
  EXPECT_EQ(history.recent.size(), MAX_RETAINED_LOSSES);
}

// A loss that hosts report to each other must not live longer for it.
TEST(loss_history, a_loss_passed_on_expires_with_the_first_record) {
  loss_history first;
  loss_history second;
  record_loss(first, make_loss("t", "u1", true), NOW);
  wire::pool_state state;
  add_losses_after(first, 0, NOW + 20'000, state);
  ASSERT_EQ(state.losses_size(), 1);
  record_loss(second, state.losses(0), NOW + 20'000);
  expire_losses(second, NOW + LOSS_RETENTION_MS);
  EXPECT_TRUE(second.tasks.empty());
}

TEST(loss_history, positions_lead_through_all_losses) {
  loss_history from;
  loss_history to;
  for (size_t i = 0; i < 3 * MAX_LOSSES_PER_STATE + 1; ++i)
    record_loss(from, make_loss("t" + std::to_string(i), "u", true), NOW);
  uint64_t have = 0;
  for (int message = 0; message < 4; ++message) {
    wire::pool_state state;
    add_losses_after(from, have, NOW, state);
    for (const wire::run_loss& loss : state.losses())
      record_loss(to, loss, NOW);
    have = state.losses_position();
  }
  EXPECT_EQ(to.tasks.size(), from.tasks.size());
  wire::pool_state rest;
  add_losses_after(from, have, NOW, rest);
  EXPECT_EQ(rest.losses_size(), 0);
}

RC_GTEST_PROP(loss_history,
              reports_may_arrive_in_any_order_and_repeatedly,
              (const std::vector<std::pair<uint8_t, bool>>& reports,
               uint64_t seed)) {
  loss_history in_order;
  loss_history shuffled;
  std::vector<wire::run_loss> losses;
  for (const auto& [upstream, crashed] : reports) {
    losses.push_back(
        make_loss("t", "u" + std::to_string(upstream % 4), crashed));
    record_loss(in_order, losses.back(), NOW);
  }
  std::vector<wire::run_loss> twice = losses;
  twice.insert(twice.end(), losses.begin(), losses.end());
  std::shuffle(twice.begin(), twice.end(), std::mt19937_64(seed));
  for (const wire::run_loss& loss : twice)
    record_loss(shuffled, loss, NOW);
  RC_ASSERT(is_suspect(in_order, "t") == is_suspect(shuffled, "t"));
  RC_ASSERT(judge_task(in_order, "t") == judge_task(shuffled, "t"));
}

result<route_table> read_one_route(std::string_view /*content*/) {
  route_table table;
  table.version = 1;
  route queue;
  queue.name = "q";
  queue.host = "h";
  queue.path_prefix = "/q/";
  queue.service = "fit-desk";
  queue.timeout_ms = 5'000;
  queue.max_attempts = 3;
  table.routes = {queue};
  return table;
}

// Two entry hosts of a zone, one of which owns its pool.
class shared_losses : public testing::Test {
 protected:
  shared_losses() : owner(make_host("owner", 1)), other(make_host("other", 2)) {
    wire::envelope news;
    news.set_from("control");
    news.mutable_control_news()->mutable_latest()->set_version(1);
    wire::owner_grant& grant = *news.mutable_control_news()->add_grants();
    grant.set_zone("kranj");
    grant.set_host("owner");
    grant.set_incarnation(1);
    grant.set_token(7);
    reduce(other, host_received{NOW, news});
    wire::upstream& upstream = *news.mutable_control_news()->add_upstreams();
    upstream.set_id("u1");
    upstream.set_service("fit-desk");
    upstream.set_zone("kranj");
    upstream.set_state(wire::UPSTREAM_READY);
    upstream.mutable_capacity()->set_cpu_milli(1000);
    exchange(owner, host_received{NOW, news});
  }

  static host_entry make_host(const std::string& name, uint64_t incarnation) {
    host_settings settings;
    settings.name = name;
    settings.rpc = name;
    settings.zone = "kranj";
    return make_host_entry(settings, incarnation, &read_one_route);
  }

  // Delivers what the hosts send each other until nothing is left, and lists of
  // the upstream on which nothing runs; returns the answers to callers.
  std::vector<caller_answer> exchange(host_entry& from,
                                      const host_event& event) {
    std::vector<caller_answer> answers;
    std::vector<std::pair<host_entry*, host_event>> waiting{{&from, event}};
    while (!waiting.empty()) {
      auto [host, next] = waiting.back();
      waiting.pop_back();
      for (const host_effect& effect : reduce(*host, next)) {
        if (const auto* answer = std::get_if<caller_answer>(&effect))
          answers.push_back(*answer);
        const auto* order = std::get_if<run_order>(&effect);
        if (order != nullptr && order->wait_ms == 0) {
          order_reply empty;
          empty.outcome = order_outcome::accepted;
          empty.clock_ms = NOW;
          waiting.emplace_back(host, host_order_replied{NOW, order->id, empty});
        }
        if (const auto* sent = std::get_if<host_send>(&effect)) {
          host_entry* to = sent->host == "owner" ? &owner : &other;
          waiting.emplace_back(to, host_received{NOW, sent->envelope});
        }
      }
    }
    return answers;
  }

  std::vector<caller_answer> submit(host_entry& to, const std::string& id) {
    host_call call;
    call.now = NOW;
    call.call.exchange = 1;
    call.call.host = "h";
    call.call.path = "/q/" + id;
    call.call.wait_ms = 5'000;
    job_spec job;
    job.best_effort = true;
    job.steps = {{.count = 1, .estimate_ms = 100}};
    call.call.job = job;
    return exchange(to, call);
  }

  host_entry owner;
  host_entry other;
};

TEST_F(shared_losses, a_job_given_up_by_one_owner_is_not_started_elsewhere) {
  record_loss(owner.callers.losses, make_loss("job.0.0.0", "u1", true), NOW);
  record_loss(owner.callers.losses, make_loss("job.0.0.0", "u2", true), NOW);
  exchange(other, host_tick{NOW});
  exchange(other, host_tick{NOW + 100});
  std::vector<caller_answer> answers = submit(other, "job");
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].outcome, caller_outcome::failed);
}

TEST_F(shared_losses, a_job_lost_in_silence_has_not_failed) {
  for (const char* upstream : {"u1", "u2", "u3"})
    record_loss(owner.callers.losses, make_loss("job.0.0.0", upstream, false),
                NOW);
  exchange(other, host_tick{NOW});
  exchange(other, host_tick{NOW + 100});
  for (host_entry* host : {&owner, &other}) {
    std::vector<caller_answer> answers = submit(*host, "job");
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].outcome, caller_outcome::given_up);
  }
}

// The entry host learns of the losses only from the owner's result.
TEST_F(shared_losses, a_job_that_its_owner_gave_up_in_silence_has_not_failed) {
  exchange(other, host_tick{NOW});
  exchange(other, host_tick{NOW + 100});
  for (const char* upstream : {"u1", "u2", "u3"})
    record_loss(owner.callers.losses, make_loss("job.0.0.0", upstream, false),
                NOW);
  std::vector<caller_answer> answers = submit(other, "job");
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].outcome, caller_outcome::given_up);
}

TEST_F(shared_losses, an_owner_adds_what_it_knows_to_a_request) {
  exchange(other, host_tick{NOW});
  exchange(other, host_tick{NOW + 100});
  record_loss(owner.callers.losses, make_loss("job.0.0.0", "u1", true), NOW);
  record_loss(owner.callers.losses, make_loss("job.0.0.0", "u2", true), NOW);
  std::vector<caller_answer> answers = submit(other, "job");
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].outcome, caller_outcome::failed);
}

TEST_F(shared_losses, a_new_owner_gets_the_losses_with_the_request) {
  record_loss(other.callers.losses, make_loss("job.0.0.0", "u1", true), NOW);
  exchange(other, host_tick{NOW});
  exchange(other, host_tick{NOW + 100});
  submit(other, "job");
  EXPECT_TRUE(is_suspect(owner.pools.at("kranj").losses, "job.0.0.0"));
}

}  // namespace
}  // namespace cyclamenwood
