// Time advances in steps of STEP_MS. In each, faults are injected, calls made,
// due messages and orders delivered, hosts run, and the invariants checked. All
// random choices come from one generator that the seed initializes.
#include "cyclamenwood/testing/host_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {
namespace {

constexpr int64_t STEP_MS = 5;
// Callers without an answer submit their job again after this time.
constexpr int64_t RESEND_MS = 1'300;
constexpr uint32_t TASK_CPU_MILLI = 1000;
constexpr uint32_t UPSTREAM_CPU_MILLI = 2000;
// A task that has crashed three upstreams may be started twice more.
constexpr int MAX_CRASHES_OF_A_TASK = 5;
// Interval of the announcements of an upstream.
constexpr int64_t ANNOUNCEMENT_INTERVAL_MS = 250;
// A host that was suspended or restarted has heard of everything after this.
constexpr int64_t CONTACT_MS = 1'000;
// An owner knows of a smaller capacity after this time: two announcements, of
// which the first is late, and the news of the replica.
constexpr int64_t CAPACITY_KNOWN_MS = 1'500;
constexpr uint64_t INCARNATION_STEP = 1'000'000;
// The sender of the news of the control log.
constexpr const char* CONTROL = "control";

result<route_table> read_one_route(std::string_view /*content*/) {
  route_table table;
  table.version = 1;
  route queue;
  queue.name = "q";
  queue.host = "h";
  queue.path_prefix = "/q/";
  queue.service = "fit-desk";
  queue.max_attempts = 3;
  queue.target_latency_ms = 60;
  queue.slack_factor = 1.6;
  table.routes = {queue};
  return table;
}

}  // namespace

host_model::host_model(uint64_t seed, const host_model_options& options)
    : random_(seed), options_(options) {
  if (seed % 2 == 0)
    owner_policy_ = {.min_upstreams_to_split = 1, .min_upstreams_per_shard = 1};
  for (const char* zone : {"kranj", "vic"}) {
    for (int i = 1; i <= 2; ++i) {
      std::string name = fmt::format("{}-{}", zone, i);
      host& added = hosts_[name];
      added.name = name;
      added.zone = zone;
      start_host(added);
    }
    for (int i = 1; i <= 3; ++i)
      upstreams_.emplace_back(fmt::format("u-{}-{}", zone, i), zone,
                              UPSTREAM_CPU_MILLI, between(0, 1'000'000),
                              between(30, options_.max_run_ms));
  }
  if (options_.changing_capacity)
    replicas_ = {{"replica-1", {}, {}}, {"replica-2", {}, {}}};
  for (fake_upstream& upstream : upstreams_) {
    upstream.restarts_clock = options_.restarting_clocks;
    if (options_.slow_clocks > 0)
      upstream.clock_rate = 1 - std::uniform_real_distribution<>(
                                    0, options_.slow_clocks)(random_);
  }
  if (options_.crashing_jobs <= 0)
    return;
  for (fake_upstream& upstream : upstreams_) {
    upstream.crashes_on = [this](const std::string& task) {
      return crashing_tasks_.contains(task);
    };
    upstream.down_ms = between(300, 1500);
  }
}

bool host_model::chance(double share) {
  return std::uniform_real_distribution<>(0, 1)(random_) < share;
}

int64_t host_model::between(int64_t low, int64_t high) {
  return std::uniform_int_distribution<int64_t>(low, high)(random_);
}

void host_model::fail(const std::string& what) {
  if (!violation_)
    violation_ = fmt::format("at {} ms: {}", now_ - 1'000'000, what);
}

size_t host_model::open_jobs() const {
  return std::count_if(jobs_.begin(), jobs_.end(),
                       [](const caller_job& job) { return !job.finished; });
}

fake_upstream* host_model::find_upstream(const std::string& id) {
  for (fake_upstream& upstream : upstreams_) {
    if (upstream.info().id() == id)
      return &upstream;
  }
  return nullptr;
}

