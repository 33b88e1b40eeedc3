// Tracks the outcomes of attempts on each upstream, and ejects upstreams: an
// ejected upstream gets no new tasks for a while.
//
// An upstream is ejected when most of its recent attempts failed while the
// other upstreams of its service do better. A payload that fails everywhere
// therefore ejects no upstream. The number of upstreams that are ejected at the
// same time is limited. After the ejection an upstream is on probation: it gets
// one task at a time until one succeeds.
#ifndef CYCLAMENWOOD_HEALTH_H_
#define CYCLAMENWOOD_HEALTH_H_

#include <map>
#include <string>
#include <string_view>

#include "cyclamenwood/settings.h"
#include "cyclamenwood/types.h"

namespace cyclamenwood {

// The outcome of an attempt with regard to the health of its upstream.
enum class attempt_verdict { succeeded, failed, neutral };

struct upstream_health {
  std::string service;
  std::string zone;
  uint64_t incarnation = 0;
  // Tasks of this entry host that are running there.
  int64_t running = 0;
  // Exponentially weighted share of failed attempts.
  double failure_rate = 0;
  int64_t samples = 0;
  // 0: not ejected. A time in the past: on probation.
  unix_ms ejected_until_ms = 0;
  int64_t ejections = 0;
};

// An upstream is ejected at these values, if the other upstreams of its service
// do better.
struct ejection_limits {
  // Attempts before the failure rate is significant.
  int64_t min_samples = 5;
  double failure_rate = 0.6;
};

struct health_table {
  dispatch_settings options;
  ejection_limits limits;
  std::map<std::string, upstream_health, std::less<>> upstreams;
};

// Returns the entry of an upstream. Creates it if necessary, and resets all but
// `running` if the incarnation is another one.
upstream_health& health_of(health_table& table,
                           std::string_view id,
                           std::string_view service,
                           std::string_view zone,
                           uint64_t incarnation);

// Whether the upstream's health allows a new task there.
bool health_allows(const upstream_health& health, unix_ms now);

// Records the outcome of an attempt. Returns true if it caused the upstream to
// be ejected.
bool health_record(health_table& table,
                   std::string_view id,
                   attempt_verdict verdict,
                   unix_ms now);

// Removes upstreams that are not in `known` and run no task.
template <typename Known>
void health_forget(health_table& table, const Known& known) {
  std::erase_if(table.upstreams, [&known](const auto& item) {
    return item.second.running == 0 && !known.contains(item.first);
  });
}

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_HEALTH_H_
