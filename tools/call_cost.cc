// Prints the processor time of the calls that an entry host makes for each
// task: `call_cost 200000 >/dev/null`. The argument is the number of calls.
// Results go to standard error, as log lines go to standard output.
#include <fmt/format.h>
#include <time.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenwood/exposition.h"
#include "cyclamenwood/util/log.h"
#include "platform/codec.h"

namespace cyclamenwood {
namespace {

constexpr int DEFAULT_CALLS = 200'000;
constexpr int LINES_PER_FLUSH = 8;
constexpr int STATUS_OK = 200;
constexpr size_t LONGEST_SPEC_BYTES = 4'000;

int64_t cpu_ns() {
  timespec now{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return int64_t{now.tv_sec} * 1'000'000'000 + now.tv_nsec;
}

// Keeps the result of a call from being optimized away.
size_t g_sink = 0;

template <typename Call>
void measure(std::string_view name, int calls, Call call) {
  int64_t begin = cpu_ns();
  for (int i = 0; i < calls; ++i)
    call(i);
  fmt::print(stderr, "{:<28}{:>8} ns\n", name, (cpu_ns() - begin) / calls);
}

run_order make_order(order_kind kind, size_t spec_bytes) {
  run_order order;
  order.kind = kind;
  order.token = 1'234;
  order.task = "5c0e7a21d94b36f8.0.1.17";
  order.attempt = 2;
  order.spec = std::string(spec_bytes, 'x');
  order.lease_deadline_ms = 486'000;
  order.last_end_number = 57;
  order.wait_ms = 1'000;
  return order;
}

std::string make_renewal_reply(int rows) {
  std::string running;
  std::string ended;
  for (int i = 0; i < rows; ++i) {
    std::string_view comma = i == 0 ? "" : ",";
    running +=
        fmt::format(R"({}["5c0e7a21d94b36f8.0.1.{}",2,"",40])", comma, i);
    ended += fmt::format(R"({}[{},"5c0e7a21d94b36f8.0.0.{}",1,"done",""])",
                         comma, 57 + i, i);
  }
  return fmt::format(
      R"({{"clockMs":482113,"born":1700000000000,"running":[{}],"ended":[{}]}})",
      running, ended);
}

void measure_codec(int calls) {
  for (size_t bytes : {size_t{40}, LONGEST_SPEC_BYTES}) {
    run_order start = make_order(order_kind::start, bytes);
    measure(fmt::format("write_order start {}", bytes), calls,
            [&](int) { g_sink += platform::write_order(start).size(); });
  }
  run_order renewal = make_order(order_kind::renewal, 0);
  measure("write_order renewal", calls,
          [&](int) { g_sink += platform::write_order(renewal).size(); });
  std::string accepted = R"({"clockMs":482113,"born":1700000000000})";
  measure("read_reply start", calls, [&](int) {
    g_sink += platform::read_reply(order_kind::start, STATUS_OK, accepted)
                  .incarnation;
  });
  for (int rows : {2, 20}) {
    std::string listed = make_renewal_reply(rows);
    measure(
        fmt::format("read_reply renewal {}+{}", rows, rows), calls, [&](int) {
          g_sink += platform::read_reply(order_kind::renewal, STATUS_OK, listed)
                        .ended.size();
        });
  }
}

void measure_metrics(int calls) {
  exposition metrics;
  measure("count", calls, [&](int) {
    metrics.count(
        "order_replies_total",
        fmt::format("outcome=\"{}\"", to_string(order_outcome::accepted)));
  });
  measure("observe_ms", calls, [&](int i) {
    metrics.observe_ms("job_duration_ms",
                       fmt::format("queue=\"{}\",outcome=\"{}\"",
                                   "r-interactive-1", "completed"),
                       i % 1'000);
  });
  g_sink += metrics.text().size();
}

// Events differ, so that no line is suppressed.
void measure_log(int calls) {
  std::vector<std::string> events;
  for (int i = 0; i < calls; ++i)
    events.push_back(fmt::format("event_{}", i % 5'000));
  measure("log_line", calls, [&](int i) {
    log_line(log_level::info, events[i],
             "pool=kranj job=5c0e7a21d94b36f8 outcome=completed elapsed_ms=84");
    if (i % LINES_PER_FLUSH == 0)
      flush_log();
  });
  log_counts counts = get_log_counts();
  fmt::print(stderr, "log lines: {} written, {} dropped, {} suppressed\n",
             counts.lines, counts.dropped, counts.suppressed);
}

}  // namespace
}  // namespace cyclamenwood

int main(int argc, char** argv) {
  int calls = argc > 1 ? std::atoi(argv[1]) : cyclamenwood::DEFAULT_CALLS;
  cyclamenwood::measure_codec(calls);
  cyclamenwood::measure_metrics(calls);
  cyclamenwood::measure_log(calls);
  return cyclamenwood::g_sink == 0 ? 1 : 0;
}
