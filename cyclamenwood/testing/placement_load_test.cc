// Load on the shards of one zone, without faults: what callers get when jobs
// arrive unevenly and each entry host knows the capacity of the other shards
// only from hellos that are up to 100 ms old.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cyclamenwood/host_entry.h"
#include "cyclamenwood/pool_name.h"
#include "cyclamenwood/testing/fake_upstream.h"

namespace cyclamenwood {
namespace {

constexpr uint32_t SHARDS = 6;
constexpr uint32_t UPSTREAMS_PER_SHARD = 4;
constexpr uint32_t UPSTREAM_CPU_MILLI = 2000;
// Tasks of 1,000 thousandths of a core that run at a time.
constexpr double SLOTS = double{SHARDS} * UPSTREAMS_PER_SHARD * 2;
constexpr int64_t TARGET_MS = 60;
constexpr double SLACK_FACTOR = 1.6;
constexpr int64_t CALLER_WAIT_MS = 1500;

result<route_table> read_one_route(std::string_view /*content*/) {
  route queue;
  queue.name = "q";
  queue.host = "h";
  queue.path_prefix = "/q/";
  queue.service = "fit-desk";
  queue.max_attempts = 2;
  queue.target_latency_ms = TARGET_MS;
  queue.slack_factor = SLACK_FACTOR;
  route_table table;
  table.version = 1;
  table.routes = {queue};
  return table;
}

// Many short, narrow jobs, some wide ones, and a few that are much longer: the
// mix of the large deployments. `share` is that of the jobs.
struct job_class {
  double share = 0;
  uint32_t tasks = 0;
  int64_t run_ms = 0;
};

constexpr std::array<job_class, 3> CLASSES = {
    {{0.25, 8, 60}, {0.05, 4, 900}, {0.70, 2, 200}}};

// Capacity of an upstream's slot times time that a job needs on average.
constexpr double mean_work_ms() {
  double work = 0;
  for (const job_class& kind : CLASSES)
    work += kind.share * kind.tasks * static_cast<double>(kind.run_ms);
  return work;
}

// The entry hosts of a zone, each the owner of one shard, and their upstreams.
// Messages and orders take 1 ms.
class zone_under_load {
 public:
  // With `keep_returnable` off, owners never see that tasks may be returned.
  zone_under_load(uint64_t seed, bool keep_returnable)
      : random_(seed), keep_returnable_(keep_returnable) {
    for (uint32_t shard = 0; shard < SHARDS; ++shard)
      add_host(shard);
    for (uint32_t shard = 0; shard < SHARDS; ++shard)
      introduce(host_name(shard));
  }

  // Submits jobs for `span_ms` that need `load` of the capacity, and waits
  // until all callers are answered.
  void play(int64_t span_ms, double load) {
    for (unix_ms end = now_ + 500; now_ < end;)
      step();
    for (unix_ms end = now_ + span_ms; now_ < end;) {
      due_work_ms_ += load * SLOTS;
      while (due_work_ms_ > 0)
        submit();
      step();
    }
    for (unix_ms end = now_ + 2 * CALLER_WAIT_MS; now_ < end;)
      step();
  }

  // The share of the jobs that completed within their objective.
  double in_time() const {
    return static_cast<double>(in_time_jobs_) /
           static_cast<double>(next_exchange_ - 1);
  }
  size_t unanswered() const { return calls_.size(); }
  bool ran_twice() const { return ran_twice_; }

 private:
  struct delayed_order {
    unix_ms at_ms = 0;
    unix_ms sent_ms = 0;
    std::string from;
    run_order order;
  };
  struct open_call {
    unix_ms sent_ms = 0;
    int64_t run_ms = 0;
  };

  static uint64_t incarnation_of(uint32_t shard) {
    return (uint64_t{shard} + 1) * 1'000'000;
  }

  static std::string host_name(uint32_t shard) {
    return fmt::format("e{}", shard);
  }

  int64_t between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }

  void add_host(uint32_t shard) {
    host_settings settings;
    settings.name = host_name(shard);
    settings.rpc = host_name(shard);
    settings.zone = "kranj";
    hosts_[host_name(shard)] =
        make_host_entry(settings, incarnation_of(shard), &read_one_route);
    uint32_t found = 0;
    for (uint32_t i = 0; found < UPSTREAMS_PER_SHARD; ++i) {
      std::string id = fmt::format("u{}", i);
      if (shard_of(id, SHARDS) != shard)
        continue;
      upstreams_.emplace_back(id, "kranj", UPSTREAM_CPU_MILLI, 0, 0);
      upstreams_.back().run_ms_of = [this](const std::string& task) {
        uint64_t exchange =
            std::stoull(task.substr(0, task.find('.')), nullptr, 16);
        return run_ms_.at(exchange);
      };
      ++found;
    }
  }

  void introduce(const std::string& to) {
    wire::envelope envelope;
    envelope.set_from("control");
    wire::control_news& news = *envelope.mutable_control_news();
    news.mutable_latest()->set_version(1);
    for (uint32_t shard = 0; shard < SHARDS; ++shard) {
      wire::owner_grant& grant = *news.add_grants();
      grant.set_zone("kranj");
      grant.set_shard(shard);
      grant.set_shards(SHARDS);
      grant.set_host(host_name(shard));
      grant.set_incarnation(incarnation_of(shard));
      grant.set_token(shard + 1);
    }
    for (const fake_upstream& upstream : upstreams_)
      *news.add_upstreams() = upstream.info();
    dispatch(to, host_received{now_, envelope});
  }

