// Runs that are lost together with their upstream.
//
// An upstream that crashes says nothing, and its owner can't tell a crash from
// a partition by silence alone. The evidence grows with what is seen
// afterwards: its host refuses connections, or something else answers in its
// place. An upstream that has crashed may have been crashed by any of the tasks
// that ran there.
#include <fmt/format.h>

#include <utility>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {
namespace {

// The incarnation of the upstream that the run was started on.
uint64_t incarnation_of(const leased_upstream& upstream,
                        const leased_run& run) {
  return run.past_incarnation != 0 ? run.past_incarnation
                                   : upstream.info.incarnation();
}

// Whether the upstream has confirmed that it had the run.
bool has_arrived(const leased_run& run) {
  return run.started_ms != 0 || run.discovered_ms != 0;
}

// Whether the run may have been in progress when its upstream went away, and
// that was not planned. Of orders that a silent upstream has not answered it is
// more likely that they did not reach it. A stop that was acknowledged after
// connections had been refused may have reached the next incarnation only.
bool counts_as_loss(const leased_run& run, loss_evidence evidence) {
  if (is_barred_start(run))
    return false;
  switch (evidence) {
    case loss_evidence::left:
      return false;
    case loss_evidence::refused:
      return true;
    case loss_evidence::silent:
      return run.past_incarnation != 0 ||
             (has_arrived(run) && !is_stopped(run));
    case loss_evidence::restarted:
    case loss_evidence::replaced:
      return run.past_incarnation != 0 || !is_stopped(run);
  }
  return true;
}

// Adds the loss to the history of the pool, and reports it if it is new there.
void report_loss(pool& pool,
                 const leased_upstream& upstream,
                 const std::string& name,
                 bool crashed,
                 unix_ms now,
                 pool_output& out) {
  wire::run_loss loss;
  loss.set_task(name);
  loss.set_upstream(upstream.info.id());
  loss.set_incarnation(incarnation_of(upstream, upstream.runs.at(name)));
  loss.set_remaining_ms(LOSS_RETENTION_MS);
  loss.set_crashed(crashed);
  if (record_loss(pool.losses, loss, now))
    out.losses.push_back(std::move(loss));
}

void log_loss(const leased_upstream& upstream,
              const std::string& name,
              const leased_run& run,
              loss_evidence evidence,
              unix_ms now,
              pool_output& out) {
  out.events.push_back(
      {"run_lost",
       fmt::format("task={} attempt={} upstream={} incarnation={} evidence={} "
                   "stopping={} elapsed_ms={} others={}",
                   name, run.attempt, upstream.info.id(),
                   incarnation_of(upstream, run), to_string(evidence),
                   run.state == run_state::stopping,
                   run.started_ms == 0 ? 0 : now - run.started_ms,
                   upstream.runs.size() - 1)});
}

}  // namespace

bool is_barred_start(const leased_run& run) {
  return run.submission == 0 && !has_arrived(run);
}

bool is_stopped(const leased_run& run) {
  return run.state == run_state::stopping &&
         run.absence_valid_from_ms != INT64_MAX;
}

std::string_view to_string(loss_evidence evidence) {
  switch (evidence) {
    case loss_evidence::left:
      return "left";
    case loss_evidence::silent:
      return "silent";
    case loss_evidence::refused:
      return "refused";
    case loss_evidence::restarted:
      return "restarted";
    case loss_evidence::replaced:
      return "replaced";
  }
  return "unknown";
}

loss_evidence evidence_of_silence(const leased_upstream& upstream) {
  if (upstream.info.state() == wire::UPSTREAM_LEAVING)
    return loss_evidence::left;
  return upstream.connection_refused ? loss_evidence::refused
                                     : loss_evidence::silent;
}

void report_likely_losses(pool& pool,
                          const leased_upstream& upstream,
                          unix_ms now,
                          pool_output& out) {
  loss_evidence evidence = evidence_of_silence(upstream);
  for (const auto& [name, run] : upstream.runs) {
    if (counts_as_loss(run, evidence))
      report_loss(pool, upstream, name, false, now, out);
  }
}

void lose_run(pool& pool,
              leased_upstream& upstream,
              const std::string& name,
              loss_evidence evidence,
              unix_ms now,
              pool_output& out) {
  const leased_run& run = upstream.runs.at(name);
  if (!is_barred_start(run))
    log_loss(upstream, name, run, evidence, now, out);
  if (counts_as_loss(run, evidence))
    report_loss(pool, upstream, name, evidence != loss_evidence::silent, now,
                out);
  end_run(pool, upstream, name, run_end::lease_expired, out);
}

void lose_all_runs(pool& pool,
                   leased_upstream& upstream,
                   loss_evidence evidence,
                   unix_ms now,
                   pool_output& out) {
  if (upstream.runs.empty())
    return;
  out.events.push_back(
      {"runs_lost",
       fmt::format("upstream={} runs={} evidence={}", upstream.info.id(),
                   upstream.runs.size(), to_string(evidence))});
  while (!upstream.runs.empty()) {
    std::string name = upstream.runs.begin()->first;
    lose_run(pool, upstream, name, evidence, now, out);
  }
}

}  // namespace cyclamenwood
