// What an entry host did and how far it was behind within each second: one
// `load` line a second, and the same counts on the metrics page.
//
//   load_report report;
//   report.count_sent(envelope);
//   report.loop_delayed(delay_ms);
//   if (std::optional<std::string> line = report.tick(now, cpu_us))
//     log_line(log_level::info, "load", *line);
//
// The line tells a host that has too little processor time (`delay_ms`,
// `cpu_ms`) from one whose upstreams or peers are slow, and shows what the time
// went to: messages by kind, orders by kind, and those without a reply.
#ifndef CYCLAMENWOOD_LOAD_REPORT_H_
#define CYCLAMENWOOD_LOAD_REPORT_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "cyclamenwood/exposition.h"
#include "cyclamenwood/order.h"
#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

// Number of messages, by the field of the envelope that holds them.
class message_counts {
 public:
  void add(const wire::envelope& envelope);
  uint64_t total() const;
  // Adds "PREFIX_KIND=N" for each kind that was counted.
  void append_to(std::string& line, std::string_view prefix) const;
  // Sets the gauge `name{kind}` for each kind that was counted.
  void write(std::string_view name, exposition& metrics) const;

 private:
  static constexpr size_t MAX_FIELD = 64;
  std::array<uint64_t, MAX_FIELD> by_field_{};
};

struct order_counts {
  uint64_t starts = 0;
  uint64_t stops = 0;
  uint64_t renewals = 0;
  // Renewals that could extend the lease by less than usual, or not at all.
  uint64_t limited_renewals = 0;
  uint64_t unanswered = 0;
};

class load_report {
 public:
  void count_sent(const wire::envelope& envelope);
  void count_received(const wire::envelope& envelope);
  void count_order(const run_order& order);
  void count_reply(const order_reply& reply);
  void count_call();
  // The loop ran a timer this much later than it was due.
  void loop_delayed(int64_t delay_ms);

  // Returns the line for the time since the last one if that is a second ago.
  // `cpu_us`: the processor time that the process has used so far.
  std::optional<std::string> tick(unix_ms now, int64_t cpu_us);

  // Sets the gauges of the totals since the process started.
  void write(exposition& metrics) const;

 private:
  struct counts {
    uint64_t calls = 0;
    order_counts orders;
    message_counts sent;
    message_counts received;
  };

  counts second_;
  int64_t longest_delay_ms_ = 0;
  message_counts sent_total_;
  message_counts received_total_;
  unix_ms next_line_ms_ = 0;
  int64_t cpu_us_ = 0;
};

// The processor time that this process has used so far, in microseconds.
int64_t process_cpu_us();

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_LOAD_REPORT_H_
