// Stops that an unhealthy upstream refuses: they are not carried out, so that
// the run goes on.
#include "cyclamenwood/testing/pool_fixture.h"

namespace cyclamenwood {
namespace {

class refused_stops : public pool_fixture {
 protected:
  void release() {
    release_runs(state, 1, now, now, out);
    flush();
  }
};

// review/2: a stop that was answered with 503 counted as carried out, and was
// not sent again.
TEST_F(refused_stops, a_refused_stop_is_sent_again) {
  fake_upstream& upstream = add_busy_upstream();
  ASSERT_EQ(upstream.runs().size(), 1U);
  refuse_stops = true;
  release();
  run_until(now + 200);
  EXPECT_EQ(upstream.runs().size(), 1U);
  refuse_stops = false;
  run_until(now + 100);
  EXPECT_TRUE(upstream.runs().empty());
}

// review/2: the lease of the run was extended until it had ended by itself.
TEST_F(refused_stops, a_refused_stop_does_not_keep_a_run) {
  fake_upstream& upstream = add_busy_upstream();
  ASSERT_EQ(upstream.runs().size(), 1U);
  refuse_stops = true;
  release();
  run_until(now + state.options.resubmission_ms);
  EXPECT_TRUE(upstream.runs().empty());
}

// A refused stop does not keep a start order that arrives late from being
// carried out.
TEST_F(refused_stops, a_task_waits_until_its_unanswered_start_is_barred) {
  add_upstream("u1", 1000);
  own(1);
  run_until(now + 20);
  drop_starts = 3;
  refuse_stops = true;
  ask(request(1, "j1", 1));
  run_until(now + 600);
  fake_upstream& second = add_upstream("u2", 1000);
  run_until(now + 400);
  EXPECT_EQ(second.starts(), 0U);
  refuse_stops = false;
  run_until(now + 800);
  EXPECT_EQ(count(wire::RUN_DONE), 1U);
}

}  // namespace
}  // namespace cyclamenwood
