// Requests and results. The same request may arrive again: from the same entry
// host, because results are missing, or from another one, because a caller
// submitted its job again there. The latest sender gets the job, and the runs
// for the previous one are stopped first.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {
namespace {

void add_result(pool& pool,
                pool_output& out,
                const pool_job& job,
                uint32_t task,
                const pool_task& state) {
  wire::run_result result;
  result.set_submission(job.request.submission());
  result.set_step(job.request.step());
  result.set_task(task);
  result.set_outcome(state.outcome);
  result.set_started(job.started);
  for (auto& [host, results] : out.results) {
    if (host == job.from) {
      *results.add_results() = std::move(result);
      return;
    }
  }
  auto peer = pool.peers.find(job.from);
  if (peer != pool.peers.end())
    ++peer->second.results_sent;
  out.results.emplace_back(job.from, wire::run_results());
  *out.results.back().second.add_results() = std::move(result);
}

// Whether tasks of the submission are here and none of them may have run.
bool is_unstarted(const pool& pool, uint64_t submission) {
  auto first = pool.jobs.lower_bound({submission, 0});
  auto last = pool.jobs.lower_bound({submission + 1, 0});
  return first != last && std::none_of(first, last, [](const auto& item) {
           return item.second.started;
         });
}

// Why the runs of a submission are not wanted any more.
enum class orphan_cause { released, superseded, entry_host_lost };

std::string_view to_string(orphan_cause cause) {
  switch (cause) {
    case orphan_cause::released:
      return "released";
    case orphan_cause::superseded:
      return "superseded";
    case orphan_cause::entry_host_lost:
      return "entry_host_lost";
  }
  return "unknown";
}

// When the entry host of the job was last known to want its runs.
unix_ms last_wanted_ms(const pool& pool, const pool_job& job) {
  auto peer = pool.peers.find(job.from);
  return peer == pool.peers.end() ? 0 : last_wanted_ms(peer->second);
}

// `wanted_ms`: when the run was last known to be wanted.
void orphan_run(leased_upstream& upstream,
                const std::string& name,
                orphan_cause cause,
                unix_ms wanted_ms,
                unix_ms now,
                pool_output& out) {
  leased_run& run = upstream.runs.at(name);
  // 0 stands for a run that is wanted.
  wanted_ms = std::max<unix_ms>(wanted_ms, 1);
  if (run.orphaned_ms != 0) {
    run.orphaned_ms = std::min(run.orphaned_ms, wanted_ms);
    return;
  }
  run.orphaned_ms = wanted_ms;
  out.events.push_back(
      {"run_orphaned",
       fmt::format("task={} attempt={} upstream={} cause={} unwanted_ms={}",
                   name, run.attempt, upstream.info.id(), to_string(cause),
                   now - run.orphaned_ms)});
}

// Stops the runs of the submission, which were wanted until `wanted_ms` at the
// latest, and removes it.
void cancel_submission(pool& pool,
                       uint64_t submission,
                       orphan_cause cause,
                       unix_ms wanted_ms,
                       unix_ms now,
                       pool_output& out) {
  auto found = pool.jobs.lower_bound({submission, 0});
  while (found != pool.jobs.end() && found->first.first == submission) {
    pool_job& job = found->second;
    pool.queue.erase(key_of(job));
    for (const auto& [task, state] : job.tasks) {
      auto placed = pool.placed.find(task_name(job.request, task));
      if (placed == pool.placed.end())
        continue;
      leased_upstream& upstream = pool.upstreams[placed->second];
      if (upstream.runs[placed->first].submission != submission)
        continue;
      orphan_run(upstream, placed->first, cause,
                 std::min(wanted_ms, last_wanted_ms(pool, job)), now, out);
      stop_run(pool, upstream, placed->first, now, out);
    }
    found = pool.jobs.erase(found);
  }
}

bool release_submission(pool& pool,
                        uint64_t submission,
                        orphan_cause cause,
                        unix_ms wanted_ms,
                        unix_ms now,
                        pool_output& out) {
  auto [found, is_first] = pool.released.try_emplace(submission);
  found->second.released_ms = now;
  if (is_first)
    found->second.unstarted = is_unstarted(pool, submission);
  cancel_submission(pool, submission, cause, wanted_ms, now, out);
  return found->second.unstarted;
}

// Ends all other submissions of the same job.
void supersede(pool& pool,
               const wire::run_request& request,
               unix_ms now,
               pool_output& out) {
  std::vector<uint64_t> superseded;
  for (const auto& [id, job] : pool.jobs) {
    if (job.request.job() == request.job() && id.first != request.submission())
      superseded.push_back(id.first);
  }
  for (uint64_t submission : superseded) {
    out.events.push_back(
        {"job_superseded", fmt::format("job={}", request.job())});
    release_submission(pool, submission, orphan_cause::superseded, now, now,
                       out);
  }
}

void cancel_peer_jobs(pool& pool,
                      const std::string& host,
                      unix_ms now,
                      pool_output& out) {
  std::set<uint64_t> submissions;
  for (const auto& [id, job] : pool.jobs) {
    if (job.from == host)
      submissions.insert(id.first);
  }
  for (uint64_t submission : submissions)
    cancel_submission(pool, submission, orphan_cause::entry_host_lost, now, now,
                      out);
  if (!submissions.empty())
    out.events.push_back(
        {"entry_host_lost",
         fmt::format("host={} jobs={}", host, submissions.size())});
}

}  // namespace

