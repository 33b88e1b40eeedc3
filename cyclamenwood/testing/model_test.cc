// Property tests of the complete system: the reducers under random faults.
// RC_PARAMS="seed=N max_success=M" selects the cases; see docs/PROOFS.md.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

#include "cyclamenwood/testing/model.h"

namespace cyclamenwood {
namespace {

constexpr int ACTIONS = 300;

RC_GTEST_PROP(model, holds_under_random_faults, ()) {
  auto seed = *rc::gen::arbitrary<uint32_t>();
  auto actions = *rc::gen::container<std::vector<uint32_t>>(
      ACTIONS, rc::gen::resize(100, rc::gen::inRange<uint32_t>(0, 1U << 30)));
  model system(seed);
  for (int step = 0; step < 12; ++step)
    system.perform_action(30 + 64 * 50);
  for (uint32_t action : actions) {
    system.perform_action(action);
    if (!system.violations().empty())
      RC_FAIL(system.violations().front());
  }
  system.heal_and_check();
  if (!system.violations().empty())
    RC_FAIL(system.violations().front());
}

// Guards against test cases that never reach the events under test.
TEST(model, reaches_every_kind_of_event) {
  std::map<std::string, int> event_counts;
  for (uint32_t seed = 0; seed < 100; ++seed) {
    model system(seed);
    std::mt19937 random(seed);
    for (int step = 0; step < ACTIONS; ++step)
      system.perform_action(random() % (1U << 30));
    system.heal_and_check();
    EXPECT_EQ(system.violations(), std::vector<std::string>()) << seed;
    for (const auto& [name, count] : system.event_counts)
      event_counts[name] += count;
  }
  for (const char* name :
       {"complete", "not_run", "claim_granted", "roll_out_accepted",
        "replica_crash", "entry_restart", "disk_lost", "answer_key_conflict",
        "answer_owner_unreachable", "answer_deadline_passed"})
    EXPECT_GT(event_counts[name], 0) << name;
  if (std::getenv("CYCLAMENWOOD_VERBOSE") != nullptr) {
    for (const auto& [name, count] : event_counts)
      fmt::print("{:<32} {}\n", name, count);
  }
}

}  // namespace
}  // namespace cyclamenwood
