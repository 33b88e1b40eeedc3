// Which jobs an entry host accepts while its processor is behind.
#include "cyclamenwood/admission.h"

#include <gtest/gtest.h>

#include <map>

namespace cyclamenwood {
namespace {

constexpr int64_t RUN_MS = 200;

class admission_test : public testing::Test {
 protected:
  // Handles `count` ticks, each `delay_ms` after it was due.
  void tick(int count, int64_t delay_ms) {
    for (int i = 0; i < count; ++i) {
      now += HOST_TICK_INTERVAL_MS + delay_ms;
      record_tick(state, now);
      for (uint32_t priority = 0; priority < priorities; ++priority)
        submit(priority);
    }
  }

  bool submit(uint32_t priority, int64_t objective_ms = 10'000) {
    bool accepted =
        admit(state, {priority, 5, RUN_MS, now + objective_ms}, now);
    ++arrived[priority];
    refused[priority] += accepted ? 0 : 1;
    return accepted;
  }

  int refusals() const {
    int sum = 0;
    for (const auto& [priority, count] : refused)
      sum += count;
    return sum;
  }

  admission_state state;
  unix_ms now = 1'000'000;
  uint32_t priorities = 1;
  std::map<uint32_t, int> arrived;
  std::map<uint32_t, int> refused;
};

TEST_F(admission_test, a_host_with_timely_ticks_refuses_nothing) {
  priorities = 3;
  tick(500, 10);
  EXPECT_EQ(refusals(), 0);
}

TEST_F(admission_test, a_stall_leads_to_no_refusal) {
  tick(5, 0);
  tick(1, 400);
  tick(1, 60);
  tick(50, 0);
  EXPECT_EQ(refusals(), 0);
}

TEST_F(admission_test, repeated_stalls_lead_to_no_refusals) {
  for (int i = 0; i < 20; ++i) {
    tick(1, 150);
    tick(5, 0);
  }
  EXPECT_EQ(refusals(), 0);
}

TEST_F(admission_test, a_host_that_stays_behind_refuses_most_jobs) {
  tick(40, 100);
  refused.clear();
  tick(20, 100);
  EXPECT_GE(refusals(), 18);
}

TEST_F(admission_test, some_jobs_are_accepted_however_late_a_host_is) {
  tick(200, 100);
  refused.clear();
  tick(100, 100);
  EXPECT_LT(refusals(), 100);
}

TEST_F(admission_test, the_lowest_priority_is_refused_first) {
  priorities = 3;
  tick(5, 0);
  tick(7, 60);
  EXPECT_EQ(refused[0], 0);
  EXPECT_GT(refused[2], 0);
  EXPECT_GE(refused[2], refused[1]);
}

TEST_F(admission_test, a_job_that_would_miss_its_objective_is_refused) {
  tick(1, 0);
  tick(2, 100);
  ASSERT_TRUE(is_behind(state, now));
  EXPECT_FALSE(submit(0, RUN_MS + 200));
}

TEST_F(admission_test, a_large_refused_job_does_not_shut_out_lower_priorities) {
  tick(40, 0);
  state.accepted_share = 0.9;
  constexpr uint32_t LARGE_JOB_EVENTS = 20'001;
  admit(state, {0, LARGE_JOB_EVENTS, RUN_MS, now + 10'000}, now);
  int accepted = 0;
  for (int i = 0; i < 50; ++i) {
    now += HOST_TICK_INTERVAL_MS;
    record_tick(state, now);
    accepted += submit(1) ? 1 : 0;
  }
  EXPECT_GT(accepted, 0);
}

TEST_F(admission_test, all_jobs_are_accepted_soon_after_the_load_has_fallen) {
  tick(30, 100);
  tick(105, 0);
  refused.clear();
  tick(20, 0);
  EXPECT_EQ(refusals(), 0);
}

}  // namespace
}  // namespace cyclamenwood
