// Collects the counters, gauges and latency histograms of a process and renders
// them in the Prometheus text exposition format.
//
//   exposition metrics;
//   metrics.count("answers_total", R"(outcome="completed")");
//   metrics.observe_ms("job_duration_ms", R"(queue="r-1")", 84);
//   std::string page = metrics.text();
//
// Names get the prefix `cyclamenwood_`. `labels` is the part between the braces
// as it appears on the page, without escaping. It must not contain values that
// callers choose.
//
// Not thread-safe.
#ifndef CYCLAMENWOOD_EXPOSITION_H_
#define CYCLAMENWOOD_EXPOSITION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cyclamenwood {

class exposition {
 public:
  exposition();
  exposition(const exposition&) = delete;
  exposition& operator=(const exposition&) = delete;
  ~exposition();

  // Adds to a counter.
  void count(std::string_view name, std::string_view labels, uint64_t by = 1);
  // Removes all gauges. Called before they are set anew, so that gauges of
  // objects that no longer exist disappear from the page.
  void clear_gauges();
  // Sets a gauge to its current value.
  void set(std::string_view name, std::string_view labels, double value);
  // Adds a duration to a histogram.
  void observe_ms(std::string_view name, std::string_view labels, int64_t ms);

  // Renders the page.
  std::string text() const;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_EXPOSITION_H_
