// Functions shared by the source files of the intake; not part of its
// interface.
#ifndef CYCLAMENWOOD_INTAKE_INTERNAL_H_
#define CYCLAMENWOOD_INTAKE_INTERNAL_H_

#include <string_view>

#include "cyclamenwood/intake.h"

namespace cyclamenwood {

// Lower bound of the retry time of refusals: the shortest that can be sent, in
// whole seconds.
constexpr int64_t MIN_RETRY_AFTER_MS = 1'000;

// ---- intake_plan.cc ---------------------------------------------------------

// The pools chosen for tasks of a step, and the remaining capacity of all
// pools.
struct step_plan {
  pool_plan pools;
  pool_capacities rooms;
};

// Returns the state reported by the current owner of the pool, or null when it
// has not sent any yet.
const pool_view* find_current_pool(const intake& intake,
                                   const std::string& name);

// Whether the pool's owner was heard lately.
bool is_fresh(const intake& intake, const std::string& name, unix_ms now);

// Whether the steps that the step depends on are complete, and it is not.
bool is_runnable(const intake_job& job, uint32_t index);
bool has_unassigned(const intake_step& step);
// Whether tasks are unassigned that could be sent.
bool has_unassigned_tasks(const intake_job& job);

// Plans the unassigned tasks of a step.
step_plan plan_step(const intake& intake,
                    const intake_job& job,
                    uint32_t index,
                    unix_ms now);
void apply_plan(intake& intake,
                intake_job& job,
                uint32_t index,
                step_plan&& planned);

// Returns whether a job that has not started cannot be served in time because
// it must wait: it would miss its deadline or, while more work arrives than can
// be done, its objective.
bool cannot_finish_in_time(const intake_job& job,
                           const pool_plan& plan,
                           unix_ms now);

// Whether nothing of the job was sent, and no pool serves it because of the
// evacuations in force. `plan` is the plan of its unassigned tasks.
bool is_unservable_by_evacuation(const intake& intake,
                                 const intake_job& job,
                                 const pool_plan& plan,
                                 unix_ms now);

// Tasks that are assigned to pools of evacuated zones and were not sent become
// unassigned.
void unassign_evacuated_tasks(intake& intake);

// ---- intake_end.cc ----------------------------------------------------------

// Returns the estimated time of the longest chain of dependent steps, which is
// the critical path.
int64_t critical_path_ms(const job_spec& job);

// Answers the callers of a job and removes it. `reason` is for the log;
// `wait_ms` is the time after which a refused job could be served.
void end_job(intake& intake,
             uint64_t submission,
             caller_outcome outcome,
             std::string_view reason,
             unix_ms now,
             intake_output& out,
             int64_t wait_ms = 0);

// Ends a job that can't be done in time: it is refused if its owners confirm
// that nothing of it was started.
void begin_refusal(intake& intake,
                   uint64_t submission,
                   unix_ms now,
                   intake_output& out);

// Removes a caller of a job that is to be refused. Returns whether it was one.
bool leave_refusal(intake& intake, uint64_t exchange);

// Answers the jobs whose owners did not confirm in time.
void tick_refusals(intake& intake, unix_ms now, intake_output& out);

// Removes a job and lets the owners of its pools release its runs.
void remove_job(intake& intake,
                uint64_t submission,
                unix_ms now,
                intake_output& out);

// The last time of its clock that the pool's owner reported, as sent back to
// it; 0 if there is none, or while callers may have left unseen.
int64_t echo_ms(const intake& intake, const std::string& pool);

// The earliest echo of the releases that the pool's owner has not confirmed; 0
// if there is none.
int64_t unconfirmed_echo_ms(const intake& intake, const std::string& pool);

// Sends the releases again that are due.
void tick_releases(intake& intake, unix_ms now, intake_output& out);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_INTAKE_INTERNAL_H_
