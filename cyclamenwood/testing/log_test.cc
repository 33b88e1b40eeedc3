// Tests that logging has a bounded volume and never blocks, and tests of the
// metrics page's text.
#include "cyclamenwood/util/log.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <string>

#include "cyclamenwood/exposition.h"

namespace cyclamenwood {
namespace {

// Replaces standard output by a pipe that is read only by `read_available`.
class captured_output {
 public:
  captured_output() {
    flush_log();
    saved_ = ::dup(STDOUT_FILENO);
    EXPECT_EQ(::pipe(ends_), 0);
    ::dup2(ends_[1], STDOUT_FILENO);
  }

  ~captured_output() {
    ::dup2(saved_, STDOUT_FILENO);
    ::close(saved_);
    ::close(ends_[0]);
    ::close(ends_[1]);
  }

  // Reads everything that is in the pipe.
  std::string read_available() {
    ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string received;
    char chunk[65536];
    for (ssize_t got = 0; (got = ::read(ends_[0], chunk, sizeof chunk)) > 0;)
      received.append(chunk, got);
    return received;
  }

 private:
  int saved_ = -1;
  int ends_[2] = {-1, -1};
};

TEST(log, lines_of_an_iteration_are_written_together) {
  captured_output output;
  log_line(log_level::info, "first", "a=1");
  log_line(log_level::info, "second", "b=2");
  EXPECT_EQ(output.read_available(), "");
  flush_log();
  std::string seen = output.read_available();
  EXPECT_NE(seen.find(" info first a=1\n"), std::string::npos);
  EXPECT_NE(seen.find(" info second b=2\n"), std::string::npos);
}

// Lines are dropped while the reader does not read. The test would hang if
// logging blocked.
TEST(log, logging_does_not_wait_for_a_stalled_reader) {
  captured_output output;
  uint64_t before = get_log_counts().dropped;
  std::string payload(4000, 'x');
  for (int i = 0; i < 400; ++i) {
    log_line(log_level::info, fmt::format("event_{}", i), payload);
    flush_log();
  }
  EXPECT_GT(get_log_counts().dropped, before);
  std::string seen;
  for (std::string part = output.read_available(); !part.empty();
       part = output.read_available()) {
    seen += part;
    flush_log();
  }
  EXPECT_EQ(seen.back(), '\n');
  EXPECT_LT(seen.size(), size_t{400} * 4000);
}

TEST(log, a_too_frequent_event_is_suppressed_and_counted) {
  captured_output output;
  uint64_t before = get_log_counts().suppressed;
  for (int i = 0; i < 3000; ++i) {
    log_line(log_level::info, "often", "");
    flush_log();
    output.read_available();
  }
  // Up to two new seconds may begin during the loop, each with a limit of its
  // own.
  EXPECT_GE(get_log_counts().suppressed - before, 1500U);
  log_line(log_level::info, "seldom", "");
  flush_log();
  EXPECT_NE(output.read_available().find("seldom"), std::string::npos);
}

TEST(exposition, shows_counters_gauges_and_histograms) {
  exposition seen;
  seen.count("answers_total", R"(outcome="refused")");
  seen.count("answers_total", R"(outcome="refused")", 2);
  seen.set("open_jobs", "", 7);
  seen.observe_ms("job_duration_ms", R"(queue="r-1")", 84);
  seen.observe_ms("job_duration_ms", R"(queue="r-1")", 60'000);
  std::string page = seen.text();
  for (const char* line :
       {"# TYPE cyclamenwood_answers_total counter\n",
        "cyclamenwood_answers_total{outcome=\"refused\"} 3\n",
        "cyclamenwood_open_jobs 7\n",
        "cyclamenwood_job_duration_ms_bucket{queue=\"r-1\",le=\"50\"} 0\n",
        "cyclamenwood_job_duration_ms_bucket{queue=\"r-1\",le=\"100\"} 1\n",
        "cyclamenwood_job_duration_ms_bucket{queue=\"r-1\",le=\"+Inf\"} 2\n",
        "cyclamenwood_job_duration_ms_count{queue=\"r-1\"} 2\n"})
    EXPECT_NE(page.find(line), std::string::npos) << line << page;
  // A gauge that is not set again must not be shown with its last value.
  seen.clear_gauges();
  EXPECT_EQ(seen.text().find("open_jobs"), std::string::npos);
  EXPECT_NE(seen.text().find("answers_total"), std::string::npos);
}

}  // namespace
}  // namespace cyclamenwood
