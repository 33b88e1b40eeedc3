// Functions that the files of the pool share; not part of the interface.
#ifndef CYCLAMENWOOD_POOL_INTERNAL_H_
#define CYCLAMENWOOD_POOL_INTERNAL_H_

#include <string>

#include "cyclamenwood/pool.h"

namespace cyclamenwood {

// "JOB.0.STEP.TASK": the name by which upstreams know a task.
std::string task_name(const wire::run_request& request, uint32_t task);

// ---- pool_jobs.cc -----------------------------------------------------------

// Nothing for a run that nobody asks for.
pool_job* find_job(pool& pool, const leased_run& run);

// Binds a run or an end that a new owner found to the task that it is of.
bool adopt_task(pool& pool, pool_job& job, uint32_t task, pool_output& out);

void enqueue_task(pool& pool, pool_job& job, uint32_t task);
void settle_task(pool& pool,
                 pool_job& job,
                 uint32_t task,
                 wire::run_outcome outcome,
                 pool_output& out);

// What a settled run means for its task.
void task_run_over(pool& pool,
                   const leased_run& run,
                   const std::string& upstream,
                   run_end how,
                   pool_output& out);

void forget_released(pool& pool, unix_ms now);
void expire_peers(pool& pool, unix_ms now, pool_output& out);

// ---- pool_runs.cc -----------------------------------------------------------

void start_run(pool& pool,
               leased_upstream& upstream,
               pool_job& job,
               uint32_t task,
               unix_ms now,
               pool_output& out);
void stop_run(pool& pool,
              leased_upstream& upstream,
              const std::string& name,
              unix_ms now,
              pool_output& out);

// ---- pool_progress.cc -------------------------------------------------------

// Takes in what a list tells of a run: moves its task elsewhere, or gives its
// job up, when it makes too little progress.
void judge_progress(pool& pool,
                    leased_upstream& upstream,
                    const listed_run& listed,
                    unix_ms now,
                    pool_output& out);

// Counts an attempt for or against the upstream; may eject it.
void record_attempt(pool& pool,
                    leased_upstream& upstream,
                    attempt_verdict verdict,
                    unix_ms now,
                    pool_output& out);

// ---- pool_refuse.cc ---------------------------------------------------------

// Counts work that arrives.
void count_load(pool& pool, const wire::run_request& request, unix_ms now);

// Whether more work arrives than this much processor room can do.
bool is_overloaded(const pool& pool,
                   const std::string& service,
                   int64_t room_milli,
                   unix_ms now);

// Processor room (thousandths) times estimated time (ms) of the queued tasks.
double queued_work_of(const pool_job& job);

// Gives up untried jobs that wait behind more work than can be done in time.
void refuse_hopeless(pool& pool, unix_ms now, pool_output& out);

// ---- pool_place.cc ----------------------------------------------------------

// Where the task would run best now; nothing when no upstream has room.
leased_upstream* choose_upstream(pool& pool,
                                 const pool_job& job,
                                 const pool_task& task,
                                 unix_ms now);
bool may_take_work(const leased_upstream& upstream, unix_ms now);
bool is_expired(const pool_job& job, unix_ms now);
void expire_job(pool& pool, pool_job& job, pool_output& out);
// When the job must start to meet its objective, or its caller at least.
unix_ms latest_start_ms(const pool_job& job);
room_sum free_room(const leased_upstream& upstream);
void take_room(leased_upstream& upstream, const wire::room& need);
void give_room_back(leased_upstream& upstream, const wire::room& need);
queue_key key_of(const pool_job& job);

// Moves queued jobs that can't meet their objective any more behind the
// others.
void sort_out_late(pool& pool, unix_ms now);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_POOL_INTERNAL_H_
