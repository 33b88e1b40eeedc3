// Counters, gauges and latency histograms of a process in the usual text
// exposition format.
//
//   exposition seen;
//   seen.count("answers_total", R"(outcome="completed")");
//   seen.observe_ms("job_duration_ms", R"(queue="r-1")", 84);
//   std::string page = seen.text();
//
// Names get the prefix `cyclamenwood_`. Labels are written as they appear on
// the page; what callers choose does not belong there.
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

  void count(std::string_view name, std::string_view labels, uint64_t by = 1);
  // Gauges that are not set again are not shown any more.
  void clear_gauges();
  // A gauge, as of the last call.
  void set(std::string_view name, std::string_view labels, double value);
  void observe_ms(std::string_view name, std::string_view labels, int64_t ms);

  std::string text() const;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_EXPOSITION_H_
