// Series are kept by name and labels, so that a page lists each name's series
// together, in the same order each time.
#include "cyclamenwood/exposition.h"

#include <fmt/format.h>

#include <boost/histogram.hpp>
#include <map>
#include <vector>

namespace cyclamenwood {
namespace {

namespace bh = boost::histogram;

using ms_axis = bh::axis::variable<double>;
using ms_histogram = decltype(bh::make_histogram(ms_axis()));

template <typename T>
using series = std::map<std::string, std::map<std::string, T, std::less<>>>;

// From a task of some ms to a job that waits for its caller's deadline, in ms.
ms_axis time_buckets() {
  return ms_axis{0,   5,   10,  20,   50,   100,  150,
                 200, 300, 500, 1000, 2000, 5000, 10000};
}

struct time_series {
  ms_histogram buckets = bh::make_histogram(time_buckets());
  double sum = 0;
};

std::string braced(std::string_view labels) {
  return labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
}

template <typename T>
void write_plain(const series<T>& all,
                 std::string_view type,
                 std::string& page) {
  for (const auto& [name, by_labels] : all) {
    page += fmt::format("# TYPE cyclamenwood_{} {}\n", name, type);
    for (const auto& [labels, value] : by_labels)
      page +=
          fmt::format("cyclamenwood_{}{} {}\n", name, braced(labels), value);
  }
}

void write_histogram(const std::string& name,
                     const std::string& labels,
                     const time_series& times,
                     std::string& page) {
  std::string_view comma = labels.empty() ? "" : ",";
  double seen = 0;
  for (const auto& cell : bh::indexed(times.buckets)) {
    seen += *cell;
    page += fmt::format("cyclamenwood_{}_bucket{{{}{}le=\"{}\"}} {}\n", name,
                        labels, comma, cell.bin().upper(), seen);
  }
  const auto& axis = times.buckets.axis();
  seen += times.buckets.at(axis.size());
  page += fmt::format("cyclamenwood_{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name,
                      labels, comma, seen);
  page += fmt::format("cyclamenwood_{}_sum{} {}\n", name, braced(labels),
                      times.sum);
  page +=
      fmt::format("cyclamenwood_{}_count{} {}\n", name, braced(labels), seen);
}

}  // namespace

struct exposition::implementation {
  series<uint64_t> counters;
  series<double> gauges;
  series<time_series> times;
};

exposition::exposition()
    : implementation_(std::make_unique<implementation>()) {}

exposition::~exposition() = default;

void exposition::count(std::string_view name,
                       std::string_view labels,
                       uint64_t by) {
  implementation_->counters[std::string(name)][std::string(labels)] += by;
}

void exposition::clear_gauges() {
  implementation_->gauges.clear();
}

void exposition::set(std::string_view name,
                     std::string_view labels,
                     double value) {
  implementation_->gauges[std::string(name)][std::string(labels)] = value;
}

void exposition::observe_ms(std::string_view name,
                            std::string_view labels,
                            int64_t ms) {
  time_series& times =
      implementation_->times[std::string(name)][std::string(labels)];
  times.buckets(static_cast<double>(ms));
  times.sum += static_cast<double>(ms);
}

std::string exposition::text() const {
  std::string page;
  write_plain(implementation_->counters, "counter", page);
  write_plain(implementation_->gauges, "gauge", page);
  for (const auto& [name, by_labels] : implementation_->times) {
    page += fmt::format("# TYPE cyclamenwood_{} histogram\n", name);
    for (const auto& [labels, times] : by_labels)
      write_histogram(name, labels, times, page);
  }
  return page;
}

}  // namespace cyclamenwood
