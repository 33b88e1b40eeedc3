// The entry hosts of a zone under load, each the owner of one shard, with
// upstreams and callers, without faults. Messages and orders take 1 ms.
//
// `Processor` decides when a host handles its events:
//
//   zone_load<unlimited_processor> zone(seed, {});
//   zone.play(6'000, jobs_per_s);
//   EXPECT_GE(zone.counts().in_time, ...);
#ifndef CYCLAMENWOOD_TESTING_ZONE_LOAD_H_
#define CYCLAMENWOOD_TESTING_ZONE_LOAD_H_

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <compare>
#include <concepts>
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

// Many short, narrow jobs, some wide ones, and a few that are much longer: the
// mix of the large deployments. `share` is that of the jobs.
struct job_class {
  double share = 0;
  uint32_t tasks = 0;
  int64_t run_ms = 0;
};

constexpr std::array<job_class, 3> JOB_CLASSES = {
    {{0.25, 8, 60}, {0.05, 4, 900}, {0.70, 2, 200}}};

// The kinds of job by what a task takes, with tasks of mixed sizes
// (`zone_load_options::mixed_sizes`).
struct sized_class {
  double share = 0;
  uint32_t tasks = 0;
  int64_t shortest_ms = 0;
  int64_t longest_ms = 0;
  uint32_t priority = 0;
};

constexpr std::array<sized_class, 3> SIZED_CLASSES = {
    {{0.25, 8, 51, 60, 0}, {0.70, 2, 170, 200, 1}, {0.05, 4, 760, 900, 2}}};

// Sizes of tasks, in thousandths of a core: normally distributed.
constexpr double MEAN_SIZE = 8'000;
constexpr double SIZE_DEVIATION = 1'600;
constexpr double SMALLEST_SIZE = 1'000;
constexpr double LARGEST_SIZE = 12'000;
// A tenth of the sizes is above the first, three tenths above the second.
constexpr double LARGEST_TENTH_SIZE = MEAN_SIZE + 1.2816 * SIZE_DEVIATION;
constexpr double NEXT_FIFTH_SIZE = MEAN_SIZE + 0.5244 * SIZE_DEVIATION;

enum class size_group { others, next_fifth, largest_tenth };

// Processor time (thousandths of a core times ms) that a sized job needs.
constexpr double mean_sized_work() {
  double work = 0;
  for (const sized_class& kind : SIZED_CLASSES)
    work += kind.share * kind.tasks * MEAN_SIZE *
            static_cast<double>(kind.shortest_ms + kind.longest_ms) / 2;
  return work;
}

// Capacity of an upstream's slot times time that a job needs on average.
constexpr double mean_work_ms() {
  double work = 0;
  for (const job_class& kind : JOB_CLASSES)
    work += kind.share * kind.tasks * static_cast<double>(kind.run_ms);
  return work;
}

struct zone_load_options {
  uint32_t shards = 6;
  uint32_t upstreams_per_shard = 4;
  // A task needs 1,000 thousandths of a core.
  uint32_t upstream_cpu_milli = 2'000;
  // Half of the jobs arrive at one third of the hosts.
  bool uneven = true;
  // Without this, owners never see that tasks may be returned.
  bool keep_returnable = true;
  // The routes of the queues q0, q1 and so on; each gets the same share of the
  // jobs.
  std::vector<uint32_t> priorities = {0};
  // Each class of jobs has its own queue, in the order of JOB_CLASSES.
  bool queue_by_class = false;
  // The speeds of upstreams, in turn. Empty: 1.
  std::vector<double> speeds;
  // Standard deviation of the logarithm of run time over estimate, by job.
  double estimate_spread = 0;
  // One task in this many takes LONG_TASK_FACTOR times as long; 0: none.
  uint64_t long_task_interval = 0;
  bool learn_speeds = false;
  // Jobs of SIZED_CLASSES. Every third upstream is larger by half. The routes
  // are those of the classes' priorities.
  bool mixed_sizes = false;
  // The deviation of the logarithm of estimates from that of the run times.
  double estimate_error = 0;
  // The share of the runs of mixed sizes that take seven times as long.
  double long_run_share = 0;
  bool reserve_for_waiting = false;
};

constexpr int64_t LONG_TASK_FACTOR = 7;

