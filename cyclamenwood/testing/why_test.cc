// Selection of the lines that explain a request from the logs of several
// processes.
#include "cyclamenwood/why.h"

#include <gtest/gtest.h>

namespace cyclamenwood {
namespace {

const std::vector<std::string> LOGS = {
    "2026-01-08T02:33:39.000Z info config_in_force version=3 routes=4",
    "2026-01-08T02:33:41.100Z info job_ended job=aaaa outcome=completed ms=9",
    "2026-01-08T02:33:41.300Z info job_ended job=bbbb outcome=unknown ms=900",
    "2026-01-08T02:33:40.900Z info upstream_unreachable upstream=u1 runs=2",
    "2026-01-08T02:33:40.950Z info upstream_unreachable upstream=u2 runs=1",
    "2026-01-08T02:33:41.000Z info start_unanswered task=bbbb.0.1 upstream=u1",
    "2026-01-08T02:33:41.010Z info start_unanswered task=aaaa.0.1 upstream=u1",
    "2026-01-08T02:33:41.020Z info start_unanswered task=bbbbc.0.1 upstream=u2",
    "2026-01-08T02:33:30.000Z info ownership_taken pool=kranj token=1",
    "2026-01-08T02:33:50.000Z info ownership_taken pool=kranj token=2",
    "no log line",
};

TEST(why, shows_the_request_and_related_state_sorted_by_time) {
  std::vector<std::string> lines = explain(LOGS, {.id = "bbbb"});
  ASSERT_EQ(lines.size(), 4U);
  EXPECT_NE(lines[0].find("config_in_force"), std::string::npos);
  EXPECT_NE(lines[1].find("upstream=u1 runs=2"), std::string::npos);
  EXPECT_NE(lines[2].find("task=bbbb.0.1"), std::string::npos);
  EXPECT_NE(lines[3].find("job=bbbb outcome=unknown"), std::string::npos);
}

TEST(why, an_id_that_no_line_names_has_no_lines) {
  EXPECT_TRUE(explain(LOGS, {.id = "bbb"}).empty());
  EXPECT_TRUE(explain({}, {.id = "bbbb"}).empty());
}

TEST(why, a_call_that_was_refused_is_found_by_its_path) {
  std::vector<std::string> lines =
      explain({"2026-01-08T02:33:41.000Z info call_refused host=h path=/q/cccc "
               "outcome=refused reason=no_configuration"},
              {.id = "cccc"});
  EXPECT_EQ(lines.size(), 1U);
}

}  // namespace
}  // namespace cyclamenwood
