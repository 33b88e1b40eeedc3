// Tests of the learned speeds of upstreams, with estimates that are off by 40%
// and one task in thirty that takes seven times as long as the others.
#include "cyclamenwood/run_times.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace cyclamenwood {
namespace {

constexpr int64_t REFRESH_MS = 100;

// The completed runs of a pool: 75 a second, in jobs of four tasks that share
// the error of their estimate.
class completed_runs {
 public:
  completed_runs(uint64_t seed, std::vector<double> true_speeds)
      : random_(seed),
        true_speeds_(std::move(true_speeds)),
        learned_(true_speeds_.size()) {}

  // Returns the share of the refreshes after which speeds took effect.
  double play(int64_t span_ms) {
    int refreshes = 0;
    int uneven = 0;
    for (unix_ms end = now_ + span_ms; now_ < end; ++refreshes) {
      now_ += REFRESH_MS;
      // Two jobs of four tasks.
      complete_job();
      complete_job();
      uneven += refresh() ? 1 : 0;
    }
    return static_cast<double>(uneven) / refreshes;
  }

  bool refresh() {
    std::vector<upstream_speed*> speeds;
    for (upstream_speed& learned : learned_) {
      decay(learned.totals, now_);
      speeds.push_back(&learned);
    }
    normalize_speeds(speeds);
    return speeds_differ(speeds);
  }

  void set_true_speed(size_t upstream, double speed) {
    true_speeds_[upstream] = speed;
  }
  double learned(size_t upstream) const { return learned_[upstream].speed; }
  const run_times& times() const { return times_; }

  // The estimates of this priority are too low by this factor.
  double underestimate = 1;

 private:
  void complete_job() {
    uint32_t priority = std::uniform_int_distribution<uint32_t>(0, 2)(random_);
    int64_t size_ms = std::vector<int64_t>{55, 185, 830}[priority];
    double error = std::lognormal_distribution<>(0, 0.4)(random_);
    auto estimate_ms = static_cast<int64_t>(static_cast<double>(size_ms) /
                                            error / underestimate);
    for (int task = 0; task < 4; ++task) {
      auto upstream = std::uniform_int_distribution<size_t>(
          0, true_speeds_.size() - 1)(random_);
      bool is_long = std::uniform_int_distribution<>(0, 29)(random_) == 0;
      double run_ms = static_cast<double>(size_ms) * (is_long ? 7 : 1) /
                      true_speeds_[upstream];
      record_run(times_, learned_[upstream], {"s", priority}, estimate_ms,
                 static_cast<int64_t>(run_ms), now_);
    }
  }

  std::mt19937_64 random_;
  unix_ms now_ = 1'000'000;
  std::vector<double> true_speeds_;
  std::vector<upstream_speed> learned_;
  run_times times_;
};

// Guards against a preference for upstreams that only seem faster.
TEST(run_times, equal_upstreams_are_not_told_apart_by_noise) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    completed_runs pool(seed, std::vector<double>(12, 1.0));
    EXPECT_EQ(pool.play(60'000), 0) << seed;
  }
}

// Guards against speeds that take effect too late or not at all. The slower and
// faster third are 0.6 and 1.6.
TEST(run_times, different_speeds_are_learned) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    completed_runs pool(seed, {0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6});
    pool.play(5'000);
    EXPECT_TRUE(pool.refresh()) << seed;
    pool.play(15'000);
    EXPECT_EQ(pool.play(20'000), 1) << seed;
    // Closer to its own speed than to that of another third.
    for (size_t i = 0; i < 9; ++i)
      EXPECT_NEAR(pool.learned(i), (std::vector<double>{0.6, 1, 1.6})[i % 3],
                  i % 3 == 2 ? 0.4 : 0.25)
          << seed;
  }
}

// Guards against a few fast or slow upstreams that are taken for usual ones.
TEST(run_times, a_smaller_difference_is_learned) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    completed_runs pool(seed, {0.8, 1, 1.25, 0.8, 1, 1.25, 0.8, 1, 1.25});
    pool.play(30'000);
    EXPECT_GE(pool.play(30'000), 0.8) << seed;
  }
}

// Guards against a speed that one task distorts: after 20 runs it changes by at
// most 2 / (20 + PRIOR_RUNS) of itself, 8%, however long the task takes.
TEST(run_times, one_outlier_does_not_distort_a_speed) {
  run_times times;
  upstream_speed learned;
  upstream_speed* const speeds[] = {&learned};
  for (int run = 0; run < 20; ++run)
    record_run(times, learned, {"s", 0}, 100, 100, 1'000);
  double before = 1 / mean_ratio(learned.totals);
  record_run(times, learned, {"s", 0}, 100, 100'000, 1'000);
  double after = 1 / mean_ratio(learned.totals);
  EXPECT_LT(after, before);
  EXPECT_GE(after, before * (1 - 2 / (20 + PRIOR_RUNS)));
  EXPECT_FALSE(speeds_differ(speeds));
}

// Guards against a speed that stays usual after a fault on its upstream.
TEST(run_times, an_upstream_that_turns_slow_is_noticed) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    completed_runs pool(seed, std::vector<double>(9, 1.0));
    pool.play(30'000);
    pool.set_true_speed(4, 0.3);
    pool.play(10'000);
    EXPECT_TRUE(pool.refresh()) << seed;
    EXPECT_LT(pool.learned(4), 0.75) << seed;
  }
}

// Guards against estimates of a kind that are all too low being taken for slow
// upstreams.
TEST(run_times, low_estimates_are_corrected_by_kind) {
  completed_runs pool(1, std::vector<double>(9, 1.0));
  pool.underestimate = 2;
  pool.play(30'000);
  EXPECT_FALSE(pool.refresh());
  for (uint32_t priority : {0U, 1U, 2U})
    EXPECT_GT(estimate_correction(pool.times(), {"s", priority}), 1.6);
}

// Guards against a speed that is kept though nothing is known of the upstream
// any more.
TEST(run_times, an_old_speed_returns_to_the_prior) {
  run_times times;
  upstream_speed learned;
  upstream_speed usual;
  for (int run = 0; run < 50; ++run) {
    record_run(times, learned, {"s", 0}, 100, 200, 1'000);
    // Most runs are as long as estimated, so that the kind needs no correction.
    for (int other = 0; other < 5; ++other)
      record_run(times, usual, {"s", 0}, 100, 100, 1'000);
  }
  EXPECT_GT(mean_ratio(learned.totals), 1.2);
  decay(learned.totals, 1'000 + 120'000);
  EXPECT_NEAR(mean_ratio(learned.totals), 1, 0.01);
}

}  // namespace
}  // namespace cyclamenwood