// Jobs by their answers. `arrived` is the sum of the others and of those that
// got no answer.
struct zone_load_counts {
  size_t arrived = 0;
  size_t in_time = 0;
  size_t late = 0;
  size_t refused = 0;
  // Ended with `given_up` or `unknown`.
  size_t ended = 0;
  // Those of `ended` of which no task was started.
  size_t ended_unstarted = 0;
  // Those of `refused` of which a task was started.
  size_t refused_started = 0;
};

struct job_group {
  uint32_t priority = 0;
  size_group size = size_group::others;
  auto operator<=>(const job_group&) const = default;
};

// Handles the events of a host as they arrive.
class unlimited_processor {
 public:
  // Calls `handle(event, begin_ms, end_ms)`.
  void add(host_event event, unix_ms now, const auto& handle) {
    handle(std::move(event), now, now);
  }
  void run(unix_ms /*now*/, const auto& /*handle*/) {}
};

template <typename Processor>
class zone_load {
 public:
  static constexpr int64_t TARGET_MS = 60;
  static constexpr double SLACK_FACTOR = 1.6;
  static constexpr int64_t CALLER_WAIT_MS = 1'500;
  static constexpr int64_t TICK_INTERVAL_MS = 20;

  // Each host gets a copy of `processor`.
  zone_load(uint64_t seed,
            zone_load_options options,
            const Processor& processor = {})
      : random_(seed), options_(std::move(options)) {
    for (uint32_t shard = 0; shard < options_.shards; ++shard)
      add_host(shard, processor);
    if (options_.mixed_sizes)
      use_mixed_sizes();
    for (uint32_t shard = 0; shard < options_.shards; ++shard)
      introduce(host_name(shard));
  }

  // The hosts and upstreams refer to this object.
  zone_load(const zone_load&) = delete;
  zone_load& operator=(const zone_load&) = delete;

  // Submits jobs for `span_ms`, and waits until all callers are answered.
  void play(int64_t span_ms, double jobs_per_s) {
    rest(500);
    double due_jobs = 0;
    for (unix_ms end = now_ + span_ms; now_ < end;) {
      due_jobs += jobs_per_s / 1'000;
      for (; due_jobs > 0; --due_jobs)
        options_.mixed_sizes ? submit_sized() : submit();
      step();
    }
    rest(2 * CALLER_WAIT_MS);
  }

  void rest(int64_t span_ms) {
    for (unix_ms end = now_ + span_ms; now_ < end;)
      step();
  }

  unix_ms now() const { return now_; }
  const zone_load_counts& counts() const { return counts_; }
  // By priority of the route: the jobs that completed within their objective.
  const std::map<uint32_t, size_t>& in_time_by_priority() const {
    return in_time_by_priority_;
  }
  // Jobs of mixed sizes.
  const std::map<job_group, zone_load_counts>& groups() const {
    return groups_;
  }
  // Times between the arrival of jobs and their refusal.
  const std::vector<int64_t>& refusal_ms() const { return refusal_ms_; }
  // By the run time of the job's class.
  const std::map<int64_t, size_t>& in_time_by_class() const {
    return in_time_by_class_;
  }
  // Time of the runs that were stopped.
  int64_t discarded_ms() const {
    int64_t sum = 0;
    for (const fake_upstream& upstream : upstreams_)
      sum += upstream.stopped_run_ms();
    return sum;
  }
  // The starts and stops that were ordered, and a digest of them with their
  // times.
  size_t orders_sent() const { return orders_sent_; }
  uint64_t orders_digest() const { return orders_digest_; }
  size_t unanswered() const { return calls_.size(); }
  bool ran_twice() const { return ran_twice_; }
  Processor& processor(uint32_t shard) {
    return hosts_.at(host_name(shard)).processor;
  }

 private:
  struct host {
    host_entry state;
    Processor processor;
    unix_ms next_tick_ms = 0;
  };
  struct delayed_message {
    unix_ms at_ms = 0;
    std::string to;
    wire::envelope envelope;
  };
  struct delayed_order {
    unix_ms at_ms = 0;
    unix_ms sent_ms = 0;
    std::string from;
    run_order order;
  };
  struct open_call {
    unix_ms sent_ms = 0;
    int64_t run_ms = 0;
    int64_t estimate_ms = 0;
    uint32_t priority = 0;
    bool started = false;
    size_group size = size_group::others;
  };

  static uint64_t incarnation_of(uint32_t shard) {
    return (uint64_t{shard} + 1) * 1'000'000;
  }

