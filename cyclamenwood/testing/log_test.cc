// What logging costs and shows: bounded volume, no waiting, and the page of
// metrics.
#include "cyclamenwood/util/log.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <string>

#include "cyclamenwood/exposition.h"

namespace cyclamenwood {
namespace {

// Standard output is a pipe that nobody reads until the test does.
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

  // What is in the pipe now.
  std::string take() {
    ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string all;
    char chunk[65536];
    for (ssize_t got = 0; (got = ::read(ends_[0], chunk, sizeof chunk)) > 0;)
      all.append(chunk, got);
    return all;
  }

 private:
  int saved_ = -1;
  int ends_[2] = {-1, -1};
};

TEST(log, lines_of_a_turn_go_out_together) {
  captured_output output;
  log_line(log_level::info, "first", "a=1");
  log_line(log_level::info, "second", "b=2");
  EXPECT_EQ(output.take(), "");
  flush_log();
  std::string seen = output.take();
  EXPECT_NE(seen.find(" info first a=1\n"), std::string::npos);
  EXPECT_NE(seen.find(" info second b=2\n"), std::string::npos);
}

// A reader that stands still costs lines, never time: this returns although
// nobody reads.
TEST(log, a_reader_that_stands_still_is_not_waited_for) {
  captured_output output;
  uint64_t before = count_log().dropped;
  std::string payload(4000, 'x');
  for (int i = 0; i < 400; ++i) {
    log_line(log_level::info, fmt::format("event_{}", i), payload);
    flush_log();
  }
  EXPECT_GT(count_log().dropped, before);
  std::string seen;
  for (std::string part = output.take(); !part.empty(); part = output.take()) {
    seen += part;
    flush_log();
  }
  EXPECT_EQ(seen.back(), '\n');
  EXPECT_LT(seen.size(), size_t{400} * 4000);
}

TEST(log, an_event_that_comes_too_often_is_cut_off_and_counted) {
  captured_output output;
  uint64_t before = count_log().suppressed;
  for (int i = 0; i < 3000; ++i) {
    log_line(log_level::info, "often", "");
    flush_log();
    output.take();
  }
  // Two seconds may have begun meanwhile, each with its own allowance.
  EXPECT_GE(count_log().suppressed - before, 1500U);
  log_line(log_level::info, "seldom", "");
  flush_log();
  EXPECT_NE(output.take().find("seldom"), std::string::npos);
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
  // What is gone is not shown as if it still were.
  seen.clear_gauges();
  EXPECT_EQ(seen.text().find("open_jobs"), std::string::npos);
  EXPECT_NE(seen.text().find("answers_total"), std::string::npos);
}

}  // namespace
}  // namespace cyclamenwood
