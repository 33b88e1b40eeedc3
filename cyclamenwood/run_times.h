// Learns the speeds of upstreams and the accuracy of callers' estimates from
// completed runs.
//
// Each run is compared with the time that was expected of it: the caller's
// estimate, corrected by the kind of task and divided by the upstream's speed.
// Speeds are relative: the median of the upstreams of a service is 1.
//
// Callers' estimates are off by 40% and one task in thirty takes seven times as
// long as the others. A run therefore counts as at most MAX_RATIO times its
// expected time, the first runs are weighed against a prior, and speeds are
// said to differ only if the difference exceeds their standard errors.
//
//   record_run(times, speed, {"fit-desk", 0}, estimate_ms, measured_ms, now);
//   decay(speed.totals, now); ... normalize_speeds(speeds_of_service);
//   if (speeds_differ(speeds_of_service)) ...
#ifndef CYCLAMENWOOD_RUN_TIMES_H_
#define CYCLAMENWOOD_RUN_TIMES_H_

#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>

#include "cyclamenwood/types.h"

namespace cyclamenwood {

// Half-life of the weight of a run. An upstream of a pool completes some seven
// runs a second, so that the sums then hold about a hundred: enough to tell
// 0.8 from 1.25 where estimates are off by 40%.
constexpr double RUN_HALF_LIFE_MS = 10'000;
// Weight of the prior, in runs. It isn't decayed: an upstream that completed no
// run for long returns to it.
constexpr double PRIOR_RUNS = 5;
// A run counts as at most this many times its expected time.
constexpr double MAX_RATIO = 3;
// Speeds take effect where they differ by this factor.
constexpr double MIN_SPEED_RATIO = 1.25;

// Exponentially decayed sums over runs of the ratio of measured to expected
// time.
struct run_totals {
  double runs = 0;
  double ratios = 0;
  double squares = 0;
  unix_ms read_ms = 0;
};

struct upstream_speed {
  run_totals totals;
  // As of the last normalization; 1: usual.
  double speed = 1;
  double logged_speed = 1;
};

// Service and priority.
using run_kind = std::pair<std::string, uint32_t>;

struct run_times {
  // Ratio of the run time at speed 1 to the caller's estimate.
  std::map<run_kind, run_totals> kinds;
  // Services whose upstreams have different speeds.
  std::set<std::string> uneven_services;
  unix_ms refreshed_ms = 0;
};

// Decays the sums to the current time.
void decay(run_totals& totals, unix_ms now);

// Returns the mean ratio, with the prior's.
double mean_ratio(const run_totals& totals);

// Returns the factor by which estimates of this kind are corrected.
double estimate_correction(const run_times& times, const run_kind& kind);

// Records a completed run.
void record_run(run_times& times,
                upstream_speed& speed,
                const run_kind& kind,
                int64_t estimate_ms,
                int64_t measured_ms,
                unix_ms now);

// Updates the speeds of the upstreams of a service so that their median is 1.
void normalize_speeds(std::span<upstream_speed* const> speeds);

// Whether two of the speeds differ by MIN_SPEED_RATIO or more, and by more than
// can be due to chance.
bool speeds_differ(std::span<upstream_speed* const> speeds);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_RUN_TIMES_H_
