// Counts are kept in arrays, as they are updated for each message.
#include "cyclamenwood/load_report.h"

#include <fmt/format.h>
#include <time.h>

#include <algorithm>
#include <iterator>
#include <numeric>

#include "cyclamenwood/pool.h"

namespace cyclamenwood {
namespace {

constexpr int64_t US_PER_MS = 1'000;
constexpr int64_t US_PER_SECOND = 1'000'000;
constexpr int64_t NS_PER_US = 1'000;

const std::string& kind_name(size_t field) {
  return wire::envelope::descriptor()
      ->FindFieldByNumber(static_cast<int>(field))
      ->name();
}

}  // namespace

void message_counts::add(const wire::envelope& envelope) {
  auto field = static_cast<size_t>(envelope.body_case());
  if (field < MAX_FIELD)
    ++by_field_[field];
}

uint64_t message_counts::total() const {
  return std::accumulate(by_field_.begin(), by_field_.end(), uint64_t{0});
}

void message_counts::append_to(std::string& line,
                               std::string_view prefix) const {
  // Field 0 stands for an envelope without content.
  for (size_t field = 1; field < MAX_FIELD; ++field) {
    if (by_field_[field] > 0)
      fmt::format_to(std::back_inserter(line), " {}_{}={}", prefix,
                     kind_name(field), by_field_[field]);
  }
}

void message_counts::write(std::string_view name, exposition& metrics) const {
  for (size_t field = 1; field < MAX_FIELD; ++field) {
    if (by_field_[field] > 0)
      metrics.set(name, fmt::format("kind=\"{}\"", kind_name(field)),
                  static_cast<double>(by_field_[field]));
  }
}

void load_report::count_sent(const wire::envelope& envelope) {
  second_.sent.add(envelope);
  sent_total_.add(envelope);
}

void load_report::count_received(const wire::envelope& envelope) {
  second_.received.add(envelope);
  received_total_.add(envelope);
}

void load_report::count_order(const run_order& order) {
  order_counts& orders = second_.orders;
  switch (order.kind) {
    case order_kind::start:
      ++orders.starts;
      break;
    case order_kind::stop:
      ++orders.stops;
      break;
    case order_kind::renewal:
      ++orders.renewals;
      orders.limited_renewals += order.wait_ms < RENEWAL_WAIT_MS ? 1 : 0;
      break;
  }
}

void load_report::count_reply(const order_reply& reply) {
  if (reply.outcome == order_outcome::unanswered)
    ++second_.orders.unanswered;
}

void load_report::count_call() {
  ++second_.calls;
}

void load_report::loop_delayed(int64_t delay_ms) {
  longest_delay_ms_ = std::max(longest_delay_ms_, delay_ms);
}

std::optional<std::string> load_report::tick(unix_ms now, int64_t cpu_us) {
  if (now < next_line_ms_)
    return std::nullopt;
  bool is_first = next_line_ms_ == 0;
  next_line_ms_ = now + MS_PER_SECOND;
  const order_counts& orders = second_.orders;
  std::string line = fmt::format(
      "cpu_ms={} delay_ms={} calls={} starts={} stops={} renewals={} "
      "limited_renewals={} unanswered={} sent={} received={}",
      (cpu_us - cpu_us_) / US_PER_MS, longest_delay_ms_, second_.calls,
      orders.starts, orders.stops, orders.renewals, orders.limited_renewals,
      orders.unanswered, second_.sent.total(), second_.received.total());
  second_.sent.append_to(line, "sent");
  second_.received.append_to(line, "received");
  second_ = {};
  longest_delay_ms_ = 0;
  cpu_us_ = cpu_us;
  return is_first ? std::nullopt : std::optional(std::move(line));
}

void load_report::write(exposition& metrics) const {
  sent_total_.write("messages_sent", metrics);
  received_total_.write("messages_received", metrics);
}

int64_t process_cpu_us() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<int64_t>(used.tv_sec) * US_PER_SECOND +
         used.tv_nsec / NS_PER_US;
}

}  // namespace cyclamenwood
