// Admission of jobs by the processor time of an entry host.
//
// It answers load that an entry host can't handle although the upstreams have
// room: events wait for the processor, and each accepted job adds to the wait
// of all others. While the host is behind, only part of the arriving work is
// accepted, that of the highest priorities first, so that the jobs that were
// accepted are served within their objective. The others are refused on
// arrival.
//
//   admission_state admission;
//   record_tick(admission, now);  // on each tick
//   if (!admit(admission, {priority, events, path_ms, objective_ms}, now))
//     ... refuse the job ...
//
// The functions perform no I/O. Times are in milliseconds since the Unix epoch.
#ifndef CYCLAMENWOOD_ADMISSION_H_
#define CYCLAMENWOOD_ADMISSION_H_

#include <cstdint>
#include <map>

#include "cyclamenwood/types.h"

namespace cyclamenwood {

// Interval of the ticks of an entry host.
constexpr int64_t HOST_TICK_INTERVAL_MS = 20;

// The recent arrivals of one priority.
struct arriving_work {
  // Number of events, exponentially decayed.
  double events = 0;
  // Sum of the accepted shares of the jobs that arrived, less the jobs that
  // were accepted; a job is accepted when it reaches 1.
  double credit = 0;
};

struct admission_state {
  // When the next tick is due; 0: none was handled so far.
  unix_ms tick_due_ms = 0;
  // When the latest tick was due and was handled. Invariant: due <= handled.
  unix_ms last_due_ms = 0;
  unix_ms last_handled_ms = 0;
  // The host counts as behind from this time on, unless a tick is handled in
  // time before; INT64_MAX: the latest tick was handled in time.
  unix_ms behind_from_ms = INT64_MAX;
  // The part of the arriving work that is accepted.
  double accepted_share = 1;
  // By priority.
  std::map<uint32_t, arriving_work> arriving;
};

struct arriving_job {
  // 0 is served first.
  uint32_t priority = 0;
  // Number of events that the host handles for the job.
  uint32_t events = 0;
  // Estimated time that the job needs at upstreams.
  int64_t path_ms = 0;
  unix_ms objective_ms = 0;
};

// Takes the time at which a tick was handled.
void record_tick(admission_state& admission, unix_ms now);

// Returns whether events have waited for the processor for a while.
bool is_behind(const admission_state& admission, unix_ms now);

// Returns whether a job that was just received is to be accepted. To be called
// once for each job.
bool admit(admission_state& admission, const arriving_job& job, unix_ms now);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ADMISSION_H_
