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