void host_model::start_host(host& host) {
  host_settings settings;
  settings.name = host.name;
  settings.rpc = host.name;
  settings.zone = host.zone;
  settings.seeds = {CONTROL};
  next_incarnation_ += INCARNATION_STEP;
  host.state = make_host_entry(settings, next_incarnation_, &read_one_route);
  host.inbox.clear();
  host.closed.clear();
}

void host_model::crash(host& host) {
  trace(fmt::format("{} ends", host.name));
  ++counts_.crashes;
  host.state.reset();
  host.restart_at_ms = now_ + between(50, 2500);
  host.exit_by_ms = INT64_MAX;
  for (caller_job& job : jobs_) {
    if (job.at == host.name && !job.finished)
      stop_waiting(job);
  }
}

// The caller has no result, and submits the job again after a while.
void host_model::stop_waiting(caller_job& job) {
  job.at.clear();
  job.only_refused = false;
  job.resend_ms = now_ + RESEND_MS;
  job.runs_until_ms = now_ + RESEND_MS;
  job.leaves_ms = INT64_MAX;
}

bool host_model::has_runs(const caller_job& job) {
  return std::any_of(upstreams_.begin(), upstreams_.end(), [&](auto& upstream) {
    upstream.advance(now_);
    auto first = upstream.runs().lower_bound(job.id);
    return first != upstream.runs().end() && first->first.starts_with(job.id);
  });
}

void host_model::inject_faults() {
  for (auto& [name, host] : hosts_) {
    if (host.state && chance(0.0008))
      crash(host);
    if (host.state && host.suspended_until_ms < now_ && chance(0.0008)) {
      ++counts_.suspensions;
      host.suspended_until_ms = now_ + between(50, 3000);
      trace(fmt::format("{} is suspended for {} ms", name,
                        host.suspended_until_ms - now_));
    }
  }
  for (fake_upstream& upstream : upstreams_) {
    const std::string& id = upstream.info().id();
    if (unreachable_upstreams_.contains(id)) {
      if (chance(0.004))
        unreachable_upstreams_.erase(id);
    } else if (chance(0.0008)) {
      unreachable_upstreams_.insert(id);
    }
    if (chance(0.0003))
      upstream.restart(now_);
  }
}

void host_model::change_capacities() {
  for (fake_upstream& upstream : upstreams_) {
    uint32_t former = upstream.info().capacity().cpu_milli();
    uint32_t next = former;
    if (!faulty_)
      next = UPSTREAM_CPU_MILLI;
    else if (chance(0.004))
      next = static_cast<uint32_t>(between(0, 2)) * TASK_CPU_MILLI;
    if (next == former)
      continue;
    past_capacities_[upstream.info().id()][now_] = former;
    upstream.set_capacity(next);
  }
}

void host_model::announce_upstreams() {
  for (fake_upstream& upstream : upstreams_) {
    const std::string& id = upstream.info().id();
    if (now_ % ANNOUNCEMENT_INTERVAL_MS != 0 || now_ < hidden_until_[id])
      continue;
    if (chance(0.3))
      announces_to_[id] = between(0, 1);
    upstream.set_capacity(upstream.info().capacity().cpu_milli());
    int64_t delay_ms = faulty_ && chance(0.2) ? between(0, 600) : 0;
    announcements_.push_back(
        {now_ + delay_ms, announces_to_[id], upstream.info()});
  }
  std::erase_if(announcements_, [this](const delayed_announcement& sent) {
    if (sent.at_ms > now_)
      return false;
    receive_announcement(replicas_[sent.replica].directory, sent.upstream,
                         now_);
    return true;
  });
}

