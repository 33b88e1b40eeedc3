// A tick that is handled late shows how long events wait for the processor. A
// single stall makes one tick late, and perhaps those during which the backlog
// is handled. Ticks that are late for longer than that show a load that the
// processor can't handle.
//
// While the host is behind, the accepted share falls with each late tick. It
// rises with each one that is in time. It therefore settles around the load
// that the processor can handle, whatever a job costs, and a short overload is
// forgotten within some ticks.
//
// The share is that of all arriving work. It is granted to the highest priority
// first; the next one gets what remains. Within a priority, jobs are accepted
// in equal distances.
#include "cyclamenwood/admission.h"

#include <algorithm>

namespace cyclamenwood {
namespace {

// A tick that is handled later than this is late.
constexpr int64_t LATE_TICK_MS = 30;
// How long ticks are late before the host counts as behind: longer than the
// backlog of a stall of some 100 ms lasts.
constexpr int64_t BEHIND_AFTER_MS = 100;
// Factors by which the accepted share changes with a tick.
constexpr double LATE_TICK_FACTOR = 0.9;
constexpr double TIMELY_TICK_FACTOR = 1.03;
constexpr double MIN_ACCEPTED_SHARE = 0.05;
// A larger job counts as this many events, so that its arrival alone, accepted
// or not, does not take the share of lower priorities for long.
constexpr uint32_t MAX_COUNTED_EVENTS = 100;
// Decay of the counted arrivals with each tick; half-life: 500 ms.
constexpr double ARRIVALS_FACTOR = 0.973;
// After its arrival a job waits for the processor twice at least: for the
// replies to its starts, and for the ends of its tasks. It has waited once
// before it was read.
constexpr int64_t WAITS_PER_JOB = 3;

int64_t last_delay_ms(const admission_state& admission) {
  return admission.last_handled_ms - admission.last_due_ms;
}

// Returns the part of the work of this priority that is accepted.
double share_of(const admission_state& admission, uint32_t priority) {
  if (admission.accepted_share >= 1)
    return 1;
  double total = 0;
  double higher = 0;
  for (const auto& [other, work] : admission.arriving) {
    total += work.events;
    higher += other < priority ? work.events : 0;
  }
  double own = admission.arriving.at(priority).events;
  double granted = admission.accepted_share * total - higher;
  return std::clamp(granted / own, 0.0, 1.0);
}

}  // namespace

void record_tick(admission_state& admission, unix_ms now) {
  unix_ms due_ms = admission.tick_due_ms == 0 ? now : admission.tick_due_ms;
  admission.last_due_ms = std::min(due_ms, now);
  admission.last_handled_ms = now;
  admission.tick_due_ms = now + HOST_TICK_INTERVAL_MS;
  for (auto& [priority, work] : admission.arriving)
    work.events *= ARRIVALS_FACTOR;
  if (last_delay_ms(admission) <= LATE_TICK_MS) {
    admission.behind_from_ms = INT64_MAX;
    admission.accepted_share =
        std::min(admission.accepted_share * TIMELY_TICK_FACTOR, 1.0);
    return;
  }
  if (admission.behind_from_ms == INT64_MAX)
    admission.behind_from_ms =
        admission.accepted_share < 1 ? now : now + BEHIND_AFTER_MS;
  if (is_behind(admission, now))
    admission.accepted_share = std::max(
        admission.accepted_share * LATE_TICK_FACTOR, MIN_ACCEPTED_SHARE);
}

bool is_behind(const admission_state& admission, unix_ms now) {
  return now >= admission.behind_from_ms;
}

bool admit(admission_state& admission, const arriving_job& job, unix_ms now) {
  arriving_work& work = admission.arriving[job.priority];
  work.events += std::min(job.events, MAX_COUNTED_EVENTS);
  int64_t waits_ms = WAITS_PER_JOB * last_delay_ms(admission);
  bool too_late = is_behind(admission, now) &&
                  now + waits_ms + job.path_ms > job.objective_ms;
  if (too_late)
    return false;
  work.credit += share_of(admission, job.priority);
  if (work.credit < 1)
    return false;
  work.credit -= 1;
  return true;
}

}  // namespace cyclamenwood
