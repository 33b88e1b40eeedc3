#include "cyclamenwood/load_report.h"

#include <gtest/gtest.h>

#include "cyclamenwood/pool.h"

namespace cyclamenwood {
namespace {

run_order order_of(order_kind kind, int64_t wait_ms = 0) {
  run_order order;
  order.kind = kind;
  order.wait_ms = wait_ms;
  return order;
}

wire::envelope hello() {
  wire::envelope envelope;
  envelope.mutable_pool_hello()->set_pool("kranj");
  return envelope;
}

TEST(load_report, a_line_counts_what_happened_since_the_last_one) {
  load_report report;
  EXPECT_FALSE(report.tick(10'000, 5'000));
  report.count_call();
  report.count_order(order_of(order_kind::start));
  report.count_order(order_of(order_kind::renewal, RENEWAL_WAIT_MS));
  report.count_order(order_of(order_kind::renewal, RENEWAL_WAIT_MS / 2));
  report.count_reply({});
  report.count_sent(hello());
  report.count_received(hello());
  report.count_received(hello());
  report.loop_delayed(3);
  report.loop_delayed(40);
  report.loop_delayed(7);
  EXPECT_FALSE(report.tick(10'999, 30'000));
  EXPECT_EQ(report.tick(11'000, 65'000),
            "cpu_ms=60 delay_ms=40 calls=1 starts=1 stops=0 renewals=2 "
            "limited_renewals=1 unanswered=1 sent=1 received=2 "
            "sent_pool_hello=1 received_pool_hello=2");
  EXPECT_EQ(report.tick(12'000, 65'000),
            "cpu_ms=0 delay_ms=0 calls=0 starts=0 stops=0 renewals=0 "
            "limited_renewals=0 unanswered=0 sent=0 received=0");
}

TEST(load_report, gauges_hold_the_totals_by_kind) {
  load_report report;
  report.count_sent(hello());
  report.tick(1'000, 0);
  report.count_sent(hello());
  report.count_received(wire::envelope());
  exposition metrics;
  report.write(metrics);
  EXPECT_EQ(metrics.text(),
            "# TYPE cyclamenwood_messages_sent gauge\n"
            "cyclamenwood_messages_sent{kind=\"pool_hello\"} 2\n");
}

}  // namespace
}  // namespace cyclamenwood
