// Tests the parsers of settings, bundles, requests and keys: which input is
// accepted, and the path and reason in the error for each refused one.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "cyclamenwood/api.h"
#include "cyclamenwood/bundle.h"
#include "cyclamenwood/settings.h"

namespace cyclamenwood {
namespace {

using json = nlohmann::json;

json good_settings() {
  return json::parse(R"({
    "cluster": "test", "zones": ["a", "b"],
    "entry_hosts": [
      {"name": "a-1", "zone": "a", "http": "127.0.0.1:1", "rpc": "127.0.0.1:2"}],
    "replicas": [
      {"name": "a-r1", "zone": "a", "rpc": "127.0.0.1:3",
       "identity": "00000000000000aa"},
      {"name": "b-r1", "zone": "b", "rpc": "127.0.0.1:4",
       "identity": "00000000000000ab"}],
    "groups": {"config": ["a-r1"], "claims": {"a": ["a-r1"], "b": ["b-r1"]}}
  })");
}

json good_bundle() {
  return json::parse(R"({
    "version": 2, "replaces": 1, "zones": ["a", "b"],
    "services": {"fit-desk": {"default_time_ms": 200}},
    "classes": {"interactive": {"weight": 8}},
    "tenants": {"zupancic": {"weight": 3, "max_running_tasks": 100}}
  })");
}

std::string settings_error(const json& text) {
  result<settings> parsed = parse_settings(text.dump());
  return ok(parsed) ? "" : failure(parsed).detail;
}

std::string bundle_error(const json& text) {
  result<bundle> parsed = parse_bundle(text.dump());
  return ok(parsed) ? "" : failure(parsed).detail;
}

TEST(settings, comments_and_defaults) {
  result<settings> parsed =
      parse_settings("// deployment\n" + good_settings().dump());
  ASSERT_TRUE(ok(parsed));
  EXPECT_EQ(value(parsed).http.max_tasks_per_job, 1000);
  EXPECT_EQ(value(parsed).replicas[0].identity, 0xaaU);
  EXPECT_EQ(link_address(value(parsed), "a-1", "b-r1"), "127.0.0.1:4");
}

TEST(settings, errors_name_the_path) {
  struct row {
    const char* patch;
    const char* wanted;
  };
  const row rows[] = {
      {R"({"http": {"max_boddy": 1}})", "http.max_boddy: is not a known key"},
      {R"({"http": {"max_body_bytes": "8 MB"}})",
       "http.max_body_bytes: must be a whole number"},
      {R"({"http": {"max_body_bytes": 1}})",
       "http.max_body_bytes: must be between 1024 and 268435456"},
      {R"({"zones": []})", "zones: must not be empty"},
      {R"({"zones": null})", "zones: is missing"},
      {R"({"groups": {"config": ["x"]}})",
       "groups: config names unknown replica x"},
      {R"({"groups": {"claims": {"b": null}}})",
       "groups.claims: has no group for b"},
      {R"({"dispatch": {"slots": "best"}})",
       "dispatch.slots: must be random, two_choices or shared"},
      {R"({"log_level": "loud"})",
       "log_level: must be debug, info, warning or error"},
      {R"({"raft": {"heartbeat_interval_ms": 900}})",
       "raft.heartbeat_interval_ms: must be at most half of "
       "election_timeout_ms"},
  };
  for (const row& item : rows) {
    json text = good_settings();
    text.merge_patch(json::parse(item.patch));
    EXPECT_EQ(settings_error(text), item.wanted);
  }
  json text = good_settings();
  text["entry_hosts"][0]["http"] = "localhost";
  EXPECT_EQ(settings_error(text), "entry_hosts[0].http: must be IP:PORT");
  EXPECT_EQ(failure(parse_settings("{")).detail, "not JSON at byte 2");
}

TEST(settings, describes_placement) {
  result<settings> parsed = parse_settings(good_settings().dump());
  std::vector<std::string> lines = describe_placement(value(parsed));
  EXPECT_EQ(lines[0],
            "config: 1 replicas, survives the loss of 0 at a time; of zones: "
            "[b]; cut off, serves alone: [a]");
}

TEST(bundle, errors_name_the_path) {
  struct row {
    const char* patch;
    const char* wanted;
  };
  const row rows[] = {
      {R"({"version": 0})",
       "version: must be between 1 and 9223372036854775807"},
      {R"({"replaces": 2})", "replaces: must be below version"},
      {R"({"tenants": {}})", ""},
      {R"({"tenants": {"zupancic": {"weight": 0}}})",
       "tenants.zupancic.weight: must be between 1 and 1000"},
      {R"({"tenants": {"zupancic": {"wait": 1}}})",
       "tenants.zupancic.wait: is not a known key"},
      {R"({"services": {"a b": {}}})",
       "services.a b: name must have 1 to 64 of A-Z a-z 0-9 - _ ."},
      {R"({"retry_budget_percent": 1.5})",
       "retry_budget_percent: must be a whole number"},
      {R"({"surprise": true})", "surprise: is not a known key"},
  };
  for (const row& item : rows) {
    json text = good_bundle();
    text.merge_patch(json::parse(item.patch));
    EXPECT_EQ(bundle_error(text), item.wanted);
  }
}

std::string version_text(uint64_t version,
                         uint64_t replaces,
                         int retention = 100) {
  json text = good_bundle();
  text["version"] = version;
  text["replaces"] = replaces;
  text["claim_retention_s"] = retention;
  return text.dump();
}

wire::roll_out make(const std::string& content) {
  result<wire::roll_out> made = make_roll_out(content);
  return value(made);
}

