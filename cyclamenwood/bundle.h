// The configuration bundle that operators sign off and roll out.
//
// A bundle is JSON with comments. `parse_bundle` checks it whole: nothing of
// a bundle that fails is used, and the error names the key path and reason.
#ifndef CYCLAMENWOOD_BUNDLE_H_
#define CYCLAMENWOOD_BUNDLE_H_

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

struct service_policy {
  // Estimate of a task's own time until tasks have been seen.
  int64_t default_time_ms = 300;
  // A task without an answer after this time counts as outcome unknown.
  int64_t task_timeout_ms = 30'000;
  int64_t max_answer_bytes = 1 << 20;
};

struct class_policy {
  // Share of dispatches among the classes that have work.
  int64_t weight = 1;
};

struct tenant_policy {
  // Share of dispatches among the tenants of a class that have work.
  int64_t weight = 1;
  // Per entry host.
  int64_t max_running_tasks = 100'000;
  int64_t max_queued_tasks = 100'000;
};

struct bundle {
  uint64_t version = 0;
  uint64_t replaces = 0;
  std::vector<std::string> zones;
  std::map<std::string, service_policy, std::less<>> services;
  std::map<std::string, class_policy, std::less<>> classes;
  std::map<std::string, tenant_policy, std::less<>> tenants;
  // How long a claim on a key without its own expiry is kept: the span for
  // which at-most-once holds for such a key.
  int64_t claim_retention_s = 86'400;
  // Kept after a key's expiry, for clocks that differ.
  int64_t clock_skew_s = 5;
  // How long owners keep finished answers for resubmissions.
  int64_t answer_retention_s = 600;
  // Retries allowed per hundred first attempts.
  int64_t retry_budget_percent = 10;
};

result<bundle> parse_bundle(std::string_view text);

// ---- The configuration group's state machine ------------------------------

// Versions that were accepted. Only the newest few keep their content; the
// others answer resends by digest.
struct config_log {
  std::deque<wire::roll_out> versions;
};

struct roll_out_outcome {
  wire::roll_out_result result = wire::ROLL_OUT_UNSPECIFIED;
  // The accepted version, or the one that stands against this one.
  wire::roll_out winner;
  std::string detail;
};

// Applies one committed roll-out. Equal content under an accepted version is
// accepted again; other content under it is a conflict; a roll-out that does
// not replace the version in force is stale. A changed list of zones is
// refused, since homes of keys depend on it.
roll_out_outcome apply_roll_out(config_log& log, const wire::roll_out& request);

// Checks the content and fills version, replaces and digest from it.
result<wire::roll_out> make_roll_out(std::string_view content);

uint64_t newest_version(const config_log& log);

std::string save_config(const config_log& log);
config_log load_config(std::string_view data);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_BUNDLE_H_
