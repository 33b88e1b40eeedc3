// Parsing uses `json_reader`, which names the path of each invalid key. The
// state machine is a bounded list of versions in order of acceptance.
#include "cyclamenwood/bundle.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "cyclamenwood/util/json_reader.h"

namespace cyclamenwood {
namespace {

constexpr size_t MAX_NAME_BYTES = 64;
constexpr size_t MAX_BUNDLE_BYTES = 1 << 20;
constexpr int64_t MAX_ZONES = 16;
constexpr int64_t MAX_WEIGHT = 1000;
constexpr int64_t MAX_TASKS = 10'000'000;
constexpr size_t MAX_VERSIONS_KEPT = 4096;
constexpr size_t MAX_CONTENTS_KEPT = 4;
constexpr int64_t MAX_VERSION = INT64_MAX;

constexpr error_code INVALID = error_code::bundle_invalid;

bool is_name(std::string_view text) {
  if (text.empty() || text.size() > MAX_NAME_BYTES)
    return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

service_policy parse_service(json_reader& reader) {
  service_policy service;
  service.default_time_ms =
      reader.integer("default_time_ms", 1, 600'000, service.default_time_ms);
  service.task_timeout_ms =
      reader.integer("task_timeout_ms", 1, 3'600'000, service.task_timeout_ms);
  service.max_answer_bytes =
      reader.integer("max_answer_bytes", 1, 64 << 20, service.max_answer_bytes);
  return service;
}

class_policy parse_class(json_reader& reader) {
  class_policy policy;
  policy.weight = reader.integer("weight", 1, MAX_WEIGHT, policy.weight);
  return policy;
}

tenant_policy parse_tenant(json_reader& reader) {
  tenant_policy tenant;
  tenant.weight = reader.integer("weight", 1, MAX_WEIGHT, tenant.weight);
  tenant.max_running_tasks = reader.integer("max_running_tasks", 1, MAX_TASKS,
                                            tenant.max_running_tasks);
  tenant.max_queued_tasks =
      reader.integer("max_queued_tasks", 1, MAX_TASKS, tenant.max_queued_tasks);
  return tenant;
}

// Reads an object that maps names to policies.
template <typename Policy, typename Parse>
void read_policies(json_reader& reader,
                   std::string_view key,
                   Parse parse,
                   std::map<std::string, Policy, std::less<>>& into) {
  const nlohmann::json& members = reader.object(key, true);
  for (const auto& [name, member] : members.items()) {
    std::string path = fmt::format("{}.{}", key, name);
    if (!is_name(name))
      reader.fail(path, "name must have 1 to 64 of A-Z a-z 0-9 - _ .");
    json_reader nested(member, path, INVALID);
    into.emplace(name, parse(nested));
    reader.add_nested_error(nested.finish());
  }
  if (members.empty())
    reader.fail(key, "must not be empty");
}

void read_zones(json_reader& reader, std::vector<std::string>& zones) {
  std::set<std::string> seen;
  for (const nlohmann::json& zone : reader.array("zones", true)) {
    if (!zone.is_string() || !is_name(zone.get_ref<const std::string&>())) {
      reader.fail("zones", "must be names of 1 to 64 of A-Z a-z 0-9 - _ .");
      return;
    }
    if (!seen.insert(zone).second)
      reader.fail("zones", "names a zone twice");
    zones.push_back(zone);
  }
  if (zones.empty() || zones.size() > MAX_ZONES)
    reader.fail("zones", fmt::format("must have 1 to {} zones", MAX_ZONES));
}

std::vector<std::string> zones_of(std::string_view content) {
  result<bundle> parsed = parse_bundle(content);
  return ok(parsed) ? value(parsed).zones : std::vector<std::string>();
}

}  // namespace

result<bundle> parse_bundle(std::string_view text) {
  if (text.size() > MAX_BUNDLE_BYTES)
    return error{INVALID, fmt::format("document: longer than {} bytes",
                                      MAX_BUNDLE_BYTES)};
  result<nlohmann::json> document = parse_json(text, true, INVALID);
  if (!ok(document))
    return failure(document);
  json_reader reader(value(document), "", INVALID);
  bundle parsed;
  parsed.version = reader.integer("version", 1, MAX_VERSION);
  parsed.replaces = reader.integer("replaces", 0, MAX_VERSION);
  read_zones(reader, parsed.zones);
  read_policies(reader, "services", parse_service, parsed.services);
  read_policies(reader, "classes", parse_class, parsed.classes);
  read_policies(reader, "tenants", parse_tenant, parsed.tenants);
  parsed.claim_retention_s = reader.integer("claim_retention_s", 1, 31'536'000,
                                            parsed.claim_retention_s);
  parsed.clock_skew_s =
      reader.integer("clock_skew_s", 0, 3600, parsed.clock_skew_s);
  parsed.answer_retention_s = reader.integer("answer_retention_s", 1, 86'400,
                                             parsed.answer_retention_s);
  parsed.retry_budget_percent = reader.integer("retry_budget_percent", 0, 100,
                                               parsed.retry_budget_percent);
  if (!reader.failed() && parsed.replaces >= parsed.version)
    reader.fail("replaces", "must be below version");
  if (auto failed = reader.finish())
    return *failed;
  return parsed;
}

result<wire::roll_out> make_roll_out(std::string_view content) {
  result<bundle> parsed = parse_bundle(content);
  if (!ok(parsed))
    return failure(parsed);
  wire::roll_out request;
  request.set_version(value(parsed).version);
  request.set_replaces(value(parsed).replaces);
  request.set_content(std::string(content));
  request.set_digest(content_digest(content));
  return request;
}

uint64_t newest_version(const config_log& log) {
  return log.versions.empty() ? 0 : log.versions.back().version();
}

roll_out_outcome apply_roll_out(config_log& log,
                                const wire::roll_out& request) {
  roll_out_outcome outcome;
  auto known = std::find_if(log.versions.begin(), log.versions.end(),
                            [&request](const wire::roll_out& accepted) {
                              return accepted.version() == request.version();
                            });
  if (known != log.versions.end()) {
    bool same = known->digest() == request.digest();
    outcome.result = same ? wire::ROLL_OUT_ACCEPTED : wire::ROLL_OUT_CONFLICT;
    outcome.winner = *known;
    return outcome;
  }
  if (!log.versions.empty())
    outcome.winner = log.versions.back();
  if (request.replaces() != newest_version(log)) {
    outcome.result = wire::ROLL_OUT_STALE;
    outcome.detail = fmt::format("replaces {}, but version {} is in force",
                                 request.replaces(), newest_version(log));
    return outcome;
  }
  bool zones_change =
      !log.versions.empty() &&
      zones_of(log.versions.back().content()) != zones_of(request.content());
  if (zones_change) {
    outcome.result = wire::ROLL_OUT_REFUSED;
    outcome.detail = "zones: the list cannot change after the first bundle";
    return outcome;
  }
  log.versions.push_back(request);
  if (log.versions.size() > MAX_CONTENTS_KEPT)
    log.versions[log.versions.size() - 1 - MAX_CONTENTS_KEPT].clear_content();
  if (log.versions.size() > MAX_VERSIONS_KEPT)
    log.versions.pop_front();
  outcome.result = wire::ROLL_OUT_ACCEPTED;
  outcome.winner = request;
  return outcome;
}

std::string save_config(const config_log& log) {
  wire::config_history saved;
  for (const wire::roll_out& version : log.versions)
    *saved.add_versions() = version;
  return saved.SerializeAsString();
}

config_log load_config(std::string_view data) {
  wire::config_history saved;
  saved.ParseFromArray(data.data(), static_cast<int>(data.size()));
  config_log log;
  for (const wire::roll_out& version : saved.versions())
    log.versions.push_back(version);
  return log;
}

}  // namespace cyclamenwood
