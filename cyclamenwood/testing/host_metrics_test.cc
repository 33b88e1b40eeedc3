// Tests of the gauges of entry hosts.
#include "cyclamenwood/host_metrics.h"

#include <gtest/gtest.h>

#include <string>

#include "cyclamenwood/exposition.h"
#include "cyclamenwood/host_entry.h"

namespace cyclamenwood {
namespace {

// Operators could not see which zones a process takes for evacuated.
TEST(host_metrics, the_gauge_shows_the_evacuated_zones) {
  host_entry state;
  state.callers.evacuations.zones = {"kranj"};
  exposition metrics;
  write_host_gauges(state, 1'000, metrics);
  std::string page = metrics.text();
  EXPECT_NE(page.find("evacuated{zone=\"kranj\"} 1"), std::string::npos)
      << page;
  EXPECT_EQ(page.find("evacuated{zone=\"vic\"}"), std::string::npos);
}

}  // namespace
}  // namespace cyclamenwood