void host_model::submit(caller_job& job) {
  std::vector<std::string> up;
  for (const auto& [name, host] : hosts_) {
    if (host.state && host.zone == job.zone && !host.state->draining)
      up.push_back(name);
  }
  job.resend_ms = now_ + RESEND_MS;
  if (up.empty())
    return;
  job.at = up[between(0, static_cast<int64_t>(up.size()) - 1)];
  job.exchange = next_exchange_++;
  job.runs_until_ms = INT64_MAX;
  if (options_.leaving_callers > 0 && faulty_ &&
      chance(options_.leaving_callers))
    job.leaves_ms = now_ + between(20, 2000);
  trace(fmt::format("job {} is submitted at {}", job.id, job.at));
  host_call call;
  call.now = now_;
  call.call.exchange = job.exchange;
  call.call.host = "h";
  call.call.path = "/q/" + job.id;
  call.call.wait_ms = std::max<int64_t>(job.deadline_ms - now_, 1);
  job_spec spec;
  spec.spec = "s";
  spec.best_effort = true;
  step_spec step;
  step.count = job.tasks;
  step.need.set_cpu_milli(TASK_CPU_MILLI);
  step.estimate_ms = between(20, 600);
  spec.steps = {step};
  call.call.job = std::move(spec);
  hosts_[job.at].inbox.emplace_back(call);
}

void host_model::submit_calls() {
  bool more = jobs_.size() < 400 && chance(0.06) && faulty_;
  if (more) {
    caller_job& added = jobs_.emplace_back();
    added.id = fmt::format("{:016x}", jobs_.size());
    added.zone = chance(0.5) ? "kranj" : "vic";
    added.tasks = static_cast<uint32_t>(between(1, 5));
    added.deadline_ms = now_ + between(1500, 6000);
    added.crashes_upstreams =
        options_.crashing_jobs > 0 && chance(options_.crashing_jobs);
    if (added.crashes_upstreams)
      crashing_tasks_.insert(added.id + ".0.0.0");
    submit(added);
  }
  for (caller_job& job : jobs_) {
    if (job.finished)
      continue;
    if (now_ >= job.deadline_ms || now_ >= job.leaves_ms) {
      job.finished = now_ >= job.deadline_ms;
      leave(job);
      continue;
    }
    if (job.at.empty() && now_ >= job.resend_ms) {
      if (has_runs(job))
        fail(fmt::format("job {} runs when it is submitted again", job.id));
      ++counts_.resends;
      submit(job);
    }
  }
}

void host_model::execute(host& /*from*/, const caller_answer& answer) {
  for (caller_job& job : jobs_) {
    if (job.exchange != answer.exchange || job.finished)
      continue;
    trace(fmt::format("job {} is answered: {}", job.id,
                      to_string(answer.outcome)));
    job.at.clear();
    job.leaves_ms = INT64_MAX;
    if (answer.outcome == caller_outcome::completed) {
      ++counts_.completed;
      job.finished = true;
    } else if (answer.outcome == caller_outcome::refused) {
      ++counts_.refused;
      job.finished = true;
      job.refused = true;
      if (job.only_refused && job.ran)
        fail(fmt::format("job {} was refused but had run", job.id));
    } else {
      stop_waiting(job);
    }
    return;
  }
}

