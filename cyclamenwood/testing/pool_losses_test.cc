// Tests of what a pool does about upstreams that crash with its runs.
#include <gtest/gtest.h>

#include <numeric>

#include "cyclamenwood/testing/pool_fixture.h"

namespace cyclamenwood {
namespace {

class pool_losses : public pool_fixture {
 protected:
  // Adds upstreams that crash when they start this task.
  void add_fragile_upstreams(int count, const std::string& task) {
    for (int i = 1; i <= count; ++i)
      add_upstream("u" + std::to_string(i)).crashes_on =
          [task](const std::string& started) { return started == task; };
  }

  size_t crashes() const {
    return std::accumulate(upstreams.begin(), upstreams.end(), size_t{0},
                           [](size_t sum, const fake_upstream& upstream) {
                             return sum + upstream.crashed_by().size();
                           });
  }

  // A request whose caller waits long enough for many attempts.
  wire::run_request patient_request(const std::string& job, uint32_t tasks) {
    wire::run_request made = request(10, job, tasks);
    made.set_remaining_ms(60'000);
    return made;
  }
};

TEST_F(pool_losses, a_task_that_crashes_every_upstream_is_given_up) {
  add_fragile_upstreams(8, "j.0.0.0");
  own(1);
  run_until(now + 100);
  ask(patient_request("j", 1));
  run_until(now + 30'000);
  EXPECT_EQ(crashes(), 2U);
  ASSERT_EQ(reported.size(), 1U);
}

}  // namespace
}  // namespace cyclamenwood
