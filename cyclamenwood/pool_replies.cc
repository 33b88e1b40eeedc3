// Evaluates the replies of upstreams to orders, and their lists of runs.
//
// A list proves the absence of a run only if, before the renewal was sent, the
// run was known to have started or its stop had been acknowledged. Otherwise
// the list may be older than the start or the stop: orders and replies use
// several connections, so that one reply may overtake another.
#include <fmt/format.h>

#include <algorithm>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {
namespace {

constexpr int64_t UNREACHABLE_RETRY_MS = 50;
constexpr int64_t LONG_SILENCE_RETRY_MS = 500;
// A stop that was refused is sent again after this time; one that was not
// answered too, doubled each time up to the maximum. If the upstream carries
// out none of them, the run ends with its lease.
constexpr int64_t STOP_RETRY_MS = 50;
constexpr int64_t MAX_STOP_RETRY_MS = 400;
// Start orders of one attempt before another upstream is tried.
constexpr int MAX_UNANSWERED_STARTS = 3;
// An order without an answer may be carried out this much later.
constexpr int64_t LATE_START_MS = 15'000;
constexpr int64_t BACKOFF_MS = 500;
constexpr int64_t NO_CAPACITY_BACKOFF_MS = 100;

// Another upstream has replied at its address, so that this one has ended.
void remove_upstream(pool& pool,
                     const std::string& id,
                     unix_ms now,
                     pool_output& out) {
  auto found = pool.upstreams.find(id);
  lose_all_runs(pool, found->second, loss_evidence::replaced, now, out);
  pool.upstreams.erase(found);
  ++pool.upstreams_version;
}

void read_clock(leased_upstream& upstream, int64_t clock_ms, unix_ms now) {
  // A reply arrives some time after the upstream read its clock, never before.
  // The delay only lowers the difference, so that the largest difference seen
  // is the most accurate one. The value is allowed to decrease slowly, since
  // the clocks may drift apart by 2%.
  int64_t offset_ms = clock_ms - now;
  if (!upstream.clock_offset_ms || offset_ms >= *upstream.clock_offset_ms) {
    upstream.clock_offset_ms = offset_ms;
  } else {
    int64_t drift = 1 + (now - upstream.clock_read_ms) / 40;
    upstream.clock_offset_ms =
        std::max(offset_ms, *upstream.clock_offset_ms - drift);
  }
  upstream.clock_read_ms = now;
}

// Whether the reply may come from the process that the upstream was before it
// restarted, which had another clock. The announcement of the new process can
// overtake it. Not every reply names its process.
bool is_of_former_process(const leased_upstream& upstream,
                          const run_order& order,
                          const order_reply& reply) {
  uint64_t present = upstream.info.incarnation();
  return order.incarnation < present && reply.incarnation < present;
}

leased_run* find_run(leased_upstream& upstream, const run_order& order) {
  auto found = upstream.runs.find(order.task);
  bool same =
      found != upstream.runs.end() && found->second.attempt == order.attempt;
  return same ? &found->second : nullptr;
}

void record_unanswered_start(leased_upstream& upstream,
                             const run_order& order,
                             unix_ms now) {
  unanswered_start& start = upstream.unanswered_starts[order.task];
  start.attempt = std::max(start.attempt, order.attempt);
  start.barred_in = order.incarnation;
  start.expires_ms = now + LATE_START_MS;
}

void start_barred(leased_upstream& upstream, const run_order& stop) {
  auto start = upstream.unanswered_starts.find(stop.task);
  if (start != upstream.unanswered_starts.end() &&
      start->second.attempt <= stop.attempt)
    start->second.barred_in = stop.incarnation;
}

void start_unanswered(pool& pool,
                      leased_upstream& upstream,
                      const run_order& order,
                      leased_run& run,
                      unix_ms now,
                      pool_output& out) {
  ++run.unanswered_starts;
  if (pool.evacuated) {
    defer_unanswered_start(run, now);
    return;
  }
  // If no process listens there, the task may be the reason.
  if (run.unanswered_starts < MAX_UNANSWERED_STARTS && upstream.reachable &&
      !upstream.connection_refused) {
    run.resend_ms = now;
    return;
  }
  out.events.push_back(
      {"start_unanswered",
       fmt::format("task={} attempt={} upstream={}", order.task, order.attempt,
                   order.upstream)});
  upstream.backoff_until_ms = now + BACKOFF_MS;
  stop_run(pool, upstream, order.task, now, out);
}

void log_rejection(const run_order& order,
                   order_outcome outcome,
                   pool_output& out) {
  bool rejected = outcome != order_outcome::accepted &&
                  outcome != order_outcome::unanswered;
  if (!rejected)
    return;
  std::string details =
      fmt::format("task={} attempt={} upstream={} reason={}", order.task,
                  order.attempt, order.upstream, to_string(outcome));
  out.events.push_back({"start_rejected", std::move(details)});
}

// Logs only the transition from reachable to unreachable.
void log_unreachable(const leased_upstream& upstream,
                     order_outcome outcome,
                     pool_output& out) {
  if (!upstream.reachable || !upstream.listed)
    return;
  std::string details =
      fmt::format("upstream={} runs={} reason={}", upstream.info.id(),
                  upstream.runs.size(), to_string(outcome));
  out.events.push_back({"upstream_unreachable", std::move(details)});
}

// The upstream did not carry out the order. An earlier order of the same
// attempt that was not answered may still arrive there; it is barred by a stop.
void start_rejected(pool& pool,
                    leased_upstream& upstream,
                    const run_order& order,
                    run_end how,
                    unix_ms now,
                    pool_output& out) {
  if (upstream.runs.at(order.task).unanswered_starts > 0)
    stop_run(pool, upstream, order.task, now, out);
  else
    end_run(pool, upstream, order.task, how, out);
}

void start_replied(pool& pool,
                   leased_upstream& upstream,
                   const run_order& order,
                   order_outcome outcome,
                   unix_ms now,
                   pool_output& out) {
  if (outcome == order_outcome::unanswered)
    record_unanswered_start(upstream, order, now);
  leased_run* run = find_run(upstream, order);
  if (run == nullptr || run->state != run_state::starting)
    return;
  log_rejection(order, outcome, out);
  switch (outcome) {
    case order_outcome::accepted:
      run->state = run_state::running;
      run->absence_valid_from_ms = now;
      run->started_ms = now;
      break;
    case order_outcome::unanswered:
      start_unanswered(pool, upstream, order, *run, now, out);
      break;
    case order_outcome::late:
      if (pool.evacuated)
        start_rejected(pool, upstream, order, run_end::lease_expired, now, out);
      else
        run->resend_ms = now;
      break;
    case order_outcome::stale_attempt:
      // An earlier start of this attempt may have run and ended; the next list
      // shows whether it did.
      if (run->unanswered_starts > 0)
        run->absence_valid_from_ms = now;
      else
        end_run(pool, upstream, order.task, run_end::lease_expired, out);
      break;
    case order_outcome::no_room:
      upstream.backoff_until_ms = now + NO_CAPACITY_BACKOFF_MS;
      start_rejected(pool, upstream, order, run_end::lease_expired, now, out);
      break;
    case order_outcome::unhealthy:
      upstream.backoff_until_ms = now + BACKOFF_MS;
      start_rejected(pool, upstream, order, run_end::lease_expired, now, out);
      break;
    default:
      start_rejected(pool, upstream, order, run_end::failed, now, out);
      break;
  }
}

// An upstream or a link that is overloaded would be kept so by stops that are
// repeated at once.
int64_t next_stop_delay_ms(leased_run& run) {
  int64_t delay_ms = STOP_RETRY_MS << std::min(run.unanswered_stops++, 10);
  return std::min(delay_ms, MAX_STOP_RETRY_MS);
}

// The upstream answers again: the stops that it may have missed are due.
void expedite_stops(leased_upstream& upstream, unix_ms now) {
  for (auto& [name, run] : upstream.runs) {
    run.unanswered_stops = 0;
    if (run.state == run_state::stopping && run.resend_ms != INT64_MAX)
      run.resend_ms = now;
  }
}

// Whether the upstream will carry out no start of the attempt that it was to
// stop. A refusal for any other reason means that it has done nothing.
bool confirms_stop(order_outcome outcome) {
  return outcome == order_outcome::accepted ||
         outcome == order_outcome::stale_attempt;
}

void stop_refused(leased_run& run,
                  const run_order& order,
                  order_outcome outcome,
                  unix_ms now,
                  pool_output& out) {
  run.resend_ms = now + STOP_RETRY_MS;
  out.events.push_back(
      {"stop_refused",
       fmt::format("task={} attempt={} upstream={} reason={}", order.task,
                   order.attempt, order.upstream, to_string(outcome))});
}

void stop_replied(leased_upstream& upstream,
                  const run_order& order,
                  order_outcome outcome,
                  unix_ms now,
                  pool_output& out) {
  bool previous_incarnation = order.incarnation != upstream.info.incarnation();
  if (confirms_stop(outcome) && !previous_incarnation)
    start_barred(upstream, order);
  leased_run* run = find_run(upstream, order);
  if (run == nullptr || run->state != run_state::stopping)
    return;
  if (outcome == order_outcome::unanswered)
    run->resend_ms = now + next_stop_delay_ms(*run);
  else if (!confirms_stop(outcome))
    stop_refused(*run, order, outcome, now, out);
  else if (previous_incarnation)
    run->resend_ms = now;
  else
    run->absence_valid_from_ms = std::min(run->absence_valid_from_ms, now);
}

attempt_verdict verdict_for(run_end how) {
  if (how == run_end::done)
    return attempt_verdict::succeeded;
  return how == run_end::failed ? attempt_verdict::failed
                                : attempt_verdict::neutral;
}

// Durations of completed tasks predict those of the job's other tasks.
void record_run_length(pool& pool,
                       leased_upstream& upstream,
                       const leased_run& run,
                       unix_ms now) {
  pool_job* job = find_job(pool, run);
  if (job == nullptr || run.started_ms == 0)
    return;
  job->longest_run_ms = std::max(job->longest_run_ms, now - run.started_ms);
  learn_run(pool, upstream, *job, run, now);
}

void store_found_end(pool& pool, const listed_end& end, unix_ms now) {
  pool.unclaimed_ends[end.task] = {end.how, now};
  pool.placement_due = true;
}

void process_listed_end(pool& pool,
                        leased_upstream& upstream,
                        const listed_end& end,
                        unix_ms now,
                        pool_output& out) {
  if (end.number <= upstream.last_end_number)
    return;
  upstream.last_end_number = end.number;
  record_attempt(pool, upstream, verdict_for(end.how), now, out);
  auto run = upstream.runs.find(end.task);
  if (run != upstream.runs.end() && run->second.attempt == end.attempt) {
    if (end.how == run_end::done)
      record_run_length(pool, upstream, run->second, now);
    end_run(pool, upstream, end.task, end.how, out);
  } else if (!upstream.listed) {
    store_found_end(pool, end, now);
  }
}

void log_found_run(const pool& pool,
                   const leased_upstream& upstream,
                   const listed_run& listed,
                   pool_output& out) {
  auto placed = pool.placed.find(listed.task);
  out.events.push_back(
      {"run_found",
       fmt::format("task={} attempt={} upstream={} incarnation={} percent={} "
                   "pool={} token={} first_list={} also_on={}",
                   listed.task, listed.attempt, upstream.info.id(),
                   upstream.info.incarnation(), listed.percent, pool.name,
                   pool.token, !upstream.listed,
                   placed == pool.placed.end() ? "none" : placed->second)});
}

void process_listed_run(pool& pool,
                        leased_upstream& upstream,
                        const listed_run& listed,
                        unix_ms now,
                        pool_output& out) {
  auto known = upstream.runs.find(listed.task);
  if (known != upstream.runs.end()) {
    leased_run& run = known->second;
    if (run.attempt == listed.attempt)
      run.past_incarnation = 0;
    if (run.attempt == listed.attempt && run.state == run_state::starting) {
      run.state = run_state::running;
      run.absence_valid_from_ms = now;
      run.started_ms = now;
    }
    if (is_barred_start(run))
      run.discovered_ms = now;
    check_progress(pool, upstream, listed, now, out);
    return;
  }
  log_found_run(pool, upstream, listed, out);
  bool runs_elsewhere = pool.placed.contains(listed.task);
  leased_run& found = upstream.runs[listed.task];
  found.attempt = listed.attempt;
  found.need = unknown_need();
  reserve_resources(upstream, found.need);
  found.state = run_state::running;
  found.absence_valid_from_ms = now;
  found.discovered_ms = now;
  pool.adoptable_until_ms = now + ADOPTION_WINDOW_MS;
  pool.placement_due = true;
  if (!runs_elsewhere)
    pool.placed[listed.task] = upstream.info.id();
  // Runs are adopted only from the first list under the token. A run that
  // appears later is due to a delayed start order.
  if (upstream.listed || runs_elsewhere)
    stop_run(pool, upstream, listed.task, now, out);
}

// Ends the runs that the list proves to be over.
void end_absent_runs(pool& pool,
                     leased_upstream& upstream,
                     const order_reply& reply,
                     unix_ms renewal_sent_ms,
                     unix_ms now,
                     pool_output& out) {
  std::set<std::string> listed;
  for (const listed_run& run : reply.running)
    listed.insert(run.task);
  std::vector<std::string> absent;
  for (const auto& [name, run] : upstream.runs) {
    if (run.absence_valid_from_ms < renewal_sent_ms && !listed.contains(name))
      absent.push_back(name);
  }
  for (const std::string& name : absent) {
    if (upstream.runs.at(name).past_incarnation != 0)
      lose_run(pool, upstream, name, loss_evidence::restarted, now, out);
    else
      end_run(pool, upstream, name, run_end::lease_expired, out);
  }
}

void renewal_replied(pool& pool,
                     leased_upstream& upstream,
                     const order_reply& reply,
                     unix_ms now,
                     pool_output& out) {
  unix_ms sent_ms = upstream.renewal_sent_ms;
  upstream.renewal_order = 0;
  if (reply.outcome != order_outcome::accepted) {
    log_unreachable(upstream, reply.outcome, out);
    if (std::exchange(upstream.reachable, false)) {
      // A process that was restarted answers at once.
      send_renewal(pool, upstream, 0, now, out);
      return;
    }
    bool silent_for_long =
        now - upstream.last_contact_ms > UPSTREAM_EXPIRY_MS / 10;
    upstream.next_renewal_ms =
        now + (silent_for_long ? LONG_SILENCE_RETRY_MS : UNREACHABLE_RETRY_MS);
    return;
  }
  bool was_reachable = std::exchange(upstream.reachable, true);
  upstream.connection_refused = false;
  if (!was_reachable)
    expedite_stops(upstream, now);
  if (!was_reachable && upstream.listed)
    out.events.push_back({"upstream_reachable",
                          fmt::format("upstream={} runs={}", upstream.info.id(),
                                      upstream.runs.size())});
  bool restarted = reply.incarnation > upstream.info.incarnation();
  if (restarted) {
    begin_new_incarnation(pool, upstream, reply.incarnation, now, out);
    read_clock(upstream, reply.clock_ms, now);
  }
  for (const listed_end& end : reply.ended)
    process_listed_end(pool, upstream, end, now, out);
  for (const listed_run& run : reply.running)
    process_listed_run(pool, upstream, run, now, out);
  end_absent_runs(pool, upstream, reply, sent_ms, now, out);
  bar_unanswered_starts(pool, upstream, now);
  pool.placement_due = pool.placement_due || !upstream.listed || !was_reachable;
  if (!std::exchange(upstream.listed, true))
    assume_longest_lease(pool, upstream, now);
  // A new incarnation is listed again at once, so that runs that ended with the
  // previous one are known to be absent.
  send_renewal(pool, upstream, restarted ? 0 : RENEWAL_WAIT_MS, now, out);
}

}  // namespace

