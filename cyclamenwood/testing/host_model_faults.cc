// Faults that are injected only with options, and the trace of a run. Random
// numbers are drawn only for options that are on, so that the runs without them
// stay the same.
#include <fmt/format.h>

#include <algorithm>

#include "cyclamenwood/testing/host_model.h"

namespace cyclamenwood {
namespace {

constexpr unix_ms START_MS = 1'000'000;
// The shares of steps in which a fault begins, for each host, link or upstream.
constexpr double CRASH_OF_SEVERAL = 0.0005;
constexpr double SUSPENSION_SERIES = 0.0006;
constexpr double DRAIN = 0.0004;
constexpr double HOST_CUT = 0.0004;
constexpr double UPSTREAM_CUT = 0.0008;
constexpr double UPSTREAM_HIDDEN = 0.0006;
constexpr double EVACUATION = 0.001;
constexpr double END_OF_EVACUATION = 0.002;
constexpr double LATE_EVACUATION_LIST = 0.01;
// The longest time between a start order and the end of the lease without which
// the upstream does not carry it out: the longest lease and the slowest clock.
constexpr int64_t LONGEST_START_MS = 1'100;
// Without faults, every owner has the list after this time.
constexpr int64_t LIST_KNOWN_MS = 200;
// The time between the last answers of a draining host and its end.
constexpr int64_t LAST_ANSWERS_MS = 100;

const char* name_of(order_kind kind) {
  switch (kind) {
    case order_kind::start:
      return "start";
    case order_kind::stop:
      return "stop";
    case order_kind::renewal:
      return "renewal";
  }
  return "unknown";
}

}  // namespace

void host_model::trace(const std::string& line) const {
  if (options_.trace)
    options_.trace(fmt::format("{:6} {}", now_ - START_MS, line));
}

void host_model::trace(const delayed_order& delayed,
                       const order_reply& reply) const {
  const run_order& order = delayed.order;
  if (!options_.trace)
    return;
  std::string line = fmt::format(
      "{}: {} {} attempt={} upstream={} token={} sent_ms={} lost={} "
      "incarnation={} reply={} clock={} deadline={}",
      delayed.from, name_of(order.kind), order.task, order.attempt,
      order.upstream, order.token, delayed.sent_ms - START_MS,
      delayed.reply_lost, order.incarnation, to_string(reply.outcome),
      reply.clock_ms, order.lease_deadline_ms);
  for (const listed_run& run : reply.running)
    line += " runs=" + run.task;
  trace(line);
}

bool host_model::is_cut(const std::string& from, const std::string& to) const {
  auto found = cuts_.find({from, to});
  return found != cuts_.end() && now_ < found->second;
}

void host_model::cut(const std::string& from, const std::string& to) {
  ++counts_.cuts;
  unix_ms until_ms = now_ + between(200, 3'000);
  trace(fmt::format("{} -> {} is cut until {}", from, to, until_ms - START_MS));
  cuts_[{from, to}] = until_ms;
  // Most cuts lose the messages of both directions.
  if (chance(0.7))
    cuts_[{to, from}] = until_ms;
}

std::string host_model::owner_of(const std::string& upstream) const {
  std::string owner;
  uint64_t highest_token = 0;
  for (const auto& [name, host] : hosts_) {
    if (!host.state)
      continue;
    for (const auto& [pool_name, pool] : host.state->pools) {
      if (pool.token <= highest_token || !pool.upstreams.contains(upstream))
        continue;
      owner = name;
      highest_token = pool.token;
    }
  }
  return owner;
}

void host_model::crash_several_hosts() {
  if (!chance(CRASH_OF_SEVERAL))
    return;
  for (auto& [name, host] : hosts_) {
    if (host.state && chance(0.6))
      crash(host);
  }
}

void host_model::inject_host_faults(host& host) {
  if (host.state && now_ >= host.crash_at_ms) {
    host.crash_at_ms = INT64_MAX;
    crash(host);
  }
  if (options_.fault_series && chance(SUSPENSION_SERIES))
    host.suspensions_left = static_cast<int>(between(2, 5));
  if (host.suspensions_left > 0 && now_ >= host.next_suspension_ms &&
      now_ >= host.suspended_until_ms) {
    --host.suspensions_left;
    ++counts_.suspensions;
    host.suspended_until_ms = now_ + between(300, 1'200);
    host.next_suspension_ms = host.suspended_until_ms + between(5, 400);
    trace(fmt::format("{} is suspended for {} ms", host.name,
                      host.suspended_until_ms - now_));
  }
  if (options_.draining_hosts && host.state && !host.state->draining &&
      chance(DRAIN)) {
    unix_ms answer_by_ms = now_ + between(300, 3'000);
    trace(
        fmt::format("{} drains until {}", host.name, answer_by_ms - START_MS));
    host.exit_by_ms = answer_by_ms + LAST_ANSWERS_MS;
    host.inbox.emplace_back(host_drain{now_, answer_by_ms});
  }
}

void host_model::cut_hosts() {
  for (auto from = hosts_.begin(); from != hosts_.end(); ++from) {
    for (auto to = std::next(from); to != hosts_.end(); ++to) {
      if (chance(HOST_CUT))
        cut(from->first, to->first);
      if (chance(HOST_CUT))
        cut(to->first, from->first);
    }
    if (chance(HOST_CUT))
      cut(from->first, "control");
    if (chance(HOST_CUT))
      cut("control", from->first);
  }
}

void host_model::cut_upstream(fake_upstream& upstream) {
  const std::string& id = upstream.info().id();
  if (chance(UPSTREAM_CUT)) {
    std::string owner = owner_of(id);
    bool of_owner = !owner.empty() && chance(0.6);
    auto any = std::next(hosts_.begin(), between(0, 3));
    cut(of_owner ? owner : any->first, id);
    if (chance(0.5))
      restarts_[id] = now_ + between(0, 1'500);
  }
  if (chance(UPSTREAM_HIDDEN))
    hidden_until_[id] = now_ + between(500, 3'000);
  auto restart = restarts_.find(id);
  if (restart == restarts_.end() || now_ < restart->second)
    return;
  restarts_.erase(restart);
  trace(fmt::format("{} restarts", id));
  upstream.restart(now_);
}

void host_model::inject_further_faults() {
  if (options_.fault_series)
    crash_several_hosts();
  if (options_.fault_series || options_.draining_hosts) {
    for (auto& [name, host] : hosts_)
      inject_host_faults(host);
  }
  if (options_.cut_hosts)
    cut_hosts();
  if (!options_.cut_upstreams)
    return;
  for (fake_upstream& upstream : upstreams_)
    cut_upstream(upstream);
}

void host_model::end_further_faults() {
  calm_since_ms_ = now_;
  for (auto& [link, until_ms] : cuts_)
    until_ms = std::min(until_ms, now_);
  for (auto& [id, until_ms] : hidden_until_)
    until_ms = std::min(until_ms, now_);
  restarts_.clear();
  for (auto& [name, host] : hosts_) {
    host.crash_at_ms = INT64_MAX;
    host.suspensions_left = 0;
  }
}

bool host_model::refuses(const delayed_order& delayed) {
  bool may_refuse =
      options_.refused_orders > 0 && faulty_ && delayed.held_by == 0;
  if (!may_refuse || !chance(options_.refused_orders))
    return false;
  if (delayed.order.kind == order_kind::stop)
    ++counts_.refused_stops;
  return true;
}

bool host_model::loses_reply() {
  bool is_lost =
      options_.lost_replies > 0 && faulty_ && chance(options_.lost_replies);
  counts_.lost_replies += is_lost ? 1 : 0;
  return is_lost;
}

// A draining host ends after its last answers, when another one owns its pools.
void host_model::end_drained(host& host) {
  if (!host.state || !host.state->draining)
    return;
  const intake& callers = host.state->callers;
  bool idle = callers.jobs.empty() && callers.refusals.empty() &&
              host.inbox.empty() && !is_owner(*host.state);
  if (!idle && now_ < host.exit_by_ms)
    return;
  ++counts_.drains;
  crash(host);
}

// The connection of the caller ends, at its deadline or before.
void host_model::leave(caller_job& job) {
  auto at = hosts_.find(job.at);
  if (at == hosts_.end())
    return;
  trace(fmt::format("caller of job {} leaves {}", job.id, job.at));
  host_caller_disconnected closed{now_, job.exchange};
  if (at->second.state && options_.leaving_callers > 0)
    at->second.closed.emplace_back(closed);
  else if (at->second.state)
    at->second.inbox.emplace_back(closed);
  counts_.left += job.finished ? 0 : 1;
  job.exchange = 0;
  stop_waiting(job);
}

void host_model::change_evacuations() {
  if (!options_.evacuations)
    return;
  for (const char* zone : {"kranj", "vic"}) {
    bool evacuated = evacuated_since_ms_.contains(zone);
    if (!chance(evacuated ? END_OF_EVACUATION : EVACUATION))
      continue;
    if (evacuated)
      evacuated_since_ms_.erase(zone);
    else
      evacuated_since_ms_[zone] = now_;
    counts_.evacuations += evacuated ? 0 : 1;
    trace(fmt::format("evacuation of {} {}", zone,
                      evacuated ? "finishes" : "begins"));
    evacuations_.set_revision(evacuations_.revision() + 1);
    evacuations_.clear_zones();
    for (const auto& [name, since_ms] : evacuated_since_ms_)
      evacuations_.add_zones(name);
  }
  // A former list arrives late, from a replica or from another host.
  for (const auto& [name, host] : hosts_) {
    if (!chance(LATE_EVACUATION_LIST))
      continue;
    wire::envelope envelope;
    bool from_peer = chance(0.5);
    envelope.set_from(from_peer ? hosts_.begin()->first : "control");
    if (from_peer)
      *envelope.mutable_peer_news()->mutable_evacuations() = evacuations_;
    else
      *envelope.mutable_control_news()->mutable_evacuations() = evacuations_;
    messages_.push_back({now_ + between(0, 2'000), name, envelope});
  }
}

void host_model::record_told(const host& host, const host_event& event) {
  const auto* received = std::get_if<host_received>(&event);
  if (!options_.evacuations || received == nullptr)
    return;
  const wire::evacuation_list& list =
      received->envelope.has_peer_news()
          ? received->envelope.peer_news().evacuations()
          : received->envelope.control_news().evacuations();
  told_evacuations& told = told_[host.state->incarnation];
  if (list.revision() <= told.revision)
    return;
  told.revision = list.revision();
  std::map<std::string, unix_ms> since_ms;
  for (const std::string& zone : list.zones()) {
    auto known = told.since_ms.find(zone);
    since_ms[zone] = known == told.since_ms.end() ? now_ : known->second;
  }
  told.since_ms = std::move(since_ms);
}

void host_model::check_start_order(const host& host, const run_order& order) {
  if (!options_.evacuations || order.kind != order_kind::start)
    return;
  const auto& since_ms = told_[host.state->incarnation].since_ms;
  if (since_ms.contains(host.zone))
    fail(fmt::format("{} starts {} in an evacuated zone", host.name,
                     order.task));
}

void host_model::check_carried_out(const delayed_order& delayed,
                                   const fake_upstream& upstream) {
  if (!options_.evacuations)
    return;
  const std::string& zone = upstream.info().zone();
  auto told = told_.find(delayed.incarnation);
  if (told != told_.end()) {
    auto since = told->second.since_ms.find(zone);
    if (since != told->second.since_ms.end() &&
        now_ > since->second + LONGEST_START_MS) {
      fail(
          fmt::format("{} is started {} ms after its owner was told of the "
                      "evacuation",
                      delayed.order.task, now_ - since->second));
    }
  }
  auto since = evacuated_since_ms_.find(zone);
  if (faulty_ || since == evacuated_since_ms_.end())
    return;
  unix_ms contact_ms = std::max(since->second, calm_since_ms_);
  for (const auto& [name, host] : hosts_)
    contact_ms = std::max(contact_ms, host.suspended_until_ms);
  if (now_ > contact_ms + LIST_KNOWN_MS + LONGEST_START_MS)
    fail(fmt::format("{} is started in an evacuated zone without faults",
                     delayed.order.task));
}

}  // namespace cyclamenwood
