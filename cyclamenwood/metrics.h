// Metrics of an entry host: histograms of response times by tenant and class,
// and counters. Rendered as JSON for /v1/metrics.
#ifndef CYCLAMENWOOD_METRICS_H_
#define CYCLAMENWOOD_METRICS_H_

#include <map>
#include <memory>
#include <string>

#include "cyclamenwood/entry.h"

namespace cyclamenwood {

class metrics {
 public:
  metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;
  ~metrics();

  // Records a finished job or request.
  void observe(const entry_job_finished& sample);
  void count(counter kind);
  void count(const std::string& name, uint64_t amount);

  // The counters, and for each tenant and class the quantiles and buckets of
  // the response time (ms), the queue time (ms) and the ratio of the response
  // time to the execution time of the longest task. The ratio covers complete
  // answers only.
  std::string to_json() const;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_METRICS_H_
