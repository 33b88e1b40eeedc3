// Tests that logging has a bounded volume and never blocks, and tests of the
// metrics page's text.
#include "cyclamenwood/util/log.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <string>
#include <thread>
#include <vector>

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

int64_t unix_now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Returns the time at the beginning of a log line, in Unix milliseconds.
int64_t time_of(const std::string& line) {
  std::tm date{};
  const char* rest = ::strptime(line.c_str(), "%Y-%m-%dT%H:%M:%S", &date);
  if (rest == nullptr || *rest != '.')
    return -1;
  return int64_t{::timegm(&date)} * 1'000 + std::atoi(rest + 1);
}

struct timed_line {
  int64_t before_ms = 0;
  std::string text;
  int64_t after_ms = 0;
};

// Logs a line every few milliseconds for more than a second.
std::vector<timed_line> log_across_a_second() {
  captured_output output;
  std::vector<timed_line> lines;
  int64_t begin_ms = unix_now_ms();
  while (unix_now_ms() < begin_ms + 1'500) {
    timed_line& added = lines.emplace_back();
    added.before_ms = unix_now_ms();
    log_line(log_level::warning, "timed", "");
    added.after_ms = unix_now_ms();
    added.text = output.read_available();
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return lines;
}

TEST(log, lines_after_a_change_of_second_do_not_show_the_previous_one) {
  for (const timed_line& line : log_across_a_second()) {
    EXPECT_GE(time_of(line.text), line.before_ms) << line.text;
    EXPECT_LE(time_of(line.text), line.after_ms) << line.text;
  }
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
