// Series are stored by name, then by labels, so that a page lists the series of
// a name together and always in the same order.
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

// Bucket bounds in ms, from short tasks to jobs that last until their caller's
// deadline.
ms_axis time_buckets() {
  return ms_axis{0,   5,   10,  20,   50,   100,  150,
                 200, 300, 500, 1000, 2000, 5000, 10000};
}

struct duration_histogram {
  ms_histogram buckets = bh::make_histogram(time_buckets());
  double sum = 0;
};

std::string in_braces(std::string_view labels) {
  return labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
}

template <typename T>
void write_samples(const series<T>& all,
                   std::string_view type,
                   std::string& page) {
  for (const auto& [name, by_labels] : all) {
    page += fmt::format("# TYPE cyclamenwood_{} {}\n", name, type);
    for (const auto& [labels, value] : by_labels)
      page +=
          fmt::format("cyclamenwood_{}{} {}\n", name, in_braces(labels), value);
  }
}

void write_histogram(const std::string& name,
                     const std::string& labels,
                     const duration_histogram& times,
                     std::string& page) {
  std::string_view comma = labels.empty() ? "" : ",";
  double cumulative = 0;
  for (const auto& cell : bh::indexed(times.buckets)) {
    cumulative += *cell;
    page += fmt::format("cyclamenwood_{}_bucket{{{}{}le=\"{}\"}} {}\n", name,
                        labels, comma, cell.bin().upper(), cumulative);
  }
  const auto& axis = times.buckets.axis();
  cumulative += times.buckets.at(axis.size());
  page += fmt::format("cyclamenwood_{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name,
                      labels, comma, cumulative);
  page += fmt::format("cyclamenwood_{}_sum{} {}\n", name, in_braces(labels),
                      times.sum);
  page += fmt::format("cyclamenwood_{}_count{} {}\n", name, in_braces(labels),
                      cumulative);
}

}  // namespace

struct exposition::implementation {
  series<uint64_t> counters;
  series<double> gauges;
  series<duration_histogram> times;
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
  duration_histogram& times =
      implementation_->times[std::string(name)][std::string(labels)];
  times.buckets(static_cast<double>(ms));
  times.sum += static_cast<double>(ms);
}

std::string exposition::text() const {
  std::string page;
  write_samples(implementation_->counters, "counter", page);
  write_samples(implementation_->gauges, "gauge", page);
  for (const auto& [name, by_labels] : implementation_->times) {
    page += fmt::format("# TYPE cyclamenwood_{} histogram\n", name);
    for (const auto& [labels, times] : by_labels)
      write_histogram(name, labels, times, page);
  }
  return page;
}

}  // namespace cyclamenwood
