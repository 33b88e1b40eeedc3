// Load on upstreams of speeds 0.6, 1.0 and 1.6, with estimates that are off by
// 40% and one task in thirty that takes seven times as long as the others: what
// callers get with learned speeds and without.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <numeric>

#include "cyclamenwood/testing/zone_load.h"

namespace cyclamenwood {
namespace {

using zone_under_load = zone_load<unlimited_processor>;

constexpr uint64_t LONG_TASK_INTERVAL = 30;

// Pools of nine upstreams.
zone_load_options options_with(bool learn_speeds) {
  zone_load_options options;
  options.shards = 3;
  options.upstreams_per_shard = 9;
  options.uneven = false;
  // Of the jobs of 60, 900 and 200 ms.
  options.priorities = {0, 2, 1};
  options.queue_by_class = true;
  options.speeds = {0.6, 1.0, 1.6};
  options.estimate_spread = 0.4;
  options.long_task_interval = LONG_TASK_INTERVAL;
  options.learn_speeds = learn_speeds;
  return options;
}

// Jobs per second that need `load` of the upstreams' capacity.
double jobs_per_s(const zone_load_options& options, double load) {
  double slots = static_cast<double>(options.shards) *
                 options.upstreams_per_shard * options.upstream_cpu_milli /
                 1'000;
  double speed =
      std::accumulate(options.speeds.begin(), options.speeds.end(), 0.0) /
      static_cast<double>(options.speeds.size());
  double long_tasks = static_cast<double>(LONG_TASK_FACTOR - 1) /
                      static_cast<double>(LONG_TASK_INTERVAL);
  return load * slots * speed * 1'000 / (mean_work_ms() * (1 + long_tasks));
}

std::string summary(const zone_under_load& zone) {
  const zone_load_counts& counts = zone.counts();
  std::string text = fmt::format(
      "arrived={} in_time={} late={} refused={} ended={} discarded_ms={}",
      counts.arrived, counts.in_time, counts.late, counts.refused, counts.ended,
      zone.discarded_ms());
  for (const auto& [run_ms, in_time] : zone.in_time_by_class())
    text += fmt::format(" in_time_{}={}", run_ms, in_time);
  return text;
}

void compare(double load) {
  for (uint64_t seed : {1, 2, 3}) {
    zone_load_options with = options_with(true);
    zone_load_options without = options_with(false);
    zone_under_load learned(seed, with);
    zone_under_load plain(seed, without);
    learned.play(20'000, jobs_per_s(with, load));
    plain.play(20'000, jobs_per_s(without, load));
    std::string figures =
        fmt::format("load {} seed {}\n  learned: {}\n  plain: {}\n", load, seed,
                    summary(learned), summary(plain));
    fmt::print("{}", figures);
    EXPECT_GT(learned.counts().in_time, plain.counts().in_time) << figures;
    EXPECT_LT(learned.discarded_ms(), plain.discarded_ms()) << figures;
    EXPECT_FALSE(learned.ran_twice()) << figures;
    EXPECT_EQ(learned.unanswered(), 0U) << figures;
  }
}

// Guards against long tasks on slow upstreams and moves that gain nothing.
TEST(speeds_load, at_three_quarters_of_the_capacity_more_callers_are_served) {
  compare(0.75);
}

// As above, when little capacity is free.
TEST(speeds_load, near_the_capacity_more_callers_are_served) {
  compare(0.9);
}

// Guards against decisions that change where speeds have no effect: upstreams
// of equal speed, with the setting and without, get the same orders.
TEST(speeds_load, equal_upstreams_get_the_same_orders_as_without_the_setting) {
  for (uint64_t seed : {1, 2, 3}) {
    zone_load_options with = options_with(true);
    zone_load_options without = options_with(false);
    with.speeds = without.speeds = {1.0};
    zone_under_load learned(seed, with);
    zone_under_load plain(seed, without);
    learned.play(10'000, jobs_per_s(with, 0.9));
    plain.play(10'000, jobs_per_s(without, 0.9));
    EXPECT_GT(plain.orders_sent(), 1'000U) << seed;
    EXPECT_EQ(learned.orders_sent(), plain.orders_sent()) << seed;
    EXPECT_EQ(learned.orders_digest(), plain.orders_digest()) << seed;
  }
}

}  // namespace
}  // namespace cyclamenwood
