// Orders to upstreams, and what is due as time passes. pool_replies.cc
// evaluates the replies.
//
// One renewal is always in progress to each upstream. It renews the lease,
// waits on the upstream until a run ends, and returns both lists. While an
// upstream doesn't answer, the renewals only request its lists: its lease is
// not extended and it gets no tasks. After `leases_expire_ms` nothing runs
// there any more, and its tasks are queued again.
#include <fmt/format.h>

#include <algorithm>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {
namespace {

// A reply within the zone takes a few ms; the rest allows for a busy process.
constexpr int64_t ORDER_TIMEOUT_MS = 150;
// The wait of renewals that can't extend the lease for long, because of a run
// that nobody is known to want; that may change soon.
constexpr int64_t LIMITED_RENEWAL_WAIT_MS = 50;
// The part of an order number that counts the orders under one token.
constexpr int ORDER_BITS = 32;

run_order make_order(pool& pool,
                     order_kind kind,
                     const leased_upstream& upstream,
                     unix_ms now) {
  run_order order;
  order.id = pool.next_order++;
  order.kind = kind;
  order.upstream = upstream.info.id();
  order.incarnation = upstream.info.incarnation();
  order.address = upstream.info.address();
  order.token = pool.token;
  order.reply_deadline_ms = now + ORDER_TIMEOUT_MS;
  return order;
}

void issue(pool& pool, run_order order, pool_output& out) {
  pool.orders[order.id] = order;
  out.orders.push_back(std::move(order));
}

void send_start(pool& pool,
                leased_upstream& upstream,
                const std::string& name,
                leased_run& run,
                unix_ms now,
                pool_output& out) {
  const pool_job* job = find_job(pool, run);
  if (job == nullptr) {
    stop_run(pool, upstream, name, now, out);
    return;
  }
  int64_t lease_deadline_ms = extend_lease(pool, upstream, now);
  if (lease_deadline_ms == 0) {
    stop_run(pool, upstream, name, now, out);
    return;
  }
  run_order order = make_order(pool, order_kind::start, upstream, now);
  order.task = name;
  order.attempt = run.attempt;
  order.spec = job->request.spec();
  order.lease_deadline_ms = lease_deadline_ms;
  run.resend_ms = INT64_MAX;
  issue(pool, std::move(order), out);
}

void send_stop(pool& pool,
               leased_upstream& upstream,
               const std::string& name,
               leased_run& run,
               unix_ms now,
               pool_output& out) {
  run_order order = make_order(pool, order_kind::stop, upstream, now);
  order.task = name;
  order.attempt = run.attempt;
  run.resend_ms = INT64_MAX;
  issue(pool, std::move(order), out);
}

void log_capacity_change(const leased_upstream& known,
                         const wire::upstream& announced,
                         pool_output& out) {
  uint32_t former = known.info.capacity().cpu_milli();
  uint32_t next = announced.capacity().cpu_milli();
  if (former == next)
    return;
  out.events.push_back(
      {"upstream_capacity_changed",
       fmt::format("upstream={} sequence={} former_cpu_milli={} cpu_milli={} "
                   "used_cpu_milli={} runs={}",
                   announced.id(), announced.sequence(), former, next,
                   known.used.cpu_milli, known.runs.size())});
}

void log_orphan_end(const leased_upstream& upstream,
                    const std::string& name,
                    const leased_run& run,
                    run_end how,
                    pool_output& out) {
  out.events.push_back(
      {"orphan_ended",
       fmt::format("task={} attempt={} upstream={} how={}", name, run.attempt,
                   upstream.info.id(), to_string(how))});
}

// ---- Time -------------------------------------------------------------------

void log_unclaimed(const leased_upstream& upstream,
                   const std::string& name,
                   const leased_run& run,
                   unix_ms now,
                   pool_output& out) {
  out.events.push_back(
      {"run_unclaimed",
       fmt::format("task={} attempt={} upstream={} found_ms={}", name,
                   run.attempt, upstream.info.id(), now - run.discovered_ms)});
}

void tick_runs(pool& pool,
               leased_upstream& upstream,
               unix_ms now,
               pool_output& out) {
  std::vector<std::string> due;
  for (const auto& [name, run] : upstream.runs) {
    bool unclaimed = run.submission == 0 && run.state == run_state::running &&
                     now >= run.discovered_ms + ADOPTION_WINDOW_MS;
    if (unclaimed || now >= run.resend_ms)
      due.push_back(name);
  }
  for (const std::string& name : due) {
    leased_run& run = upstream.runs[name];
    if (run.state == run_state::starting && pool.evacuated) {
      stop_run(pool, upstream, name, now, out);
    } else if (run.state == run_state::starting) {
      send_start(pool, upstream, name, run, now, out);
    } else if (run.state == run_state::stopping) {
      send_stop(pool, upstream, name, run, now, out);
    } else {
      log_unclaimed(upstream, name, run, now, out);
      stop_run(pool, upstream, name, now, out);
    }
  }
}

}  // namespace

