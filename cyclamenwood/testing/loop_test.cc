// Tests of the event loop: its runs and how they are stopped.
#include "cyclamenwood/loop.h"

#include <gtest/gtest.h>

namespace cyclamenwood {
namespace {

// Guards against a daemon that goes on after an error while it starts: libev
// forgets a stop that comes before the loop runs.
TEST(event_loop, a_stop_before_the_run_is_not_lost) {
  event_loop loop;
  bool has_run = false;
  loop.post([&] {
    has_run = true;
    loop.stop();
  });
  loop.stop();
  loop.run();
  EXPECT_FALSE(has_run);
}

// Guards against a stop that also ends the runs after the one it was meant for.
TEST(event_loop, a_stop_ends_one_run) {
  event_loop loop;
  int runs = 0;
  for (int run = 1; run <= 2; ++run) {
    loop.post([&] {
      ++runs;
      loop.stop();
      loop.stop();
    });
    loop.run();
    EXPECT_EQ(runs, run);
  }
}

}  // namespace
}  // namespace cyclamenwood