void order_replied(pool& pool,
                   uint64_t order_id,
                   const order_reply& reply,
                   unix_ms now,
                   pool_output& out) {
  auto issued = pool.orders.find(order_id);
  if (issued == pool.orders.end())
    return;
  run_order order = std::move(issued->second);
  pool.orders.erase(issued);
  auto found = pool.upstreams.find(order.upstream);
  if (order.token != pool.token || found == pool.upstreams.end())
    return;
  leased_upstream& upstream = found->second;
  if (reply.outcome == order_outcome::stale_token) {
    out.events.push_back(
        {"ownership_lost", fmt::format("token={} upstream={} by=fence",
                                       pool.token, order.upstream)});
    out.ownership_lost = true;
    return;
  }
  if (reply.outcome == order_outcome::other_incarnation) {
    remove_upstream(pool, order.upstream, now, out);
    return;
  }
  if (reply.clock_ms != 0 && !is_of_former_process(upstream, order, reply))
    read_clock(upstream, reply.clock_ms, now);
  if (reply.outcome != order_outcome::unanswered)
    upstream.last_contact_ms = now;
  if (reply.connection_refused) {
    upstream.connection_refused = true;
    report_likely_losses(pool, upstream, now, out);
  }
  if (order.kind == order_kind::start)
    start_replied(pool, upstream, order, reply.outcome, now, out);
  else if (order.kind == order_kind::stop)
    stop_replied(upstream, order, reply.outcome, now, out);
  else if (order.id == upstream.renewal_order)
    renewal_replied(pool, upstream, reply, now, out);
}

}  // namespace cyclamenwood