std::string task_name(const wire::run_request& request, uint32_t task) {
  return task_name(request.job(), request.step(), task);
}

pool_job* find_job(pool& pool, const leased_run& run) {
  auto found = pool.jobs.find({run.submission, run.step});
  return found == pool.jobs.end() ? nullptr : &found->second;
}

bool adopt_task(pool& pool, pool_job& job, uint32_t task, pool_output& out) {
  std::string name = task_name(job.request, task);
  auto ended = pool.unclaimed_ends.find(name);
  if (ended != pool.unclaimed_ends.end() &&
      ended->second.first == run_end::done) {
    job.started = true;
    settle_task(pool, job, task, wire::RUN_DONE, out);
    pool.unclaimed_ends.erase(ended);
    return true;
  }
  auto placed = pool.placed.find(name);
  if (placed == pool.placed.end())
    return false;
  leased_upstream& upstream = pool.upstreams[placed->second];
  leased_run& run = upstream.runs[name];
  if (run.submission != 0 || run.state == run_state::stopping)
    return false;
  run.submission = job.request.submission();
  run.step = job.request.step();
  run.task = task;
  release_resources(upstream, run.need);
  run.need = job.request.need();
  reserve_resources(upstream, run.need);
  pool.placement_due = true;
  pool_task& state = job.tasks[task];
  state.queued = false;
  state.returnable = false;
  job.started = true;
  state.next_attempt = run.attempt + 1;
  out.events.push_back(
      {"run_adopted", fmt::format("task={} attempt={} upstream={}", name,
                                  run.attempt, upstream.info.id())});
  return true;
}

void enqueue_task(pool& pool, pool_job& job, uint32_t task) {
  job.tasks[task].queued = true;
  pool.queue.insert(key_of(job));
  pool.placement_due = true;
}

void settle_task(pool& pool,
                 pool_job& job,
                 uint32_t task,
                 wire::run_outcome outcome,
                 pool_output& out) {
  pool_task& state = job.tasks[task];
  state.queued = false;
  state.outcome = outcome;
  bool has_queued =
      std::any_of(job.tasks.begin(), job.tasks.end(),
                  [](const auto& item) { return item.second.queued; });
  if (!has_queued)
    pool.queue.erase(key_of(job));
  add_result(pool, out, job, task, state);
}

// Ends the task if it was lost too often. Returns whether it was.
static bool give_up_lost_task(pool& pool,
                              pool_job& job,
                              uint32_t task,
                              pool_output& out) {
  loss_verdict verdict = judge_task(pool.losses, task_name(job.request, task));
  if (verdict == loss_verdict::none)
    return false;
  job.started = true;
  settle_task(
      pool, job, task,
      verdict == loss_verdict::crashed ? wire::RUN_CRASHED : wire::RUN_LOST,
      out);
  return true;
}

void task_run_settled(pool& pool,
                      const leased_run& run,
                      const std::string& upstream,
                      run_end how,
                      pool_output& out) {
  pool_job* job = find_job(pool, run);
  if (job == nullptr)
    return;
  pool_task& task = job->tasks[run.task];
  if (task.outcome != wire::RUN_UNSPECIFIED)
    return;
  if (how == run_end::done) {
    settle_task(pool, *job, run.task, wire::RUN_DONE, out);
    return;
  }
  if (how == run_end::failed) {
    ++task.failures;
    task.failed_on.insert(upstream);
  }
  task.next_attempt = std::max(task.next_attempt, run.attempt + 1);
  if (task.failures >= job->request.max_attempts()) {
    settle_task(pool, *job, run.task, wire::RUN_FAILED, out);
    return;
  }
  if (give_up_lost_task(pool, *job, run.task, out))
    return;
  task.suspect = is_suspect(pool.losses, task_name(job->request, run.task));
  enqueue_task(pool, *job, run.task);
}

