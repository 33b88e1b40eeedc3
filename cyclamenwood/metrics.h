// Histograms by tenant and class, and counters of messages.
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

  void observe(const entry_job_finished& seen);
  void count(counter kind);
  void count(const std::string& name, uint64_t amount);

  // Counters, and for each tenant and class the quantiles and buckets of
  // response time (ms), queue time (ms) and response over ideal.
  std::string to_json() const;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_METRICS_H_
