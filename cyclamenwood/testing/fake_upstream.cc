#include "cyclamenwood/testing/fake_upstream.h"

#include <algorithm>

namespace cyclamenwood {
namespace {

constexpr int64_t MAX_LEASE_MS = 1000;

}  // namespace

fake_upstream::fake_upstream(const std::string& id,
                             const std::string& zone,
                             uint32_t cpu_milli,
                             int64_t clock_offset_ms,
                             int64_t run_ms)
    : clock_offset_ms_(clock_offset_ms), run_ms_(run_ms) {
  info_.set_id(id);
  info_.set_incarnation(1);
  info_.set_sequence(1);
  info_.set_service("fit-desk");
  info_.set_address(id + ":1");
  info_.set_zone(zone);
  info_.set_state(wire::UPSTREAM_READY);
  info_.mutable_capacity()->set_cpu_milli(cpu_milli);
  info_.mutable_capacity()->set_memory_mb(1 << 20);
}

uint32_t fake_upstream::used_cpu_milli() const {
  uint32_t used = 0;
  for (const auto& [task, run] : runs_)
    used += run.cpu_milli;
  return used;
}

void fake_upstream::end(const std::string& task, run_end how) {
  auto found = runs_.find(task);
  highest_ended_attempts_[task] =
      std::max(highest_ended_attempts_[task], found->second.attempt);
  ends_.push_back({next_end_++, task, found->second.attempt, how});
  runs_.erase(found);
}

void fake_upstream::advance(unix_ms now) {
  if (restart_at_ms_ != 0 && now >= restart_at_ms_) {
    restart_at_ms_ = 0;
    restart(now);
  }
  std::vector<std::pair<std::string, run_end>> over;
  for (const auto& [task, run] : runs_) {
    if (run.ends_ms <= now)
      over.emplace_back(task, failing_ ? run_end::failed : run_end::done);
    else if (lease_until_ms_ <= clock(now))
      over.emplace_back(task, run_end::lease_expired);
  }
  for (const auto& [task, how] : over)
    end(task, how);
}

void fake_upstream::restart(unix_ms now) {
  if (restarts_clock)
    clock_offset_ms_ -= clock(now);
  info_.set_incarnation(info_.incarnation() + 1);
  info_.set_sequence(1);
  highest_token_ = 0;
  lease_until_ms_ = 0;
  runs_.clear();
  highest_ended_attempts_.clear();
  ends_.clear();
  next_end_ = 1;
}

void fake_upstream::set_capacity(uint32_t cpu_milli) {
  info_.mutable_capacity()->set_cpu_milli(cpu_milli);
  info_.set_sequence(info_.sequence() + 1);
}

order_outcome fake_upstream::start(const run_order& order, unix_ms now) {
  auto running = runs_.find(order.task);
  if (running != runs_.end() && running->second.attempt == order.attempt)
    return order_outcome::accepted;
  auto over = highest_ended_attempts_.find(order.task);
  bool stale =
      over != highest_ended_attempts_.end() && order.attempt <= over->second;
  if (stale || running != runs_.end())
    return order_outcome::stale_attempt;
  if (order.lease_deadline_ms <= clock(now))
    return order_outcome::late;
  uint32_t cpu = cpu_of(order.task);
  if (used_cpu_milli() + cpu > info_.capacity().cpu_milli()) {
    ++rejected_no_room_;
    return order_outcome::no_room;
  }
  if (crashes_on(order.task)) {
    crashed_by_.push_back(order.task);
    restart_at_ms_ = now + down_ms;
    runs_.clear();
    return order_outcome::unanswered;
  }
  int64_t run_ms = run_ms_of ? run_ms_of(order.task) : run_ms_;
  runs_[order.task] = {order.attempt, cpu, now, now + (failing_ ? 1 : run_ms)};
  ++starts_;
  return order_outcome::accepted;
}

order_reply fake_upstream::carry_out(const run_order& order, unix_ms now) {
  advance(now);
  order_reply reply;
  reply.connection_refused = restart_at_ms_ != 0;
  if (reply.connection_refused)
    return reply;
  reply.clock_ms = clock(now);
  reply.incarnation = info_.incarnation();
  if (order.token < highest_token_) {
    reply.outcome = order_outcome::stale_token;
    return reply;
  }
  highest_token_ = order.token;
  int64_t longest = clock(now) + MAX_LEASE_MS;
  lease_until_ms_ =
      std::max(lease_until_ms_, std::min(order.lease_deadline_ms, longest));
  reply.outcome = order_outcome::accepted;
  if (order.kind == order_kind::start) {
    reply.outcome = start(order, now);
    if (restart_at_ms_ != 0)
      return {};
  } else if (order.kind == order_kind::stop) {
    highest_ended_attempts_[order.task] =
        std::max(highest_ended_attempts_[order.task], order.attempt);
    auto running = runs_.find(order.task);
    if (running != runs_.end() && running->second.attempt <= order.attempt) {
      stopped_run_ms_ += now - running->second.started_ms;
      end(order.task, run_end::stopped);
    }
  } else {
    std::erase_if(ends_, [&order](const listed_end& end) {
      return end.number <= order.last_end_number;
    });
    for (const auto& [task, run] : runs_) {
      int64_t percent = (now - run.started_ms) * 100 /
                        std::max<int64_t>(run.ends_ms - run.started_ms, 1);
      reply.running.push_back({task, run.attempt, percent});
    }
    reply.ended = ends_;
  }
  return reply;
}

}  // namespace cyclamenwood