void request_runs(pool& pool,
                  const std::string& from,
                  const wire::run_request& request,
                  unix_ms now,
                  pool_output& out) {
  if (pool.token == 0)
    return;
  auto peer = pool.peers.find(from);
  if (peer != pool.peers.end())
    ++peer->second.requests_received;
  if (pool.released.contains(request.submission()))
    return;
  supersede(pool, request, now, out);
  pool_job_id id{request.submission(), request.step()};
  auto [found, added] = pool.jobs.try_emplace(id);
  pool_job& job = found->second;
  job.from = from;
  if (added) {
    job.request = request;
    job.request.clear_tasks();
    job.request.clear_losses();
    job.requested_ms = now;
    job.deadline_ms = now + request.remaining_ms();
    job.objective_ms = now + request.aim_ms();
    job.started = request.resumed();
    job.former_upstreams = {request.former_upstreams().begin(),
                            request.former_upstreams().end()};
  }
  for (const wire::run_loss& loss : request.losses())
    record_loss(pool.losses, loss, now);
  size_t new_tasks = 0;
  for (uint32_t task : request.tasks()) {
    auto [state, is_new] = job.tasks.try_emplace(task);
    new_tasks += is_new ? 1 : 0;
    if (state->second.outcome != wire::RUN_UNSPECIFIED) {
      add_result(pool, out, job, task, state->second);
    } else if (is_new && !adopt_task(pool, job, task, out)) {
      state->second.returnable = request.returnable() && !request.resumed();
      enqueue_task(pool, job, task);
    }
    std::string name = task_name(request, task);
    state->second.suspect = is_suspect(pool.losses, name);
    if (state->second.queued)
      give_up_lost_task(pool, job, task, out);
  }
  record_load(pool, request, new_tasks, now);
}

size_t return_tasks(pool& pool,
                    const pool_job_id& id,
                    unix_ms now,
                    pool_output& out) {
  auto found = pool.jobs.find(id);
  if (found == pool.jobs.end())
    return 0;
  pool_job& job = found->second;
  size_t returned = 0;
  for (auto item = job.tasks.begin(); item != job.tasks.end();) {
    auto& [index, task] = *item;
    bool may_return = task.queued && std::exchange(task.returnable, false);
    // A run that was ordered for another submission of the job must end first;
    // in another pool the task would not wait for it.
    if (!may_return || pool.placed.contains(task_name(job.request, index))) {
      ++item;
      continue;
    }
    task.outcome = wire::RUN_RETURNED;
    add_result(pool, out, job, index, task);
    ++returned;
    item = job.tasks.erase(item);
  }
  if (returned == 0)
    return 0;
  subtract_load(pool, job.request, returned, now);
  bool has_queued =
      std::any_of(job.tasks.begin(), job.tasks.end(),
                  [](const auto& item) { return item.second.queued; });
  if (!has_queued)
    pool.queue.erase(key_of(job));
  if (job.tasks.empty())
    pool.jobs.erase(found);
  return returned;
}

bool release_runs(pool& pool,
                  uint64_t submission,
                  unix_ms echo_ms,
                  unix_ms now,
                  pool_output& out) {
  return release_submission(pool, submission, orphan_cause::released, echo_ms,
                            now, out);
}

bool update_peer(pool& pool,
                 const std::string& host,
                 uint64_t incarnation,
                 unix_ms echo_ms,
                 unix_ms now,
                 pool_output& out) {
  bool is_recent = echo_ms <= now && now - echo_ms <= PEER_TIMEOUT_MS;
  if (!is_recent)
    return false;
  auto [found, added] = pool.peers.try_emplace(host);
  pool_peer& peer = found->second;
  if (!added && peer.incarnation != incarnation) {
    cancel_peer_jobs(pool, host, now, out);
    peer = {};
  }
  peer.incarnation = incarnation;
  peer.last_contact_ms = std::max(peer.last_contact_ms, echo_ms);
  return true;
}

wire::pool_state answer_hello(pool& pool,
                              const std::string& host,
                              const wire::pool_hello& hello,
                              unix_ms now) {
  wire::pool_state state = describe_pool(pool, now);
  auto found = pool.peers.find(host);
  if (found == pool.peers.end())
    return state;
  pool_peer& peer = found->second;
  state.set_results(peer.results_sent);
  state.set_requests_lost(peer.requests_received != hello.requests());
  peer.requests_received = hello.requests();
  pool.placement_due = pool.placement_due ||
                       hello.have_upstreams() > peer.known_upstreams_version;
  peer.known_upstreams_version = hello.have_upstreams();
  peer.unconfirmed_release_ms =
      hello.unconfirmed_echo_ms() > 0 ? hello.unconfirmed_echo_ms() : INT64_MAX;
  state.set_upstreams_version(pool.upstreams_version);
  if (hello.have_upstreams() == pool.upstreams_version)
    return state;
  for (const auto& [id, upstream] : pool.upstreams)
    state.add_upstreams(id);
  return state;
}

void expire_released(pool& pool, unix_ms now) {
  // Requests that are older than this are ignored (see `update_peer`).
  std::erase_if(pool.released, [now](const auto& item) {
    return now - item.second.released_ms > 2 * PEER_TIMEOUT_MS;
  });
}

void expire_peers(pool& pool, unix_ms now, pool_output& out) {
  std::vector<std::string> silent;
  for (const auto& [host, peer] : pool.peers) {
    if (now - peer.last_contact_ms > PEER_TIMEOUT_MS)
      silent.push_back(host);
  }
  for (const std::string& host : silent) {
    cancel_peer_jobs(pool, host, now, out);
    pool.peers.erase(host);
  }
}

}  // namespace cyclamenwood
