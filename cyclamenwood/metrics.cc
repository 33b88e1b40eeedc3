// Each histogram has two growing category axes (tenant, class) and a
// logarithmic value axis. A quantile is reported as the upper edge of the
// bucket that holds it.
#include "cyclamenwood/metrics.h"

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

namespace cyclamenwood {
namespace {

namespace bh = boost::histogram;
using json = nlohmann::json;

constexpr int VALUE_BUCKETS = 80;
constexpr double MIN_TIME_MS = 0.5;
constexpr double MAX_TIME_MS = 600'000;
constexpr double MIN_RATIO = 0.9;
constexpr double MAX_RATIO = 1000;

constexpr std::integral_constant<unsigned, 0> TENANT_AXIS;
constexpr std::integral_constant<unsigned, 1> CLASS_AXIS;
constexpr std::integral_constant<unsigned, 2> VALUE_AXIS;

using category_axis = bh::axis::
    category<std::string, bh::use_default, bh::axis::option::growth_t>;
using value_axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram = decltype(bh::make_histogram(category_axis(),
                                              category_axis(),
                                              value_axis(2, 1.0, 2.0)));

histogram create_histogram(double min, double max) {
  return bh::make_histogram(category_axis(), category_axis(),
                            value_axis(VALUE_BUCKETS, min, max));
}

double quantile(const std::vector<std::pair<double, double>>& buckets,
                double total,
                double fraction) {
  double cumulative = 0;
  for (const auto& [edge, amount] : buckets) {
    cumulative += amount;
    if (cumulative >= fraction * total)
      return edge;
  }
  return buckets.empty() ? 0 : buckets.back().first;
}

json describe_cell(const histogram& values, int tenant, int class_index) {
  const auto& axis = values.axis(VALUE_AXIS);
  std::vector<std::pair<double, double>> buckets;
  double total = 0;
  // From the underflow bucket to the overflow bucket.
  for (int i = -1; i <= axis.size(); ++i) {
    double amount = values.at(tenant, class_index, i);
    if (amount == 0)
      continue;
    double edge = i == axis.size() ? axis.value(i) : axis.value(i + 1);
    buckets.emplace_back(edge, amount);
    total += amount;
  }
  json cell;
  cell["count"] = total;
  cell["p50"] = quantile(buckets, total, 0.5);
  cell["p99"] = quantile(buckets, total, 0.99);
  cell["p999"] = quantile(buckets, total, 0.999);
  json list = json::array();
  for (const auto& [edge, amount] : buckets)
    list.push_back({edge, amount});
  cell["buckets"] = list;
  return cell;
}

json describe(const histogram& values) {
  json page = json::object();
  const auto& tenants = values.axis(TENANT_AXIS);
  const auto& classes = values.axis(CLASS_AXIS);
  for (int t = 0; t < tenants.size(); ++t) {
    for (int c = 0; c < classes.size(); ++c) {
      json cell = describe_cell(values, t, c);
      if (cell["count"] != 0)
        page[tenants.value(t)][classes.value(c)] = cell;
    }
  }
  return page;
}

}  // namespace

struct metrics::implementation {
  histogram response = create_histogram(MIN_TIME_MS, MAX_TIME_MS);
  histogram queue = create_histogram(MIN_TIME_MS, MAX_TIME_MS);
  histogram ratio = create_histogram(MIN_RATIO, MAX_RATIO);
  std::map<std::string, uint64_t> counters;
  std::map<std::string, uint64_t> outcomes;
};

metrics::metrics() : implementation_(std::make_unique<implementation>()) {}
metrics::~metrics() = default;

void metrics::observe(const entry_job_finished& sample) {
  implementation& self = *implementation_;
  ++self.outcomes[sample.outcome];
  auto response = static_cast<double>(sample.response_ms);
  self.response(sample.tenant, sample.class_name, response);
  self.queue(sample.tenant, sample.class_name,
             static_cast<double>(sample.queue_ms));
  bool complete = sample.outcome == "complete" && sample.ideal_ms > 0;
  if (complete)
    self.ratio(sample.tenant, sample.class_name,
               response / static_cast<double>(sample.ideal_ms));
}

void metrics::count(counter kind) {
  ++implementation_->counters[std::string(to_string(kind))];
}

void metrics::count(const std::string& name, uint64_t amount) {
  implementation_->counters[name] += amount;
}

std::string metrics::to_json() const {
  const implementation& self = *implementation_;
  json page;
  page["counters"] = self.counters;
  page["outcomes"] = self.outcomes;
  page["response_ms"] = describe(self.response);
  page["queue_ms"] = describe(self.queue);
  page["response_over_ideal"] = describe(self.ratio);
  return page.dump();
}

}  // namespace cyclamenwood
