// Functions shared by the source files of the pool; not part of its interface.
#ifndef CYCLAMENWOOD_POOL_INTERNAL_H_
#define CYCLAMENWOOD_POOL_INTERNAL_H_

#include <string>
#include <string_view>

#include "cyclamenwood/pool.h"

namespace cyclamenwood {

class reservation_plan;

// "JOB.0.STEP.TASK": the name of a task on upstreams.
std::string task_name(const wire::run_request& request, uint32_t task);

// ---- pool_jobs.cc -----------------------------------------------------------

// Returns null for a run that no entry host has requested.
pool_job* find_job(pool& pool, const leased_run& run);

// Assigns a run or an end that a new owner found to its task. Returns whether
// there was one.
bool adopt_task(pool& pool, pool_job& job, uint32_t task, pool_output& out);

void enqueue_task(pool& pool, pool_job& job, uint32_t task);
// Sets the outcome of the task and reports it to the entry host.
void settle_task(pool& pool,
                 pool_job& job,
                 uint32_t task,
                 wire::run_outcome outcome,
                 pool_output& out);

// Returns the queued tasks that may be returned and that no run or end found
// here may belong to; drops the job if no task remains. The result is their
// number.
size_t return_tasks(pool& pool,
                    const pool_job_id& id,
                    unix_ms now,
                    pool_output& out);

// Updates the task after its run was settled: the task is reported or queued
// again, unless it was lost too often.
void task_run_settled(pool& pool,
                      const leased_run& run,
                      const std::string& upstream,
                      run_end how,
                      pool_output& out);

void expire_released(pool& pool, unix_ms now);
void expire_peers(pool& pool, unix_ms now, pool_output& out);

// ---- pool_runs.cc -----------------------------------------------------------

// An unreachable upstream is removed after this time; upstreams announce
// themselves at least this often.
constexpr int64_t UPSTREAM_EXPIRY_MS = 20'000;

// `wait_ms`: how long the upstream may delay its reply until a run ends.
void send_renewal(pool& pool,
                  leased_upstream& upstream,
                  int64_t wait_ms,
                  unix_ms now,
                  pool_output& out);

// The resources of a run of unknown size: more than any upstream has, whatever
// its capacity becomes, so that nothing starts beside it.
wire::room unknown_need();

// Orders stops of the starts that this incarnation would still carry out. Their
// tasks are not started elsewhere before the stops are acknowledged.
void bar_unanswered_starts(pool& pool, leased_upstream& upstream, unix_ms now);

// The upstream was restarted under the same id, so that its end numbers and its
// clock start again. A run may belong to the previous incarnation, which has
// ended, or may have been ordered since the restart; only the next list tells
// which. An unanswered start may yet be carried out by the new incarnation,
// which did not receive any stop: the stop is sent to it again. It may have
// another capacity and other labels than the last one, so that it gets no task
// before it has announced itself.
void begin_new_incarnation(pool& pool,
                           leased_upstream& upstream,
                           uint64_t incarnation,
                           unix_ms now,
                           pool_output& out);

// Reserves the resources and orders the start of the task's next attempt.
void start_run(pool& pool,
               leased_upstream& upstream,
               pool_job& job,
               uint32_t task,
               unix_ms now,
               pool_output& out);
// Orders the stop of the run, unless that was done before.
void stop_run(pool& pool,
              leased_upstream& upstream,
              const std::string& name,
              unix_ms now,
              pool_output& out);

// Removes a settled run: its resources are free and its task may run elsewhere.
void end_run(pool& pool,
             leased_upstream& upstream,
             const std::string& name,
             run_end how,
             pool_output& out);

// ---- pool_leases.cc ---------------------------------------------------------

// When the entry host was last known to be alive and to want all runs that it
// has requested.
unix_ms last_wanted_ms(const pool_peer& peer);

// The time beyond which the lease of the upstream must not be extended, because
// of a run that nobody is known to want until then; INT64_MAX: none.
unix_ms lease_limit(const pool& pool, const leased_upstream& upstream);

// Whether a run that starts now would end before its job may be submitted
// again, whatever fails, and would last for long enough otherwise.
// `wanted_ms`: when its entry host was last known to be alive and to want it.
bool may_start_under_lease(const pool& pool,
                           const leased_upstream& upstream,
                           unix_ms wanted_ms,
                           unix_ms now);

// Returns the deadline of a lease that begins now, on the upstream's clock; 0
// if the lease can't be extended.
int64_t extend_lease(const pool& pool, leased_upstream& upstream, unix_ms now);

// A former owner may have extended the lease until now.
void assume_longest_lease(const pool& pool,
                          leased_upstream& upstream,
                          unix_ms now);

// ---- pool_losses.cc ---------------------------------------------------------

// What the owner knows of the end of an upstream that took a run with it.
enum class loss_evidence {
  // It had announced that it was leaving.
  left,
  // It didn't answer until its leases had expired: it may have crashed, or may
  // have been cut off.
  silent,
  // As above, and its host refused connections: no process was left there.
  refused,
  // A later incarnation of it answered or announced itself.
  restarted,
  // Another upstream answered at its address.
  replaced,
};

std::string_view to_string(loss_evidence evidence);

// Whether the upstream has acknowledged that it stopped the run.
bool is_stopped(const leased_run& run);

// Whether the run is none of this incarnation's, but only stopped there in case
// a start order for an earlier one arrives.
bool is_barred_start(const leased_run& run);

// The evidence for an upstream whose leases have expired.
loss_evidence evidence_of_silence(const leased_upstream& upstream);

// Reports the runs of an upstream that refuses connections as losses of unknown
// cause, long before its leases expire: until then this process may fail, and
// its successor does not know of these runs.
void report_likely_losses(pool& pool,
                          const leased_upstream& upstream,
                          unix_ms now,
                          pool_output& out);

// Ends a run that was lost together with its upstream.
void lose_run(pool& pool,
              leased_upstream& upstream,
              const std::string& name,
              loss_evidence evidence,
              unix_ms now,
              pool_output& out);

// As above, for all runs of the upstream.
void lose_all_runs(pool& pool,
                   leased_upstream& upstream,
                   loss_evidence evidence,
                   unix_ms now,
                   pool_output& out);

// ---- pool_progress.cc -------------------------------------------------------

// Updates the progress of a run from a list. If the run is too slow, moves its
// task to another upstream or abandons its job.
void check_progress(pool& pool,
                    leased_upstream& upstream,
                    const listed_run& listed,
                    unix_ms now,
                    pool_output& out);

// Records the outcome of an attempt on the upstream; may eject it.
void record_attempt(pool& pool,
                    leased_upstream& upstream,
                    attempt_verdict verdict,
                    unix_ms now,
                    pool_output& out);

// ---- pool_evacuate.cc -------------------------------------------------------

// Does not send the start again before the lists show whether it was carried
// out.
void defer_unanswered_start(leased_run& run, unix_ms now);

// When an upstream that is added now may take work.
unix_ms accepts_work_from_ms(const pool& pool, std::string_view upstream);

// Places the queued tasks of an evacuated pool: they are adopted, returned or
// ended.
void move_queued_tasks(pool& pool, unix_ms now, pool_output& out);

// ---- pool_forecast.cc -------------------------------------------------------

// Records the duration of a completed run, if the pool learns speeds.
void learn_run(pool& pool,
               leased_upstream& upstream,
               const pool_job& job,
               const leased_run& run,
               unix_ms now);

// Computes the speeds of the upstreams from the recorded runs, and logs those
// that changed.
void refresh_speeds(pool& pool, unix_ms now, pool_output& out);

// Whether the upstreams of the service are known to have different speeds. If
// not, speeds have no effect on placement, moves and capacity.
bool has_uneven_speeds(const pool& pool, const std::string& service);

// The upstream's speed, or 1 if its service's speeds are not known to differ.
double effective_speed(const pool& pool, const leased_upstream& upstream);

// The time that a task of the request is expected to take at speed 1.
double expected_size_ms(const pool& pool, const wire::run_request& request);

// The time that a task of the request is expected to take on the upstream.
int64_t expected_run_ms(const pool& pool,
                        const leased_upstream& upstream,
                        const wire::run_request& request);

// When the run is expected to end and to release its resources; INT64_MAX if
// nothing is known of it.
unix_ms expected_end_ms(const pool& pool,
                        const leased_upstream& upstream,
                        const leased_run& run,
                        unix_ms now);

// ---- pool_refuse.cc ---------------------------------------------------------

// Adds the work of `tasks` new tasks of the request to the load of its service.
void record_load(pool& pool,
                 const wire::run_request& request,
                 size_t tasks,
                 unix_ms now);

// Removes the work of `tasks` tasks of the request from the load of its
// service.
void subtract_load(pool& pool,
                   const wire::run_request& request,
                   size_t tasks,
                   unix_ms now);

// The upstream's processor capacity, weighted by its speed.
int64_t weighted_cpu_milli(const pool& pool, const leased_upstream& upstream);

// Whether work arrives faster than this processor capacity can process it.
bool is_overloaded(const pool& pool,
                   const std::string& service,
                   int64_t capacity_milli,
                   unix_ms now);

// The work of the queued tasks: processor capacity (thousandths of a core)
// times estimated time (ms).
double queued_work_of(const pool& pool, const pool_job& job);

// Rejects jobs that can't be served in time because of the work queued ahead of
// them, unless a start was ordered for one of their tasks.
void reject_unservable_jobs(pool& pool, unix_ms now, pool_output& out);

// ---- pool_place.cc ----------------------------------------------------------

// Returns the best upstream for the task `name`, or null if none has enough
// free resources. One that still has a run of this name is not chosen. Without
// a plan, upstreams that are reserved for waiting tasks are not chosen.
leased_upstream* choose_upstream(pool& pool,
                                 const pool_job& job,
                                 const pool_task& task,
                                 const std::string& name,
                                 const reservation_plan* plan,
                                 unix_ms now);
bool fits(const wire::room& need, const resource_amount& free);
bool has_label(const wire::upstream& upstream, const std::string& label);
// Whether tasks may be started on the upstream now.
bool may_take_work(const pool& pool,
                   const leased_upstream& upstream,
                   unix_ms now);
// Whether runs of a previous owner may belong to the job that the lists of
// upstreams have not shown yet.
bool must_wait_for_lists(const pool& pool, const pool_job& job, unix_ms now);
// Whether the job can't complete before its deadline any more, even if it takes
// only half of its estimated time.
bool is_expired(const pool_job& job, unix_ms now);
// Reports the queued tasks of the job as expired.
void expire_job(pool& pool, pool_job& job, pool_output& out);
// The latest start with which the job meets its objective or, if that is no
// longer possible, its deadline.
unix_ms latest_start_ms(const pool_job& job);
resource_amount free_resources(const leased_upstream& upstream);
void add_resources(resource_amount& amount, const wire::room& need);
void subtract_resources(resource_amount& amount, const wire::room& need);
void reserve_resources(leased_upstream& upstream, const wire::room& need);
void release_resources(leased_upstream& upstream, const wire::room& need);
queue_key key_of(const pool_job& job);

// Moves queued jobs that can no longer meet their objective behind the others.
void demote_late_jobs(pool& pool, unix_ms now);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_POOL_INTERNAL_H_