TEST(bundle, roll_outs_race_and_repeat) {
  config_log log;
  auto apply = [&log](const std::string& content) {
    return apply_roll_out(log, make(content)).result;
  };
  EXPECT_EQ(apply(version_text(1, 0)), wire::ROLL_OUT_ACCEPTED);
  EXPECT_EQ(apply(version_text(2, 1, 101)), wire::ROLL_OUT_ACCEPTED);
  // Another operator uses the same version number; then both roll-outs are
  // sent again.
  EXPECT_EQ(apply(version_text(2, 1, 102)), wire::ROLL_OUT_CONFLICT);
  EXPECT_EQ(apply(version_text(2, 1, 101)), wire::ROLL_OUT_ACCEPTED);
  EXPECT_EQ(apply(version_text(1, 0)), wire::ROLL_OUT_ACCEPTED);
  EXPECT_EQ(newest_version(log), 2U);
  EXPECT_EQ(apply(version_text(4, 1)), wire::ROLL_OUT_STALE);
  json zones = json::parse(version_text(3, 2));
  zones["zones"] = {"a"};
  EXPECT_EQ(apply(zones.dump()), wire::ROLL_OUT_REFUSED);
  // Resends are recognized after hundreds of versions and a snapshot.
  for (uint64_t version = 3; version <= 400; ++version)
    EXPECT_EQ(apply(version_text(version, version - 1)),
              wire::ROLL_OUT_ACCEPTED);
  log = load_config(save_config(log));
  EXPECT_EQ(apply(version_text(2, 1, 101)), wire::ROLL_OUT_ACCEPTED);
  EXPECT_EQ(apply(version_text(2, 1, 102)), wire::ROLL_OUT_CONFLICT);
  EXPECT_EQ(newest_version(log), 400U);
}

std::string job_error(const std::string& body) {
  result<submission> parsed = parse_job(body, http_settings());
  return ok(parsed) ? "" : failure(parsed).detail;
}

TEST(api, bad_jobs_are_named) {
  json job = {{"tenant", "t"},
              {"key", "k"},
              {"class", "c"},
              {"deadline_ms", 5},
              {"tasks", {{{"service", "s"}}}}};
  EXPECT_EQ(job_error(job.dump()), "");
  EXPECT_EQ(job_error("{"), "not JSON at byte 2");
  EXPECT_EQ(job_error("[]"), "document: must be an object");
  json bad = job;
  bad["key"] = 7;
  EXPECT_EQ(job_error(bad.dump()), "key: must be a string");
  bad = job;
  bad["key"] = "a\nb";
  EXPECT_EQ(job_error(bad.dump()), "key: must have no control characters");
  bad = job;
  bad["key"] = std::string(257, 'k');
  EXPECT_EQ(job_error(bad.dump()), "key: must have 1 to 256 bytes");
  bad = job;
  bad["tasks"] = json::array();
  EXPECT_EQ(job_error(bad.dump()), "tasks: must not be empty");
  bad = job;
  bad["tasks"][0]["service"] = json::array();
  EXPECT_EQ(job_error(bad.dump()), "tasks[0].service: must be a string");
  bad = job;
  bad["priority"] = 1;
  EXPECT_EQ(job_error(bad.dump()), "priority: is not a known key");
  bad = job;
  bad["deadline_ms"] = 18446744073709551615U;
  EXPECT_EQ(job_error(bad.dump()),
            "deadline_ms: must be between 1 and 253402300799000");
  bad = job;
  for (int i = 0; i < 1001; ++i)
    bad["tasks"].push_back({{"service", "s"}});
  result<submission> many = parse_job(bad.dump(), http_settings());
  EXPECT_EQ(failure(many).code, error_code::request_too_large);
}

TEST(api, digest_covers_content_and_not_the_deadline) {
  json job = {{"tenant", "t"},
              {"key", "k"},
              {"class", "c"},
              {"deadline_ms", 5},
              {"tasks", {{{"service", "s"}}}}};
  auto digest = [](const json& body) {
    result<submission> parsed = parse_job(body.dump(), http_settings());
    return submission_digest(value(parsed));
  };
  json later = job;
  later["deadline_ms"] = 9;
  EXPECT_EQ(digest(job), digest(later));
  json other = job;
  other["tasks"][0]["payload"] = "x";
  EXPECT_NE(digest(job), digest(other));
}

TEST(keys, home_and_expiry) {
  std::vector<std::string> zones = {"lj-vic", "kranj"};
  EXPECT_EQ(parse_key("t", "kranj:order", zones).home_zone, "kranj");
  EXPECT_EQ(parse_key("t", "kranj:order", zones).expiry_ms, 0);
  EXPECT_EQ(parse_key("t", "kranj:1796360000:order", zones).expiry_ms,
            1'796'360'000'000);
  EXPECT_EQ(parse_key("t", "kranj:x1:order", zones).expiry_ms, 0);
  EXPECT_EQ(parse_key("t", "kranj:9999999999999999:o", zones).expiry_ms, 0);
  // Any other key has one home zone, which depends only on tenant and key.
  std::map<std::string, int> homes;
  for (int i = 0; i < 1000; ++i) {
    std::string key = "order-" + std::to_string(i);
    parsed_key parsed = parse_key("t", key, zones);
    EXPECT_EQ(parsed.home_zone, parse_key("t", key, zones).home_zone);
    ++homes[parsed.home_zone];
  }
  EXPECT_GT(homes["kranj"], 400);
  EXPECT_GT(homes["lj-vic"], 400);
}

}  // namespace
}  // namespace cyclamenwood
