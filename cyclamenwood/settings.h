// The settings of one deployment: a JSON file with comments that all programs
// of the deployment share. Each program gets its own name on the command line.
//
//   result<settings> loaded = load_settings("deployment.json");
//
// Unknown keys, wrong types and values out of range are errors that name the
// file, the path of the key and the reason. The keys are described in
// docs/OPERATIONS.md; the initializers below are the defaults.
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
  // "ip:port" for other entry hosts and replicas.
  std::string rpc;
};

struct replica_settings {
  std::string name;
  std::string zone;
  std::string rpc;
  // "ip:port" of /healthz, /v1/status and drain. Empty: not served.
  std::string http;
  // As printed by `cyclamenwood-replicad format`.
  uint64_t identity = 0;
};

// The address by which process `from` reaches process `to`, if it differs from
// the address that `to` listens on.
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

// How an entry host selects an upstream for a task.
enum class slot_policy {
  random,
  // The less loaded of two upstreams drawn at random, by this entry host's own
  // counts.
  two_choices,
  // Each entry host of a zone uses its share of an upstream's slots first.
  shared,
};

struct dispatch_settings {
  slot_policy slots = slot_policy::shared;
  // Limit of connections to one upstream.
  int64_t max_connections_per_upstream = 60;
  int64_t connect_timeout_ms = 500;
  // Limit of queued tasks of all tenants together.
  int64_t max_queued_tasks = 200'000;
  // Share of the upstreams of one service and zone that may be ejected at the
  // same time.
  int64_t max_ejected_percent = 50;
  // Duration of the first ejection. Doubles on repeated ejections, up to
  // sixteen times this value.
  int64_t ejection_ms = 2'000;
  // A job is refused on arrival if its estimated time, scaled by this
  // percentage, exceeds the time left until its deadline.
  int64_t early_refusal_percent = 100;
  // Attempts of an idempotent request, or of a task that provably did not
  // start.
  int64_t max_attempts = 3;
  // A job is refused if its claim is not granted within this time.
  int64_t claim_timeout_ms = 3'000;
  int64_t claim_resend_ms = 400;
  // Time within which the owner of a job must acknowledge a query.
  int64_t owner_timeout_ms = 1'500;
  // Limit of the bytes of finished answers that are kept for resubmissions.
  int64_t max_answer_store_bytes = 64 << 20;
};

struct membership_settings {
  // An upstream that has not announced itself for this long gets no new tasks.
  int64_t upstream_lease_ms = 2'500;
  int64_t vouch_interval_ms = 1'000;
  // The upstreams of a holder get no new tasks if no matching digest message
  // has been received from the holder for this long.
  int64_t vouch_timeout_ms = 2'500;
};

struct drain_settings {
  // Time from the start of the drain, when health checks begin to fail, until
  // new jobs are refused.
  int64_t notice_ms = 1'000;
  // After this time, the remaining jobs are failed and the process exits.
  int64_t limit_ms = 60'000;
};

struct replica_options {
  // Number of log entries above which they are replaced by a snapshot.
  int64_t snapshot_min_entries = 4'096;
  // Size of the log entries above which they are replaced by a snapshot, unless
  // the last snapshot was larger.
  int64_t snapshot_min_bytes = 4 << 20;
  // Limit of the claim records of a group.
  int64_t max_claim_records = 200'000;
  // Size of the write-ahead log above which it is rewritten.
  int64_t max_log_bytes = 64 << 20;
  // Delay added to each sync, to measure the effect of slower disks.
  int64_t added_sync_delay_ms = 0;
};

struct settings {
  std::string cluster;
  std::vector<std::string> zones;
  std::vector<entry_host_settings> entry_hosts;
  std::vector<replica_settings> replicas;
  std::vector<link_settings> links;
  // Names of the replicas of the configuration group.
  std::vector<std::string> config_group;
  // Names of the replicas of each claims group, by zone.
  std::map<std::string, std::vector<std::string>> claims_groups;
  http_settings http;
  dispatch_settings dispatch;
  membership_settings membership;
  drain_settings drain;
  raft_options raft;
  replica_options replica;
  log_level level = log_level::info;
};

// Parses the text of a settings file. All errors are settings_invalid.
result<settings> parse_settings(std::string_view text);

// Reads and parses a file; errors name the file.
result<settings> load_settings(const std::string& path);

constexpr std::string_view CONFIG_GROUP = "config";

// "claims/ZONE", the name of a zone's claims group.
std::string claims_group_name(std::string_view zone);

// The entry host or replica of that name, or null.
const entry_host_settings* find_entry_host(const settings& deployment,
                                           std::string_view name);
const replica_settings* find_replica(const settings& deployment,
                                     std::string_view name);

// The address by which `from` reaches `to`; empty if `to` is unknown.
std::string link_address(const settings& deployment,
                         std::string_view from,
                         std::string_view to);

// All groups as pairs of the group's name and its replicas' names, in a fixed
// order.
std::vector<std::pair<std::string, std::vector<std::string>>> all_groups(
    const settings& deployment);

// One line for each group that states which losses of replicas and zones its
// placement tolerates, for operators.
std::vector<std::string> describe_placement(const settings& deployment);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_SETTINGS_H_
