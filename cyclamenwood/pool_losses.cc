// Runs that are lost together with their upstream.
//
// An upstream that crashes says nothing, and its owner can't tell a crash from
// a partition by silence alone. The evidence grows with what is seen
// afterwards: its host refuses connections, or something else answers in its
// place.
#include <fmt/format.h>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {
namespace {

void log_loss(const leased_upstream& upstream,
              const std::string& name,
              const leased_run& run,
              loss_evidence evidence,
              unix_ms now,
              pool_output& out) {
  uint64_t incarnation = run.past_incarnation != 0
                             ? run.past_incarnation
                             : upstream.info.incarnation();
  out.events.push_back(
      {"run_lost",
       fmt::format("task={} attempt={} upstream={} incarnation={} evidence={} "
                   "stopping={} elapsed_ms={} others={}",
                   name, run.attempt, upstream.info.id(), incarnation,
                   to_string(evidence), run.state == run_state::stopping,
                   run.started_ms == 0 ? 0 : now - run.started_ms,
                   upstream.runs.size() - 1)});
}

}  // namespace

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

void lose_run(pool& pool,
              leased_upstream& upstream,
              const std::string& name,
              loss_evidence evidence,
              unix_ms now,
              pool_output& out) {
  log_loss(upstream, name, upstream.runs.at(name), evidence, now, out);
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
