// The settings of one deployment: one JSON file with comments, the same for
// all its programs; each is told its own name on the command line.
//
// `parse_settings` refuses unknown keys, wrong types and values out of range
// with the file, the key's path and the reason. The keys are described in
// docs/OPERATIONS.md; the fields below carry the defaults.
#ifndef CYCLAMENWOOD_SETTINGS_H_
#define CYCLAMENWOOD_SETTINGS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenwood/raft.h"
#include "cyclamenwood/types.h"

namespace cyclamenwood {

enum class log_level { debug, info, warning, error };

struct entry_host_settings {
  std::string name;
  std::string zone;
  // "ip:port" for callers, upstreams and operators.
  std::string http;
  // "ip:port" for the project's own processes.
  std::string rpc;
};

struct replica_settings {
  std::string name;
  std::string zone;
  std::string rpc;
  // "ip:port" of /healthz, /v1/status and drain; empty: none.
  std::string http;
  // As printed by `cyclamenwood-replicad format`.
  uint64_t identity = 0;
};

// How one process reaches another when that is not the other's own address.
struct link_settings {
  std::string from;
  std::string to;
  std::string address;
};

struct http_settings {
  int64_t max_body_bytes = 8 << 20;
  int64_t max_tasks_per_job = 1000;
  int64_t max_key_bytes = 256;
  int64_t max_connections = 4096;
  int64_t max_connections_per_ip = 4096;
  // A connection without progress for this long is closed.
  int64_t idle_timeout_s = 30;
};

enum class slot_policy {
  random,
  // The less loaded of two upstreams drawn at random, by own counts.
  two_choices,
  // Each entry host of a zone uses its share of an upstream's slots first.
  shared,
};

struct dispatch_settings {
  slot_policy slots = slot_policy::shared;
  // Connections kept open to one upstream.
  int64_t max_connections_per_upstream = 60;
  int64_t connect_timeout_ms = 500;
  // Queued tasks over all tenants.
  int64_t max_queued_tasks = 200'000;
  // Upstreams of one service and zone that may be ejected at a time.
  int64_t max_ejected_percent = 50;
  // First ejection time; doubles up to sixteen times this.
  int64_t ejection_ms = 2'000;
  // Extra deadline allowance before an early refusal.
  int64_t early_refusal_percent = 100;
  // Attempts for idempotent requests and for tasks that provably did not
  // start.
  int64_t max_attempts = 3;
  // Wait for a claim before the job is refused.
  int64_t claim_timeout_ms = 3'000;
  int64_t claim_resend_ms = 400;
  // Wait for the owner of a job to take up a query.
  int64_t owner_timeout_ms = 1'500;
  // Bytes of finished answers kept for resubmissions.
  int64_t max_answer_store_bytes = 64 << 20;
};

struct membership_settings {
  // An upstream that has not announced itself for this long gets no new
  // task.
  int64_t upstream_lease_ms = 2'500;
  int64_t vouch_interval_ms = 1'000;
  // A set whose holder has not vouched for this long gets no new task.
  int64_t vouch_timeout_ms = 2'500;
};

struct drain_settings {
  // Time between the first failing health check and the first refusal.
  int64_t notice_ms = 1'000;
  // After this time remaining jobs are failed and the process exits.
  int64_t limit_ms = 60'000;
};

struct replica_options {
  // Log entries above which a snapshot replaces them.
  int64_t snapshot_min_entries = 4'096;
  // Claims records a group holds.
  int64_t max_claim_records = 200'000;
  // Size of the write-ahead log above which it is rewritten.
  int64_t max_log_bytes = 64 << 20;
  // Added to each sync; for measuring slower disks.
  int64_t added_sync_delay_ms = 0;
};

struct settings {
  std::string cluster;
  std::vector<std::string> zones;
  std::vector<entry_host_settings> entry_hosts;
  std::vector<replica_settings> replicas;
  std::vector<link_settings> links;
  // Names of replicas.
  std::vector<std::string> config_group;
  // By zone.
  std::map<std::string, std::vector<std::string>> claims_groups;
  http_settings http;
  dispatch_settings dispatch;
  membership_settings membership;
  drain_settings drain;
  raft_options raft;
  replica_options replica;
  log_level level = log_level::info;
};

result<settings> parse_settings(std::string_view text);

// Reads and parses a file; errors name it.
result<settings> load_settings(const std::string& path);

constexpr std::string_view CONFIG_GROUP = "config";

// "claims/ZONE".
std::string claims_group_name(std::string_view zone);

const entry_host_settings* find_entry_host(const settings& all,
                                           std::string_view name);
const replica_settings* find_replica(const settings& all,
                                     std::string_view name);

// The address by which `from` reaches `to`; empty when `to` is unknown.
std::string link_address(const settings& all,
                         std::string_view from,
                         std::string_view to);

// Groups (name, replicas' names) in a fixed order.
std::vector<std::pair<std::string, std::vector<std::string>>> all_groups(
    const settings& all);

// What each group's placement survives, one line a group, for operators.
std::vector<std::string> describe_placement(const settings& all);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_SETTINGS_H_
