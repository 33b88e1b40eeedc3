// Parsing has two steps: each section is read into its aggregate, then the
// checks across sections are made (names must exist, addresses must be unique).
#include "cyclamenwood/settings.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

#include "cyclamenwood/util/json_reader.h"

namespace cyclamenwood {
namespace {

constexpr error_code INVALID = error_code::settings_invalid;
constexpr size_t MAX_NAME_BYTES = 64;
constexpr size_t MAX_ADDRESS_BYTES = 64;
constexpr int64_t DAY_MS = 86'400'000;
constexpr int64_t MAX_COUNT = 1'000'000'000;
constexpr int64_t MAX_BYTES = int64_t{1} << 36;

bool is_address(std::string_view text) {
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0)
    return false;
  std::string_view digits = text.substr(colon + 1);
  int port = 0;
  auto [end, status] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  constexpr int MAX_PORT = 65'535;
  return status == std::errc() && end == digits.data() + digits.size() &&
         port > 0 && port <= MAX_PORT;
}

std::string read_address(json_reader& reader,
                         std::string_view key,
                         bool is_required) {
  std::optional<std::string> fallback;
  if (!is_required)
    fallback = "";
  std::string address = reader.text(key, 1, MAX_ADDRESS_BYTES, fallback);
  bool absent = address.empty() && !is_required;
  if (!absent && !reader.failed() && !is_address(address))
    reader.fail(key, "must be IP:PORT");
  return address;
}

std::string read_name(json_reader& reader, std::string_view key) {
  return reader.text(key, 1, MAX_NAME_BYTES);
}

uint64_t read_identity(json_reader& reader) {
  std::string text = reader.text("identity", 16, 16);
  constexpr int HEX = 16;
  uint64_t identity = 0;
  auto [end, status] =
      std::from_chars(text.data(), text.data() + text.size(), identity, HEX);
  if (!reader.failed() &&
      (status != std::errc() || end != text.data() + text.size()))
    reader.fail("identity", "must have 16 hexadecimal digits");
  return identity;
}

entry_host_settings parse_entry_host(json_reader& reader) {
  entry_host_settings host;
  host.name = read_name(reader, "name");
  host.zone = read_name(reader, "zone");
  host.http = read_address(reader, "http", true);
  host.rpc = read_address(reader, "rpc", true);
  return host;
}

replica_settings parse_replica(json_reader& reader) {
  replica_settings replica;
  replica.name = read_name(reader, "name");
  replica.zone = read_name(reader, "zone");
  replica.rpc = read_address(reader, "rpc", true);
  replica.http = read_address(reader, "http", false);
  replica.identity = read_identity(reader);
  return replica;
}

link_settings parse_link(json_reader& reader) {
  link_settings link;
  link.from = read_name(reader, "from");
  link.to = read_name(reader, "to");
  link.address = read_address(reader, "address", true);
  return link;
}

template <typename Item, typename Parse>
std::vector<Item> read_items(json_reader& reader,
                             std::string_view key,
                             bool is_required,
                             Parse parse) {
  std::vector<Item> items;
  const nlohmann::json& members = reader.array(key, is_required);
  for (size_t i = 0; i < members.size(); ++i) {
    json_reader nested(members[i], fmt::format("{}[{}]", key, i), INVALID);
    items.push_back(parse(nested));
    reader.add_nested_error(nested.finish());
  }
  return items;
}

// Calls `fill` with a reader of an optional section. If the section is absent,
// the reader holds an empty object, so that all defaults apply.
template <typename Fill>
void read_section(json_reader& reader, std::string_view key, Fill fill) {
  json_reader nested(reader.object(key, false), reader.path_of(key), INVALID);
  fill(nested);
  reader.add_nested_error(nested.finish());
}

std::vector<std::string> read_names(json_reader& reader, std::string_view key) {
  std::vector<std::string> names;
  for (const nlohmann::json& name : reader.array(key, true)) {
    if (!name.is_string()) {
      reader.fail(key, "must be an array of names");
      break;
    }
    names.push_back(name);
  }
  if (names.empty())
    reader.fail(key, "must not be empty");
  return names;
}

void fill_http(json_reader& reader, http_settings& http) {
  http.max_body_bytes =
      reader.integer("max_body_bytes", 1024, 256 << 20, http.max_body_bytes);
  http.max_tasks_per_job =
      reader.integer("max_tasks_per_job", 1, 100'000, http.max_tasks_per_job);
  http.max_key_bytes =
      reader.integer("max_key_bytes", 8, 4096, http.max_key_bytes);
  http.max_connections =
      reader.integer("max_connections", 1, 1'000'000, http.max_connections);
  http.max_connections_per_ip = reader.integer(
      "max_connections_per_ip", 1, 1'000'000, http.max_connections_per_ip);
  http.idle_timeout_s =
      reader.integer("idle_timeout_s", 1, 3600, http.idle_timeout_s);
}

slot_policy read_slot_policy(json_reader& reader, slot_policy fallback) {
  const std::map<std::string, slot_policy> policies = {
      {"random", slot_policy::random},
      {"two_choices", slot_policy::two_choices},
      {"shared", slot_policy::shared},
  };
  std::string name = reader.text("slots", 0, MAX_NAME_BYTES, "");
  if (name.empty())
    return fallback;
  auto found = policies.find(name);
  if (found == policies.end()) {
    reader.fail("slots", "must be random, two_choices or shared");
    return fallback;
  }
  return found->second;
}

void fill_dispatch(json_reader& reader, dispatch_settings& dispatch) {
  dispatch.slots = read_slot_policy(reader, dispatch.slots);
  dispatch.max_connections_per_upstream =
      reader.integer("max_connections_per_upstream", 1, 100'000,
                     dispatch.max_connections_per_upstream);
  dispatch.connect_timeout_ms = reader.integer("connect_timeout_ms", 1, DAY_MS,
                                               dispatch.connect_timeout_ms);
  dispatch.max_queued_tasks = reader.integer("max_queued_tasks", 1, MAX_COUNT,
                                             dispatch.max_queued_tasks);
  dispatch.max_ejected_percent = reader.integer("max_ejected_percent", 0, 100,
                                                dispatch.max_ejected_percent);
  dispatch.ejection_ms =
      reader.integer("ejection_ms", 1, DAY_MS, dispatch.ejection_ms);
  dispatch.early_refusal_percent = reader.integer(
      "early_refusal_percent", 10, 10'000, dispatch.early_refusal_percent);
  dispatch.max_attempts =
      reader.integer("max_attempts", 1, 10, dispatch.max_attempts);
  dispatch.claim_timeout_ms =
      reader.integer("claim_timeout_ms", 1, DAY_MS, dispatch.claim_timeout_ms);
  dispatch.claim_resend_ms =
      reader.integer("claim_resend_ms", 1, DAY_MS, dispatch.claim_resend_ms);
  dispatch.owner_timeout_ms =
      reader.integer("owner_timeout_ms", 1, DAY_MS, dispatch.owner_timeout_ms);
  dispatch.max_answer_store_bytes = reader.integer(
      "max_answer_store_bytes", 0, MAX_BYTES, dispatch.max_answer_store_bytes);
}

void fill_membership(json_reader& reader, membership_settings& membership) {
  membership.upstream_lease_ms = reader.integer(
      "upstream_lease_ms", 100, DAY_MS, membership.upstream_lease_ms);
  membership.vouch_interval_ms = reader.integer("vouch_interval_ms", 10, DAY_MS,
                                                membership.vouch_interval_ms);
  membership.vouch_timeout_ms = reader.integer("vouch_timeout_ms", 20, DAY_MS,
                                               membership.vouch_timeout_ms);
}

void fill_raft(json_reader& reader, raft_options& raft) {
  raft.election_timeout_ms = reader.integer("election_timeout_ms", 20, DAY_MS,
                                            raft.election_timeout_ms);
  raft.heartbeat_interval_ms = reader.integer(
      "heartbeat_interval_ms", 5, DAY_MS, raft.heartbeat_interval_ms);
  raft.resend_timeout_ms =
      reader.integer("resend_timeout_ms", 5, DAY_MS, raft.resend_timeout_ms);
  if (!reader.failed() &&
      raft.heartbeat_interval_ms * 2 > raft.election_timeout_ms)
    reader.fail("heartbeat_interval_ms",
                "must be at most half of election_timeout_ms");
}

void fill_replica(json_reader& reader, replica_options& replica) {
  replica.snapshot_min_entries = reader.integer(
      "snapshot_min_entries", 8, MAX_COUNT, replica.snapshot_min_entries);
  replica.snapshot_min_bytes = reader.integer(
      "snapshot_min_bytes", 4096, MAX_BYTES, replica.snapshot_min_bytes);
  replica.max_claim_records = reader.integer("max_claim_records", 1, MAX_COUNT,
                                             replica.max_claim_records);
  replica.max_log_bytes =
      reader.integer("max_log_bytes", 4096, MAX_BYTES, replica.max_log_bytes);
  replica.added_sync_delay_ms = reader.integer("added_sync_delay_ms", 0, 10'000,
                                               replica.added_sync_delay_ms);
}

log_level read_log_level(json_reader& reader) {
  const std::map<std::string, log_level> levels = {
      {"debug", log_level::debug},
      {"info", log_level::info},
      {"warning", log_level::warning},
      {"error", log_level::error},
  };
  std::string name = reader.text("log_level", 1, MAX_NAME_BYTES, "info");
  auto found = levels.find(name);
  if (found != levels.end())
    return found->second;
  reader.fail("log_level", "must be debug, info, warning or error");
  return log_level::info;
}

// Checks consistency across sections: names must be unique and known, addresses
// must be unique.
class consistency_checker {
 public:
  consistency_checker(json_reader& reader, const settings& deployment)
      : reader_(reader), deployment_(deployment) {}

  void run() {
    for (const entry_host_settings& host : deployment_.entry_hosts) {
      check_process("entry_hosts", host.name, host.zone);
      check_address("entry_hosts", host.http);
      check_address("entry_hosts", host.rpc);
    }
    for (const replica_settings& replica : deployment_.replicas) {
      check_process("replicas", replica.name, replica.zone);
      check_address("replicas", replica.rpc);
      if (!replica.http.empty())
        check_address("replicas", replica.http);
    }
    check_groups();
    check_links();
  }

 private:
  void check_process(std::string_view key,
                     const std::string& name,
                     const std::string& zone) {
    if (!names_.insert(name).second)
      reader_.fail(key, fmt::format("name {} is used twice", name));
    if (std::find(deployment_.zones.begin(), deployment_.zones.end(), zone) ==
        deployment_.zones.end())
      reader_.fail(key, fmt::format("{} names unknown zone {}", name, zone));
  }

  void check_address(std::string_view key, const std::string& address) {
    if (!addresses_.insert(address).second)
      reader_.fail(key, fmt::format("address {} is used twice", address));
  }

  void check_groups() {
    for (const auto& [group, names] : all_groups(deployment_)) {
      std::set<std::string> seen;
      for (const std::string& name : names) {
        if (find_replica(deployment_, name) == nullptr)
          reader_.fail("groups",
                       fmt::format("{} names unknown replica {}", group, name));
        if (!seen.insert(name).second)
          reader_.fail("groups", fmt::format("{} names {} twice", group, name));
      }
    }
    for (const std::string& zone : deployment_.zones) {
      if (!deployment_.claims_groups.contains(zone))
        reader_.fail("groups.claims", fmt::format("has no group for {}", zone));
    }
    if (deployment_.claims_groups.size() != deployment_.zones.size())
      reader_.fail("groups.claims", "names an unknown zone");
  }

  void check_links() {
    for (const link_settings& link : deployment_.links) {
      if (!names_.contains(link.from) || !names_.contains(link.to))
        reader_.fail("links", fmt::format("{} to {} names an unknown process",
                                          link.from, link.to));
    }
  }

  json_reader& reader_;
  const settings& deployment_;
  std::set<std::string> names_;
  std::set<std::string> addresses_;
};

void read_groups(json_reader& reader, settings& deployment) {
  json_reader groups(reader.object("groups", true), "groups", INVALID);
  deployment.config_group = read_names(groups, "config");
  const nlohmann::json& claims = groups.object("claims", true);
  json_reader by_zone(claims, "groups.claims", INVALID);
  for (const auto& [zone, unused] : claims.items())
    deployment.claims_groups[zone] = read_names(by_zone, zone);
  groups.add_nested_error(by_zone.finish());
  reader.add_nested_error(groups.finish());
}

}  // namespace

result<settings> parse_settings(std::string_view text) {
  result<nlohmann::json> document = parse_json(text, true, INVALID);
  if (!ok(document))
    return failure(document);
  json_reader reader(value(document), "", INVALID);
  settings deployment;
  deployment.cluster = read_name(reader, "cluster");
  deployment.zones = read_names(reader, "zones");
  deployment.entry_hosts = read_items<entry_host_settings>(
      reader, "entry_hosts", true, parse_entry_host);
  deployment.replicas =
      read_items<replica_settings>(reader, "replicas", true, parse_replica);
  deployment.links =
      read_items<link_settings>(reader, "links", false, parse_link);
  read_groups(reader, deployment);
  read_section(reader, "http", [&](auto& r) { fill_http(r, deployment.http); });
  read_section(reader, "dispatch",
               [&](auto& r) { fill_dispatch(r, deployment.dispatch); });
  read_section(reader, "membership",
               [&](auto& r) { fill_membership(r, deployment.membership); });
  read_section(reader, "drain", [&](json_reader& r) {
    deployment.drain.notice_ms =
        r.integer("notice_ms", 0, DAY_MS, deployment.drain.notice_ms);
    deployment.drain.limit_ms =
        r.integer("limit_ms", 1, DAY_MS, deployment.drain.limit_ms);
  });
  read_section(reader, "raft", [&](auto& r) { fill_raft(r, deployment.raft); });
  read_section(reader, "replica",
               [&](auto& r) { fill_replica(r, deployment.replica); });
  deployment.level = read_log_level(reader);
  if (!reader.failed())
    consistency_checker(reader, deployment).run();
  if (auto failed = reader.finish())
    return *failed;
  return deployment;
}

result<settings> load_settings(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return error{INVALID, fmt::format("{}: cannot be read", path)};
  std::ostringstream text;
  text << file.rdbuf();
  result<settings> parsed = parse_settings(text.str());
  if (!ok(parsed))
    return error{INVALID, fmt::format("{}: {}", path, failure(parsed).detail)};
  return parsed;
}

std::string claims_group_name(std::string_view zone) {
  return fmt::format("claims/{}", zone);
}

const entry_host_settings* find_entry_host(const settings& deployment,
                                           std::string_view name) {
  for (const entry_host_settings& host : deployment.entry_hosts) {
    if (host.name == name)
      return &host;
  }
  return nullptr;
}

const replica_settings* find_replica(const settings& deployment,
                                     std::string_view name) {
  for (const replica_settings& replica : deployment.replicas) {
    if (replica.name == name)
      return &replica;
  }
  return nullptr;
}

std::string link_address(const settings& deployment,
                         std::string_view from,
                         std::string_view to) {
  for (const link_settings& link : deployment.links) {
    if (link.from == from && link.to == to)
      return link.address;
  }
  if (const entry_host_settings* host = find_entry_host(deployment, to))
    return host->rpc;
  if (const replica_settings* replica = find_replica(deployment, to))
    return replica->rpc;
  return {};
}

std::vector<std::pair<std::string, std::vector<std::string>>> all_groups(
    const settings& deployment) {
  std::vector<std::pair<std::string, std::vector<std::string>>> groups;
  groups.emplace_back(CONFIG_GROUP, deployment.config_group);
  for (const auto& [zone, names] : deployment.claims_groups)
    groups.emplace_back(claims_group_name(zone), names);
  return groups;
}

std::vector<std::string> describe_placement(const settings& deployment) {
  std::vector<std::string> lines;
  for (const auto& [group, names] : all_groups(deployment)) {
    size_t quorum = names.size() / 2 + 1;
    std::map<std::string, size_t> by_zone;
    for (const std::string& name : names) {
      const replica_settings* replica = find_replica(deployment, name);
      if (replica != nullptr)
        ++by_zone[replica->zone];
    }
    std::vector<std::string> served_alone;
    std::vector<std::string> survivable;
    for (const std::string& zone : deployment.zones) {
      if (by_zone[zone] >= quorum)
        served_alone.push_back(zone);
      if (names.size() - by_zone[zone] >= quorum)
        survivable.push_back(zone);
    }
    lines.push_back(fmt::format(
        "{}: {} replicas, survives the loss of {} at a time; of zones: [{}]; "
        "cut off, serves alone: [{}]",
        group, names.size(), names.size() - quorum, fmt::join(survivable, " "),
        fmt::join(served_alone, " ")));
  }
  return lines;
}

}  // namespace cyclamenwood
