// What an entry host has seen of each upstream's answers, and which upstreams
// it keeps new work from for a while.
//
// An upstream is ejected when most of its recent tasks failed while the other
// upstreams of the service do better; a payload that fails everywhere ejects
// nobody. The number ejected at a time has a ceiling. After its ejection an
// upstream gets one task at a time until one succeeds.
#ifndef CYCLAMENWOOD_HEALTH_H_
#define CYCLAMENWOOD_HEALTH_H_

#include <map>
#include <string>
#include <string_view>

#include "cyclamenwood/settings.h"
#include "cyclamenwood/types.h"

namespace cyclamenwood {

// How a task's attempt ended, as far as the upstream's health goes.
enum class attempt_verdict { succeeded, failed, neutral };

struct upstream_health {
  std::string service;
  std::string zone;
  uint64_t incarnation = 0;
  // Tasks of this entry host that run there.
  int64_t running = 0;
  // Exponentially weighted share of failed attempts.
  double failure_rate = 0;
  int64_t samples = 0;
  // 0: not ejected. In the past: on probation.
  unix_ms ejected_until_ms = 0;
  int64_t ejections = 0;
};

// When the share of failures ejects an upstream whose service does better.
struct ejection_limits {
  // Attempts before the share says anything.
  int64_t min_samples = 5;
  double failure_rate = 0.6;
};

struct health_table {
  dispatch_settings options;
  ejection_limits limits;
  std::map<std::string, upstream_health, std::less<>> upstreams;
};

upstream_health& health_of(health_table& table,
                           std::string_view id,
                           std::string_view service,
                           std::string_view zone,
                           uint64_t incarnation);

// Whether a new task may go there as far as health goes.
bool health_allows(const upstream_health& health, unix_ms now);

// Counts an ended attempt; true when the upstream has just been ejected.
bool health_record(health_table& table,
                   std::string_view id,
                   attempt_verdict verdict,
                   unix_ms now);

// Forgets upstreams that are not listed and run nothing.
template <typename Known>
void health_forget(health_table& table, const Known& known) {
  std::erase_if(table.upstreams, [&known](const auto& item) {
    return item.second.running == 0 && !known.contains(item.first);
  });
}

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_HEALTH_H_