void host_model::execute(host& from, const run_order& order) {
  check_start_order(from, order);
  delayed_order delayed;
  delayed.from = from.name;
  delayed.incarnation = from.state->incarnation;
  delayed.order = order;
  delayed.sent_ms = now_;
  delayed.at_ms = now_ + between(0, 2) * STEP_MS;
  if (options_.late_orders > 0 && faulty_ && chance(options_.late_orders))
    delay_order(delayed, 2'000, 12'000);
  else if (faulty_ && order.kind != order_kind::renewal && chance(0.04))
    delay_order(delayed, 100, 4'000);
  orders_.push_back(std::move(delayed));
}

// No reply arrives: the sender gives up at the order's time-out.
void host_model::delay_order(delayed_order& delayed,
                             int64_t low_ms,
                             int64_t high_ms) {
  ++counts_.late_orders;
  delayed.reply_lost = true;
  delayed.at_ms = now_ + between(low_ms, high_ms);
  delayed_order given_up = delayed;
  given_up.is_timeout = true;
  given_up.at_ms = delayed.order.reply_deadline_ms;
  orders_.push_back(std::move(given_up));
}

void host_model::execute(host& from, const host_send& sent) {
  if (is_cut(from.name, sent.envelope.has_entry_hello() ? CONTROL : sent.host))
    return;
  if (sent.envelope.has_entry_hello()) {
    known_entry_host& known = entry_hosts_[from.name];
    if (known.incarnation != sent.envelope.incarnation())
      known.first_contact_ms = now_;
    known.incarnation = sent.envelope.incarnation();
    known.zone = from.zone;
    known.draining = sent.envelope.entry_hello().draining();
    known.upstreams = sent.envelope.entry_hello().upstreams();
    known.last_contact_ms = now_;
    return;
  }
  if (faulty_ && chance(0.01))
    return;
  messages_.push_back(
      {now_ + between(0, 2) * STEP_MS, sent.host, sent.envelope});
}

void host_model::execute(host& from, const log_event& note) {
  trace(fmt::format("{}: {} {}", from.name, note.event, note.details));
  if (note.event != "ownership_taken")
    return;
  ++counts_.takeovers;
  bool of_shard = note.details.find('/') != std::string::npos;
  counts_.shard_takeovers += of_shard ? 1 : 0;
}

void host_model::execute(host& from, const host_effect& effect) {
  std::visit([&](const auto& kind) { this->execute(from, kind); }, effect);
}

void host_model::dispatch_event(host& host, const host_event& event) {
  record_told(host, event);
  for (const host_effect& effect : reduce(*host.state, event))
    execute(host, effect);
}

void host_model::restart_host(host& host) {
  start_host(host);
  trace(fmt::format("{} starts", host.name));
  if (options_.fault_series && faulty_ && chance(0.3))
    host.crash_at_ms = now_ + between(5, 400);
}

// Events get the time at which the host reads them, as in the daemon.
void host_model::run_host(host& host) {
  if (!host.state && now_ >= host.restart_at_ms)
    restart_host(host);
  if (!host.state)
    return;
  if (now_ < host.suspended_until_ms) {
    host.was_suspended = true;
    return;
  }
  if (std::exchange(host.was_suspended, false) && options_.leaving_callers > 0)
    dispatch_event(host, host_tick{now_});
  std::deque<host_event> inbox = std::exchange(host.inbox, {});
  for (host_event& event : std::exchange(host.closed, {}))
    inbox.push_back(std::move(event));
  for (host_event& event : inbox) {
    std::visit([this](auto& kind) { kind.now = now_; }, event);
    dispatch_event(host, event);
  }
  if (now_ % (4 * STEP_MS) == 0)
    dispatch_event(host, host_tick{now_});
  end_drained(host);
}

void host_model::deliver_order(const delayed_order& delayed) {
  auto from = hosts_.find(delayed.from);
  bool sender_alive = from != hosts_.end() && from->second.state &&
                      from->second.state->incarnation == delayed.incarnation;
  if (delayed.is_timeout) {
    if (sender_alive)
      from->second.inbox.emplace_back(
          host_order_replied{now_, delayed.order.id, {}});
    return;
  }
  fake_upstream* upstream = find_upstream(delayed.order.upstream);
  bool unreachable = unreachable_upstreams_.contains(delayed.order.upstream) ||
                     is_cut(delayed.from, delayed.order.upstream);
  if (unreachable && !delayed.reply_lost) {
    if (now_ < delayed.order.reply_deadline_ms) {
      orders_.push_back(delayed);
      orders_.back().at_ms = delayed.order.reply_deadline_ms;
    } else if (sender_alive) {
      from->second.inbox.emplace_back(
          host_order_replied{now_, delayed.order.id, {}});
    }
    return;
  }
  upstream->advance(now_);
  uint64_t incarnation = upstream->info().incarnation();
  // The connection ended with the process that held it.
  bool broken = delayed.held_by != 0 && delayed.held_by != incarnation;
  uint64_t starts_before = upstream->starts();
  order_reply reply;
  if (refuses(delayed))
    reply.outcome = order_outcome::unhealthy;
  else if (!broken)
    reply = upstream->carry_out(delayed.order, now_);
  if (upstream->starts() > starts_before)
    check_carried_out(delayed, *upstream);
  bool waits =
      delayed.order.kind == order_kind::renewal && !delayed.reply_lost &&
      reply.outcome == order_outcome::accepted && reply.ended.empty() &&
      now_ + STEP_MS < delayed.sent_ms + delayed.order.wait_ms;
  if (waits) {
    orders_.push_back(delayed);
    orders_.back().at_ms = now_ + STEP_MS;
    orders_.back().held_by = incarnation;
    return;
  }
  trace(delayed, reply);
  if (loses_reply())
    reply = {};
  if (sender_alive && !delayed.reply_lost)
    from->second.inbox.emplace_back(
        host_order_replied{now_, delayed.order.id, reply});
}

void host_model::deliver() {
  std::vector<delayed_message> messages = std::move(messages_);
  messages_.clear();
  for (delayed_message& message : messages) {
    auto to = hosts_.find(message.to);
    if (message.at_ms > now_)
      messages_.push_back(std::move(message));
    else if (to != hosts_.end() && to->second.state)
      to->second.inbox.emplace_back(host_received{now_, message.envelope});
  }
  std::vector<delayed_order> orders = std::move(orders_);
  orders_.clear();
  for (delayed_order& order : orders) {
    if (order.at_ms > now_)
      orders_.push_back(std::move(order));
    else
      deliver_order(order);
  }
}

wire::envelope host_model::make_news(const std::string& from) const {
  wire::envelope envelope;
  envelope.set_from(from);
  wire::control_news& news = *envelope.mutable_control_news();
  news.mutable_latest()->set_version(1);
  *news.mutable_grants() = control_.table.grants();
  *news.mutable_evacuations() = evacuations_;
  return envelope;
}

void host_model::send_replica_news(replica& from, const std::string& to) {
  const host& receiver = hosts_[to];
  if (!receiver.state || is_cut(CONTROL, to))
    return;
  auto& [incarnation, change] = from.sent[to];
  if (incarnation != receiver.state->incarnation)
    change = 0;
  incarnation = receiver.state->incarnation;
  wire::envelope envelope = make_news(from.name);
  add_changes(from.directory, receiver.zone, change,
              *envelope.mutable_control_news());
  change = from.directory.last_change;
  messages_.push_back({now_ + between(0, 4) * STEP_MS, to, envelope});
}

void host_model::send_news(const std::string& to) {
  for (replica& replica : replicas_)
    send_replica_news(replica, to);
  if (!replicas_.empty() || is_cut(CONTROL, to))
    return;
  wire::envelope envelope = make_news(CONTROL);
  wire::control_news& news = *envelope.mutable_control_news();
  // A replica does not know all upstreams at all times.
  for (const fake_upstream& upstream : upstreams_) {
    bool known_to_replica = !faulty_ || chance(0.5);
    bool hidden = now_ < hidden_until_[upstream.info().id()];
    if (upstream.info().zone() == hosts_[to].zone && known_to_replica &&
        !hidden)
      *news.add_upstreams() = upstream.info();
  }
  messages_.push_back({now_ + between(0, 4) * STEP_MS, to, envelope});
}

void host_model::grant_owners() {
  if (now_ < grants_at_ms_)
    return;
  grants_at_ms_ = now_ + 100;
  for (const wire::owner_grant& grant :
       choose_owners(control_, entry_hosts_, 0, now_, owner_policy_))
    apply_grant(control_, grant);
  for (const auto& [name, host] : hosts_)
    send_news(name);
}

// Compares the used capacity that a pool accounts for with the sum over its
// runs.
void host_model::check_capacity(const pool& pool) {
  for (const auto& [id, upstream] : pool.upstreams) {
    int64_t sum = 0;
    for (const auto& [task, run] : upstream.runs)
      sum += run.need.cpu_milli();
    if (sum != upstream.used.cpu_milli)
      fail(fmt::format("pool {} accounts for {} of {} used on {}", pool.name,
                       upstream.used.cpu_milli, sum, id));
  }
}

void host_model::check_capacity() {
  for (const auto& [name, host] : hosts_) {
    if (!host.state)
      continue;
    for (const auto& [pool_name, pool] : host.state->pools) {
      check_capacity(pool);
      if (options_.changing_capacity)
        check_known_capacity(host, pool);
    }
  }
}

uint32_t host_model::recent_capacity(const std::string& id) const {
  uint32_t largest = 0;
  for (const fake_upstream& upstream : upstreams_) {
    if (upstream.info().id() == id)
      largest = upstream.info().capacity().cpu_milli();
  }
  auto past = past_capacities_.find(id);
  if (past == past_capacities_.end())
    return largest;
  auto next = past->second.upper_bound(now_ - CAPACITY_KNOWN_MS);
  for (; next != past->second.end(); ++next)
    largest = std::max(largest, next->second);
  return largest;
}

// An owner that is in contact places tasks for no more than the capacity that
// the upstream has or has had a moment ago.
void host_model::check_known_capacity(const host& host, const pool& pool) {
  unix_ms calm_since_ms =
      std::max(host.suspended_until_ms, host.restart_at_ms) + CONTACT_MS;
  auto cut_off = cuts_.find({CONTROL, host.name});
  if (cut_off != cuts_.end())
    calm_since_ms = std::max(calm_since_ms, cut_off->second + CONTACT_MS);
  if (pool.token == 0 || now_ < calm_since_ms)
    return;
  for (const auto& [id, upstream] : pool.upstreams) {
    auto hidden = hidden_until_.find(id);
    if (hidden != hidden_until_.end() &&
        now_ < hidden->second + CAPACITY_KNOWN_MS)
      continue;
    uint32_t known = upstream.info.capacity().cpu_milli();
    if (may_take_work(pool, upstream, now_) && known > recent_capacity(id))
      fail(fmt::format("pool {} takes upstream {} for one of {}", pool.name, id,
                       known));
  }
}

// A task that crashes upstreams is not started again and again, whichever hosts
// start it.
void host_model::check_crashes() {
  std::map<std::string, int> crashes;
  counts_.upstream_crashes = 0;
  for (const fake_upstream& upstream : upstreams_) {
    for (const std::string& task : upstream.crashed_by()) {
      ++counts_.upstream_crashes;
      if (++crashes[task] > MAX_CRASHES_OF_A_TASK)
        fail(fmt::format("task {} has crashed {} upstreams", task,
                         crashes[task]));
    }
  }
}

void host_model::check() {
  check_capacity();
  check_crashes();
  std::map<std::string, int> running;
  for (fake_upstream& upstream : upstreams_) {
    upstream.advance(now_);
    if (upstream.used_cpu_milli() > UPSTREAM_CPU_MILLI)
      fail(fmt::format("upstream {} exceeds its capacity",
                       upstream.info().id()));
    for (const auto& [task, run] : upstream.runs()) {
      if (++running[task] > 1)
        fail(fmt::format("task {} has two runs at the same time", task));
    }
  }
  for (caller_job& job : jobs_) {
    auto first = running.lower_bound(job.id);
    bool runs = first != running.end() && first->first.starts_with(job.id);
    job.ran = job.ran || runs;
    if (runs && now_ > job.runs_until_ms)
      fail(fmt::format("job {} runs for too long after its caller left",
                       job.id));
    if (runs && job.refused && job.only_refused)
      fail(fmt::format("job {} runs after it was refused", job.id));
  }
}

void host_model::step() {
  now_ += STEP_MS;
  if (faulty_) {
    inject_faults();
    inject_further_faults();
    change_evacuations();
  }
  if (options_.changing_capacity) {
    change_capacities();
    announce_upstreams();
  }
  submit_calls();
  deliver();
  for (auto& [name, host] : hosts_)
    run_host(host);
  grant_owners();
  check();
}

void host_model::run(int64_t faulty_ms, int64_t calm_ms) {
  for (unix_ms end = now_ + faulty_ms; now_ < end && !violation_;)
    step();
  faulty_ = false;
  unreachable_upstreams_.clear();
  end_further_faults();
  for (unix_ms end = now_ + calm_ms; now_ < end && !violation_;)
    step();
}

}  // namespace cyclamenwood