  static std::string host_name(uint32_t shard) {
    return fmt::format("e{}", shard);
  }

  static uint64_t exchange_of(const std::string& task) {
    return std::stoull(task.substr(0, task.find('.')), nullptr, 16);
  }

  int64_t between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }

  route_table routes() const {
    route_table table;
    table.version = 1;
    for (size_t index = 0; index < options_.priorities.size(); ++index) {
      route queue;
      queue.name = fmt::format("q{}", index);
      queue.host = "h";
      queue.path_prefix = fmt::format("/q{}/", index);
      queue.service = "fit-desk";
      queue.priority = options_.priorities[index];
      queue.max_attempts = 2;
      queue.target_latency_ms = TARGET_MS;
      queue.slack_factor = SLACK_FACTOR;
      table.routes.push_back(queue);
    }
    return table;
  }

  void add_host(uint32_t shard, const Processor& processor) {
    host_settings settings;
    settings.name = host_name(shard);
    settings.rpc = host_name(shard);
    settings.zone = "kranj";
    settings.learn_speeds = options_.learn_speeds;
    settings.reserve_for_waiting = options_.reserve_for_waiting;
    hosts_[host_name(shard)] = {
        make_host_entry(settings, incarnation_of(shard),
                        [this](std::string_view) -> result<route_table> {
                          return routes();
                        }),
        processor, now_ + TICK_INTERVAL_MS};
    uint32_t found = 0;
    for (uint32_t i = 0; found < options_.upstreams_per_shard; ++i) {
      std::string id = fmt::format("u{}", i);
      if (shard_of(id, options_.shards) != shard)
        continue;
      upstreams_.emplace_back(id, "kranj", options_.upstream_cpu_milli, 0, 0);
      double speed =
          options_.speeds.empty()
              ? 1
              : options_.speeds.at(upstreams_.size() % options_.speeds.size());
      upstreams_.back().run_ms_of = [this, speed](const std::string& task) {
        return static_cast<int64_t>(static_cast<double>(size_ms(task)) / speed);
      };
      ++found;
    }
  }

  void use_mixed_sizes() {
    options_.priorities.clear();
    for (const sized_class& kind : SIZED_CLASSES)
      options_.priorities.push_back(kind.priority);
    size_t index = 0;
    for (fake_upstream& upstream : upstreams_) {
      upstream.cpu_of = [this](const std::string& task) {
        return cpu_milli_.at(exchange_of(task));
      };
      if (++index % 3 == 0)
        upstream.set_capacity(options_.upstream_cpu_milli * 3 / 2);
    }
  }

  void introduce(const std::string& to) {
    wire::envelope envelope;
    envelope.set_from("control");
    wire::control_news& news = *envelope.mutable_control_news();
    news.mutable_latest()->set_version(1);
    for (uint32_t shard = 0; shard < options_.shards; ++shard) {
      wire::owner_grant& grant = *news.add_grants();
      grant.set_zone("kranj");
      grant.set_shard(shard);
      grant.set_shards(options_.shards);
      grant.set_host(host_name(shard));
      grant.set_incarnation(incarnation_of(shard));
      grant.set_token(shard + 1);
    }
    for (const fake_upstream& upstream : upstreams_)
      *news.add_upstreams() = upstream.info();
    deliver(to, host_received{now_, envelope});
  }

  // The time that the task takes at speed 1; the same for each of its attempts.
  int64_t size_ms(const std::string& task) const {
    uint64_t interval = options_.long_task_interval;
    bool is_long = interval != 0 && stable_hash(task) % interval == 0;
    return run_ms_.at(exchange_of(task)) * (is_long ? LONG_TASK_FACTOR : 1);
  }

  int64_t draw_estimate(int64_t run_ms) {
    if (options_.estimate_spread <= 0)
      return run_ms;
    double drawn =
        std::lognormal_distribution<>(0, options_.estimate_spread)(random_);
    return static_cast<int64_t>(static_cast<double>(run_ms) / drawn);
  }

  const job_class& draw_class() {
    double drawn = std::uniform_real_distribution<>(0, 1)(random_);
    for (const job_class& kind : JOB_CLASSES) {
      if (drawn < kind.share)
        return kind;
      drawn -= kind.share;
    }
    return JOB_CLASSES.back();
  }

  void submit() {
    const job_class& kind = draw_class();
    uint64_t exchange = next_exchange_++;
    size_t queue = options_.queue_by_class
                       ? static_cast<size_t>(&kind - JOB_CLASSES.data())
                       : exchange % options_.priorities.size();
    int64_t estimate_ms = draw_estimate(kind.run_ms);
    run_ms_[exchange] = kind.run_ms;
    calls_[exchange] = {now_, kind.run_ms, estimate_ms,
                        options_.priorities[queue], false};
    ++counts_.arrived;
    job_spec job;
    job.spec = "s";
    job.best_effort = true;
    step_spec step;
    step.count = kind.tasks;
    step.need.set_cpu_milli(1000);
    step.estimate_ms = estimate_ms;
    job.steps = {step};
    caller_call call;
    call.exchange = exchange;
    call.host = "h";
    call.path = fmt::format("/q{}/{:016x}", queue, exchange);
    call.wait_ms = CALLER_WAIT_MS;
    call.job = std::move(job);
    bool any = !options_.uneven || between(0, 1) == 1;
    uint32_t last = any ? options_.shards : options_.shards / 3;
    deliver(host_name(static_cast<uint32_t>(between(0, last - 1))),
            host_call{now_, call});
  }

  uint32_t draw_size() {
    double size =
        std::normal_distribution<>(MEAN_SIZE, SIZE_DEVIATION)(random_);
    return static_cast<uint32_t>(std::clamp(size, SMALLEST_SIZE, LARGEST_SIZE));
  }

  size_t draw_sized_class() {
    double drawn = std::uniform_real_distribution<>(0, 1)(random_);
    for (size_t index = 0; index < SIZED_CLASSES.size(); ++index) {
      if (drawn < SIZED_CLASSES[index].share)
        return index;
      drawn -= SIZED_CLASSES[index].share;
    }
    return SIZED_CLASSES.size() - 1;
  }

  void submit_sized() {
    size_t queue = draw_sized_class();
    const sized_class& kind = SIZED_CLASSES[queue];
    uint64_t exchange = next_exchange_++;
    int64_t usual_ms = between(kind.shortest_ms, kind.longest_ms);
    double error =
        std::normal_distribution<>(0, 1)(random_) * options_.estimate_error;
    bool is_long = std::uniform_real_distribution<>(0, 1)(random_) <
                   options_.long_run_share;
    run_ms_[exchange] = is_long ? 7 * usual_ms : usual_ms;
    cpu_milli_[exchange] = draw_size();
    auto size = static_cast<double>(cpu_milli_[exchange]);
    size_group group = size > LARGEST_TENTH_SIZE ? size_group::largest_tenth
                       : size > NEXT_FIFTH_SIZE  ? size_group::next_fifth
                                                 : size_group::others;
    job_spec job;
    job.spec = "s";
    job.best_effort = true;
    step_spec step;
    step.count = kind.tasks;
    step.need.set_cpu_milli(cpu_milli_[exchange]);
    step.estimate_ms = std::max<int64_t>(
        std::llround(static_cast<double>(usual_ms) * std::exp(error)), 1);
    calls_[exchange] = {
        now_, step.estimate_ms, step.estimate_ms, kind.priority, false, group};
    ++counts_.arrived;
    ++groups_[{kind.priority, group}].arrived;
    job.steps = {step};
    caller_call call;
    call.exchange = exchange;
    call.host = "h";
    call.path = fmt::format("/q{}/{:016x}", queue, exchange);
    call.wait_ms = CALLER_WAIT_MS;
    call.job = std::move(job);
    deliver(host_name(static_cast<uint32_t>(between(0, options_.shards - 1))),
            host_call{now_, call});
  }

  void step() {
    ++now_;
    for (delayed_message& delayed : std::exchange(messages_, {})) {
      if (now_ < delayed.at_ms)
        messages_.push_back(std::move(delayed));
      else
        deliver(delayed.to, host_received{now_, std::move(delayed.envelope)});
    }
    for (delayed_order& delayed : std::exchange(orders_, {})) {
      if (now_ < delayed.at_ms)
        orders_.push_back(std::move(delayed));
      else
        carry_out(delayed);
    }
    for (auto& [name, host] : hosts_) {
      if (now_ >= host.next_tick_ms) {
        // Set again when the tick is handled.
        host.next_tick_ms = INT64_MAX;
        deliver(name, host_tick{now_});
      }
      host.processor.run(now_, handler(name));
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
        deliver(delayed.from,
                host_order_replied{now_, delayed.order.id, reply});
      if (delayed.order.kind == order_kind::start &&
          reply.outcome == order_outcome::accepted)
        mark_started(exchange_of(delayed.order.task));
      return;
    }
  }

  void mark_started(uint64_t exchange) {
    auto call = calls_.find(exchange);
    if (call != calls_.end())
      call->second.started = true;
  }

  void check() {
    std::map<std::string, int> running;
    for (fake_upstream& upstream : upstreams_) {
      upstream.advance(now_);
      for (const auto& [task, run] : upstream.runs())
        ran_twice_ = ++running[task] > 1 || ran_twice_;
    }
  }

  void deliver(const std::string& to, host_event event) {
    hosts_.at(to).processor.add(std::move(event), now_, handler(to));
  }

  auto handler(const std::string& name) {
    return [this, name](host_event event, unix_ms begin_ms, unix_ms end_ms) {
      std::visit([begin_ms](auto& kind) { kind.now = begin_ms; }, event);
      host& at = hosts_.at(name);
      if (std::holds_alternative<host_tick>(event))
        at.next_tick_ms = begin_ms + TICK_INTERVAL_MS;
      for (host_effect& effect : reduce(at.state, event)) {
        if (auto* sent = std::get_if<host_send>(&effect))
          send(*sent, end_ms);
        else if (auto* order = std::get_if<run_order>(&effect))
          send_order(name, std::move(*order), end_ms);
        else if (auto* answer = std::get_if<caller_answer>(&effect))
          take_answer(*answer, end_ms);
      }
    };
  }

  void send(host_send& sent, unix_ms now) {
    if (!hosts_.contains(sent.host))
      return;
    if (!options_.keep_returnable && sent.envelope.has_run_request())
      sent.envelope.mutable_run_request()->clear_returnable();
    messages_.push_back({now + 1, sent.host, std::move(sent.envelope)});
  }

  void send_order(const std::string& from, run_order order, unix_ms now) {
    if (order.kind != order_kind::renewal) {
      ++orders_sent_;
      orders_digest_ =
          stable_hash(fmt::format("{} {} {} {} {} {}", orders_digest_, now,
                                  static_cast<int>(order.kind), order.upstream,
                                  order.task, order.attempt));
    }
    orders_.push_back({now + 1, now, from, std::move(order)});
  }

  void take_answer(const caller_answer& answer, unix_ms now) {
    auto found = calls_.find(answer.exchange);
    open_call call = found->second;
    calls_.erase(found);
    zone_load_counts& group = groups_[{call.priority, call.size}];
    if (answer.outcome == caller_outcome::completed) {
      double objective_ms =
          TARGET_MS + SLACK_FACTOR * static_cast<double>(call.estimate_ms);
      bool in_time = static_cast<double>(now - call.sent_ms) <= objective_ms;
      ++(in_time ? counts_.in_time : counts_.late);
      ++(in_time ? group.in_time : group.late);
      in_time_by_priority_[call.priority] += in_time ? 1 : 0;
      in_time_by_class_[call.run_ms] += in_time ? 1 : 0;
    } else if (answer.outcome == caller_outcome::refused) {
      ++counts_.refused;
      ++group.refused;
      counts_.refused_started += call.started ? 1 : 0;
      refusal_ms_.push_back(now - call.sent_ms);
    } else {
      ++counts_.ended;
      ++group.ended;
      counts_.ended_unstarted += call.started ? 0 : 1;
    }
  }

  std::mt19937_64 random_;
  zone_load_options options_;
  unix_ms now_ = 1'000'000;
  std::map<std::string, host> hosts_;
  std::deque<fake_upstream> upstreams_;
  std::vector<delayed_message> messages_;
  std::vector<delayed_order> orders_;
  std::map<uint64_t, open_call> calls_;
  uint64_t next_exchange_ = 1;
  std::map<uint64_t, int64_t> run_ms_;
  std::map<uint64_t, uint32_t> cpu_milli_;
  zone_load_counts counts_;
  std::map<uint32_t, size_t> in_time_by_priority_;
  std::map<int64_t, size_t> in_time_by_class_;
  std::map<job_group, zone_load_counts> groups_;
  std::vector<int64_t> refusal_ms_;
  bool ran_twice_ = false;
  size_t orders_sent_ = 0;
  uint64_t orders_digest_ = 0;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_ZONE_LOAD_H_
