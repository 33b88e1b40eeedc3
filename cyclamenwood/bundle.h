// The configuration bundle that operators approve and roll out.
//
// A bundle is JSON with comments. `parse_bundle` validates all of it: no part
// of an invalid bundle is used, and the error names the key path and the
// reason.
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
  // Estimate of a task's execution time until tasks have been observed.
  int64_t default_time_ms = 300;
  // The outcome of a task without an answer after this time is unknown.
  int64_t task_timeout_ms = 30'000;
  int64_t max_answer_bytes = 1 << 20;
};

struct class_policy {
  // Relative share of dispatches among the classes that have queued work.
  int64_t weight = 1;
};

struct tenant_policy {
  // Relative share of dispatches among the tenants of a class that have queued
  // work.
  int64_t weight = 1;
  // Both limits apply per entry host.
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
  // How long a claim on a key without its own expiry is kept, which is the time
  // for which at-most-once execution holds for such a key.
  int64_t claim_retention_s = 86'400;
  // A claim is kept this long after its key's expiry, to allow for clock skew.
  int64_t clock_skew_s = 5;
  // How long owners keep the answers of ended jobs for resubmissions.
  int64_t answer_retention_s = 600;
  // Retries allowed per hundred first attempts.
  int64_t retry_budget_percent = 10;
};

// Parses and validates a bundle. Fails with bundle_invalid.
result<bundle> parse_bundle(std::string_view text);

// ---- The configuration group's state machine ------------------------------

// Accepted versions, oldest first. Only the newest few keep their content; for
// the others the digest is enough to answer a resent roll-out.
struct config_log {
  std::deque<wire::roll_out> versions;
};

struct roll_out_outcome {
  wire::roll_out_result result = wire::ROLL_OUT_UNSPECIFIED;
  // The accepted version, or the one that the roll-out conflicts with.
  wire::roll_out winner;
  std::string detail;
};

// Applies one committed roll-out. A roll-out of an accepted version is accepted
// again if the content is equal, and is a conflict otherwise. A roll-out that
// does not replace the version in force is stale. A change to the list of zones
// is refused, since the home zones of keys depend on it.
roll_out_outcome apply_roll_out(config_log& log, const wire::roll_out& request);

// Validates the content and returns a roll-out with its version, replaces and
// digest set.
result<wire::roll_out> make_roll_out(std::string_view content);

// The version in force, or 0 when none has been accepted.
uint64_t newest_version(const config_log& log);

// Serialize the state machine for a snapshot and restore it.
std::string save_config(const config_log& log);
config_log load_config(std::string_view data);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_BUNDLE_H_