void send_renewal(pool& pool,
                  leased_upstream& upstream,
                  int64_t wait_ms,
                  unix_ms now,
                  pool_output& out) {
  run_order order = make_order(pool, order_kind::renewal, upstream, now);
  order.last_end_number = upstream.last_end_number;
  if (upstream.reachable && upstream.listed) {
    order.lease_deadline_ms = extend_lease(pool, upstream, now);
    bool limited =
        lease_limit(pool, upstream) < now + pool.options.lease_ms / 2;
    order.wait_ms =
        limited ? std::min(wait_ms, LIMITED_RENEWAL_WAIT_MS) : wait_ms;
    order.reply_deadline_ms += order.wait_ms;
  }
  upstream.renewal_order = order.id;
  upstream.renewal_sent_ms = now;
  issue(pool, std::move(order), out);
}

wire::room unknown_need() {
  wire::room need;
  need.set_cpu_milli(UINT32_MAX);
  need.set_memory_mb(UINT32_MAX);
  need.set_accelerators(UINT32_MAX);
  return need;
}

void bar_unanswered_starts(pool& pool, leased_upstream& upstream, unix_ms now) {
  for (const auto& [name, start] : upstream.unanswered_starts) {
    if (start.barred_in == upstream.info.incarnation())
      continue;
    auto [found, added] = upstream.runs.try_emplace(name);
    if (!added)
      continue;
    leased_run& run = found->second;
    run.attempt = start.attempt;
    run.need = unknown_need();
    reserve_resources(upstream, run.need);
    run.state = run_state::stopping;
    run.resend_ms = now;
    pool.placed.try_emplace(name, upstream.info.id());
  }
}

void begin_new_incarnation(pool& pool,
                           leased_upstream& upstream,
                           uint64_t incarnation,
                           unix_ms now,
                           pool_output& out) {
  out.events.push_back(
      {"upstream_reborn", fmt::format("upstream={} runs={}", upstream.info.id(),
                                      upstream.runs.size())});
  uint64_t past = upstream.info.incarnation();
  bool has_left = upstream.info.state() == wire::UPSTREAM_LEAVING;
  upstream.info.set_incarnation(incarnation);
  upstream.info.set_state(wire::UPSTREAM_UNSPECIFIED);
  upstream.last_end_number = 0;
  upstream.clock_offset_ms.reset();
  upstream.on_probation = false;
  upstream.speed = {};
  for (auto& [name, run] : upstream.runs) {
    // A stop may have been acknowledged by the new incarnation already.
    bool may_have_run = !is_stopped(run) || run.unanswered_starts > 0;
    if (run.past_incarnation == 0 && !has_left && may_have_run)
      run.past_incarnation = past;
    if (!upstream.unanswered_starts.contains(name))
      continue;
    run.state = run_state::stopping;
    run.absence_valid_from_ms = INT64_MAX;
    run.resend_ms = now;
  }
  bar_unanswered_starts(pool, upstream, now);
}

void end_run(pool& pool,
             leased_upstream& upstream,
             const std::string& name,
             run_end how,
             pool_output& out) {
  auto found = upstream.runs.find(name);
  leased_run run = std::move(found->second);
  upstream.runs.erase(found);
  if (run.orphaned_ms != 0)
    log_orphan_end(upstream, name, run, how, out);
  release_resources(upstream, run.need);
  upstream.isolated = upstream.isolated && !upstream.runs.empty();
  // A second run of the task may have been found on another upstream.
  auto placed = pool.placed.find(name);
  if (placed != pool.placed.end() && placed->second == upstream.info.id())
    pool.placed.erase(placed);
  pool.placement_due = true;
  task_run_settled(pool, run, upstream.info.id(), how, out);
}

void start_run(pool& pool,
               leased_upstream& upstream,
               pool_job& job,
               uint32_t task,
               unix_ms now,
               pool_output& out) {
  job.started = true;
  job.tasks.at(task).returnable = false;
  upstream.isolated = job.tasks.at(task).suspect;
  std::string name = task_name(job.request, task);
  leased_run& run = upstream.runs[name];
  run.submission = job.request.submission();
  run.step = job.request.step();
  run.task = task;
  run.attempt = job.tasks.at(task).next_attempt;
  run.need = job.request.need();
  reserve_resources(upstream, run.need);
  pool.placed[name] = upstream.info.id();
  send_start(pool, upstream, name, run, now, out);
}

