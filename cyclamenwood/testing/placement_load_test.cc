// Load on the shards of one zone, without faults: what callers get when jobs
// arrive unevenly and each entry host knows the capacity of the other shards
// only from hellos that are up to 100 ms old.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "cyclamenwood/testing/zone_load.h"

namespace cyclamenwood {
namespace {

using zone_under_load = zone_load<unlimited_processor>;

// Jobs per second that need `load` of the upstreams' capacity.
double jobs_per_s(double load) {
  zone_load_options options;
  double slots = static_cast<double>(options.shards) *
                 options.upstreams_per_shard * options.upstream_cpu_milli /
                 1'000;
  return load * slots * 1'000 / mean_work_ms();
}

// The share of the jobs that completed within their objective.
double in_time(const zone_under_load& zone) {
  return static_cast<double>(zone.counts().in_time) /
         static_cast<double>(zone.counts().arrived);
}

// Wanted of the large deployment's calm load: 0.95 served in time.
TEST(placement_load, at_three_quarters_of_the_capacity_callers_are_served) {
  for (uint64_t seed : {1, 2, 3}) {
    zone_under_load zone(seed, {});
    zone.play(6'000, jobs_per_s(0.75));
    EXPECT_GE(in_time(zone), 0.95) << seed;
    EXPECT_EQ(zone.unanswered(), 0U) << seed;
    EXPECT_FALSE(zone.ran_twice()) << seed;
  }
}

// The same arrivals, with tasks that stay in the queue of the pool that was
// chosen from an outdated state.
TEST(placement_load, returned_tasks_serve_more_callers_than_queued_ones) {
  for (uint64_t seed : {1, 2, 3}) {
    zone_under_load returning(seed, {});
    zone_under_load queueing(seed, {.keep_returnable = false});
    returning.play(6'000, jobs_per_s(0.85));
    queueing.play(6'000, jobs_per_s(0.85));
    EXPECT_GT(in_time(returning), in_time(queueing)) << seed;
    RecordProperty(
        fmt::format("in_time_{}", seed),
        fmt::format("{:.3f} {:.3f}", in_time(returning), in_time(queueing)));
  }
}

}  // namespace
}  // namespace cyclamenwood