  const job_class& draw_class() {
    double drawn = std::uniform_real_distribution<>(0, 1)(random_);
    for (const job_class& kind : CLASSES) {
      if (drawn < kind.share)
        return kind;
      drawn -= kind.share;
    }
    return CLASSES.back();
  }

  // Half of the jobs arrive at one third of the hosts.
  void submit() {
    const job_class& kind = draw_class();
    due_work_ms_ -= mean_work_ms();
    uint64_t exchange = next_exchange_++;
    run_ms_[exchange] = kind.run_ms;
    calls_[exchange] = {now_, kind.run_ms};
    job_spec job;
    job.spec = "s";
    job.best_effort = true;
    step_spec step;
    step.count = kind.tasks;
    step.need.set_cpu_milli(1000);
    step.estimate_ms = kind.run_ms;
    job.steps = {step};
    caller_call call;
    call.exchange = exchange;
    call.host = "h";
    call.path = fmt::format("/q/{:016x}", exchange);
    call.wait_ms = CALLER_WAIT_MS;
    call.job = std::move(job);
    auto last = between(0, 1) == 0 ? SHARDS / 3 : SHARDS;
    dispatch(host_name(static_cast<uint32_t>(between(0, last - 1))),
             host_call{now_, call});
  }

  void step() {
    ++now_;
    for (auto& [to, envelope] : std::exchange(messages_, {}))
      dispatch(to, host_received{now_, envelope});
    for (delayed_order& delayed : std::exchange(orders_, {})) {
      if (now_ < delayed.at_ms)
        orders_.push_back(std::move(delayed));
      else
        carry_out(delayed);
    }
    if (now_ % 20 == 0) {
      for (auto& [name, host] : hosts_)
        dispatch(name, host_tick{now_});
    }
    check();
  }

  void carry_out(const delayed_order& delayed) {
    for (fake_upstream& upstream : upstreams_) {
      if (upstream.info().id() != delayed.order.upstream)
        continue;
      upstream.advance(now_);
      order_reply reply = upstream.carry_out(delayed.order, now_);
      bool waits = delayed.order.kind == order_kind::renewal &&
                   reply.ended.empty() &&
                   now_ < delayed.sent_ms + delayed.order.wait_ms;
      if (waits)
        orders_.push_back(delayed);
      else
        dispatch(delayed.from,
                 host_order_replied{now_, delayed.order.id, reply});
      return;
    }
  }

  void check() {
    std::map<std::string, int> running;
    for (fake_upstream& upstream : upstreams_) {
      upstream.advance(now_);
      for (const auto& [task, run] : upstream.runs())
        ran_twice_ = ++running[task] > 1 || ran_twice_;
    }
  }

  void dispatch(const std::string& to, const host_event& event) {
    for (host_effect& effect : reduce(hosts_.at(to), event)) {
      if (auto* sent = std::get_if<host_send>(&effect))
        send(*sent);
      else if (auto* order = std::get_if<run_order>(&effect))
        orders_.push_back({now_ + 1, now_, to, std::move(*order)});
      else if (auto* answer = std::get_if<caller_answer>(&effect))
        take_answer(*answer);
    }
  }

  void send(host_send& sent) {
    if (!hosts_.contains(sent.host))
      return;
    if (!keep_returnable_ && sent.envelope.has_run_request())
      sent.envelope.mutable_run_request()->clear_returnable();
    messages_.emplace_back(sent.host, std::move(sent.envelope));
  }

  void take_answer(const caller_answer& answer) {
    auto call = calls_.find(answer.exchange);
    double objective_ms =
        TARGET_MS + SLACK_FACTOR * static_cast<double>(call->second.run_ms);
    bool in_time =
        answer.outcome == caller_outcome::completed &&
        static_cast<double>(now_ - call->second.sent_ms) <= objective_ms;
    in_time_jobs_ += in_time ? 1 : 0;
    calls_.erase(call);
  }

  std::mt19937_64 random_;
  bool keep_returnable_;
  unix_ms now_ = 1'000'000;
  std::map<std::string, host_entry> hosts_;
  std::deque<fake_upstream> upstreams_;
  std::vector<std::pair<std::string, wire::envelope>> messages_;
  std::vector<delayed_order> orders_;
  std::map<uint64_t, open_call> calls_;
  uint64_t next_exchange_ = 1;
  std::map<uint64_t, int64_t> run_ms_;
  double due_work_ms_ = 0;
  size_t in_time_jobs_ = 0;
  bool ran_twice_ = false;
};

// Wanted of the large deployment's calm load: 0.95 served in time.
TEST(placement_load, at_three_quarters_of_the_capacity_callers_are_served) {
  for (uint64_t seed : {1, 2, 3}) {
    zone_under_load zone(seed, true);
    zone.play(6'000, 0.75);
    EXPECT_GE(zone.in_time(), 0.95) << seed;
    EXPECT_EQ(zone.unanswered(), 0U) << seed;
    EXPECT_FALSE(zone.ran_twice()) << seed;
  }
}

// The same arrivals, with tasks that stay in the queue of the pool that was
// chosen from an outdated state.
TEST(placement_load, returned_tasks_serve_more_callers_than_queued_ones) {
  for (uint64_t seed : {1, 2, 3}) {
    zone_under_load returning(seed, true);
    zone_under_load queueing(seed, false);
    returning.play(6'000, 0.85);
    queueing.play(6'000, 0.85);
    EXPECT_GT(returning.in_time(), queueing.in_time()) << seed;
    RecordProperty(
        fmt::format("in_time_{}", seed),
        fmt::format("{:.3f} {:.3f}", returning.in_time(), queueing.in_time()));
  }
}

}  // namespace
}  // namespace cyclamenwood