void stop_run(pool& pool,
              leased_upstream& upstream,
              const std::string& name,
              unix_ms now,
              pool_output& out) {
  leased_run& run = upstream.runs[name];
  if (run.state == run_state::stopping)
    return;
  run.state = run_state::stopping;
  run.absence_valid_from_ms = INT64_MAX;
  send_stop(pool, upstream, name, run, now, out);
}

void update_upstream(pool& pool,
                     const wire::upstream& announced,
                     unix_ms now,
                     pool_output& out) {
  auto [found, added] = pool.upstreams.try_emplace(announced.id());
  leased_upstream& known = found->second;
  if (announced.incarnation() < known.info.incarnation())
    return;
  bool restarted = !added && announced.incarnation() > known.info.incarnation();
  bool is_leaving = !restarted && known.info.state() == wire::UPSTREAM_LEAVING;
  pool.placement_due = true;
  if (restarted)
    begin_new_incarnation(pool, known, announced.incarnation(), now, out);
  else if (!added)
    log_capacity_change(known, announced, out);
  known.info = announced;
  if (is_leaving)
    known.info.set_state(wire::UPSTREAM_LEAVING);
  health_of(pool.health, announced.id(), announced.service(), announced.zone(),
            announced.incarnation());
  if (added) {
    known.first_listed_version = ++pool.upstreams_version;
    known.accepts_work_from_ms = accepts_work_from_ms(pool, announced.id());
  }
  if (!added && !restarted)
    return;
  known.last_contact_ms = now;
  known.reachable = true;
  if (pool.token != 0)
    send_renewal(pool, known, 0, now, out);
}

uint64_t token_of_order(uint64_t order) {
  return order >> ORDER_BITS;
}

void acquire_ownership(pool& pool,
                       uint64_t token,
                       unix_ms now,
                       pool_output& out) {
  release_ownership(pool);
  pool.token = token;
  pool.highest_token = token;
  pool.next_order = (token << ORDER_BITS) + 1;
  pool.owned_since_ms = now;
  out.events.push_back({"ownership_taken",
                        fmt::format("pool={} token={} upstreams={}", pool.name,
                                    token, pool.upstreams.size())});
  for (auto& [id, upstream] : pool.upstreams) {
    upstream.last_contact_ms = now;
    send_renewal(pool, upstream, 0, now, out);
  }
}

void release_ownership(pool& pool) {
  pool.token = 0;
  pool.restored_ms = 0;
  pool.orders.clear();
  pool.jobs.clear();
  pool.queue.clear();
  pool.placed.clear();
  pool.unclaimed_ends.clear();
  pool.released.clear();
  pool.peers.clear();
  pool.times = {};
  pool.reservations.current.clear();
  for (auto& [id, upstream] : pool.upstreams) {
    wire::upstream info = upstream.info;
    uint64_t first_listed_version = upstream.first_listed_version;
    upstream = {};
    upstream.info = std::move(info);
    upstream.first_listed_version = first_listed_version;
  }
}

void tick_pool(pool& pool, unix_ms now, pool_output& out) {
  if (pool.token == 0)
    return;
  // Jobs expire and back-offs end as time passes.
  pool.placement_due = true;
  demote_late_jobs(pool, now);
  expire_released(pool, now);
  expire_losses(pool.losses, now);
  refresh_speeds(pool, now, out);
  std::vector<std::string> expired;
  for (auto& [id, upstream] : pool.upstreams) {
    if (!upstream.reachable && now >= upstream.leases_expire_ms)
      lose_all_runs(pool, upstream, evidence_of_silence(upstream), now, out);
    bool is_leaving = upstream.info.state() == wire::UPSTREAM_LEAVING;
    bool idle = !upstream.reachable && upstream.runs.empty();
    if (idle &&
        (is_leaving || now - upstream.last_contact_ms > UPSTREAM_EXPIRY_MS)) {
      expired.push_back(id);
      continue;
    }
    std::erase_if(upstream.unanswered_starts, [now](const auto& item) {
      return now >= item.second.expires_ms;
    });
    if (upstream.renewal_order == 0 && now >= upstream.next_renewal_ms)
      send_renewal(pool, upstream, RENEWAL_WAIT_MS, now, out);
    tick_runs(pool, upstream, now, out);
  }
  std::erase_if(pool.unclaimed_ends, [now](const auto& item) {
    return now > item.second.second + UPSTREAM_EXPIRY_MS / 10;
  });
  for (const std::string& id : expired)
    pool.upstreams.erase(id);
  if (expired.empty())
    return;
  ++pool.upstreams_version;
  health_forget(pool.health, pool.upstreams);
}

}  // namespace cyclamenwood
