// Seeds are given as the addresses that operators use. The processes' own port
// is the same on every host, so a seed's `rpc` address is its IP address with
// the port of this host.
#include "cyclamenwood/host_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include "cyclamenwood/util/json_reader.h"
#include "cyclamenwood/util/text.h"

namespace cyclamenwood {
namespace {

constexpr size_t MAX_TEXT_BYTES = 256;
constexpr int64_t MAX_PORT = 65'535;
constexpr int64_t MAX_CORES = 1'024;
constexpr int64_t MILLI = 1'000;
constexpr int64_t MAX_SPAN_MS = 600'000;
constexpr size_t MAX_SHOWN_BYTES = 64;
constexpr std::string_view ZONE_NAME_REASON =
    "must have 1 to 256 letters, digits and any of -._~";

std::vector<std::string> read_seeds(json_reader& reader, int64_t rpc_port) {
  std::vector<std::string> seeds;
  for (const nlohmann::json& seed : reader.array("seeds", true)) {
    if (!seed.is_string()) {
      reader.fail("seeds", "must contain only addresses");
      continue;
    }
    std::string ip(ip_of(seed.get<std::string>()));
    seeds.push_back(fmt::format("{}:{}", ip, rpc_port));
  }
  return seeds;
}

// Reads the keys of an object whose values are the regions of the zones.
std::vector<std::string> read_zones(json_reader& reader) {
  std::vector<std::string> zones;
  for (const auto& [zone, region] : reader.object("zones", false).items())
    zones.push_back(zone);
  return zones;
}

// Reads a positive number, or 0 if it is absent.
double read_positive(json_reader& reader, std::string_view key) {
  const nlohmann::json* number = reader.member(key);
  if (number == nullptr)
    return 0;
  if (!number->is_number() || *number <= 0 || *number > MAX_CORES) {
    reader.fail(key, "must be a positive number");
    return 0;
  }
  return number->get<double>();
}

// Operators' requests to evacuate a zone name it in their path, and a zone that
// is not listed can't be evacuated. Deployments that serve no evacuations have
// no such restrictions.
void check_zones(json_reader& reader, const host_settings& parsed) {
  if (parsed.evacuation_ms == 0)
    return;
  for (const std::string& zone : parsed.zones) {
    if (!is_zone_name(zone))
      reader.fail(
          fmt::format("zones.{}", escape_for_log(zone, MAX_SHOWN_BYTES)),
          ZONE_NAME_REASON);
  }
  if (!is_zone_name(parsed.zone))
    reader.fail("zone", ZONE_NAME_REASON);
  bool is_listed = parsed.zones.empty() ||
                   std::find(parsed.zones.begin(), parsed.zones.end(),
                             parsed.zone) != parsed.zones.end();
  if (!is_listed)
    reader.fail("zone", "must be one of zones");
}

}  // namespace

bool is_zone_name(std::string_view text) {
  constexpr std::string_view ALLOWED =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  return !text.empty() && text.size() <= MAX_TEXT_BYTES &&
         text.find_first_not_of(ALLOWED) == std::string_view::npos;
}

std::string_view ip_of(std::string_view address) {
  return address.substr(0, address.rfind(':'));
}

std::string_view port_of(std::string_view address) {
  size_t colon = address.rfind(':');
  return colon == std::string_view::npos ? std::string_view()
                                         : address.substr(colon + 1);
}

result<host_settings> parse_host_settings(std::string_view text) {
  result<nlohmann::json> document =
      parse_json(text, true, error_code::settings_invalid);
  if (!ok(document))
    return failure(document);
  json_reader reader(value(document), "", error_code::settings_invalid);
  host_settings parsed;
  parsed.name = reader.text("name", 1, MAX_TEXT_BYTES);
  parsed.zone = reader.text("zone", 1, MAX_TEXT_BYTES);
  std::string ip = reader.text("ip", 1, MAX_TEXT_BYTES);
  int64_t rpc_port = reader.integer("rpc_port", 1, MAX_PORT);
  parsed.rpc = fmt::format("{}:{}", ip, rpc_port);
  parsed.callers = reader.text("callers", 0, MAX_TEXT_BYTES, "");
  parsed.readiness = reader.text("readiness", 0, MAX_TEXT_BYTES, "");
  parsed.control = reader.text("control", 0, MAX_TEXT_BYTES, "");
  parsed.metrics = reader.text("metrics", 0, MAX_TEXT_BYTES, "");
  parsed.seeds = read_seeds(reader, rpc_port);
  parsed.bootstrap = reader.boolean("bootstrap", false);
  parsed.data_folder = reader.text("data_folder", 0, MAX_TEXT_BYTES, "");
  parsed.run_lease_ms =
      reader.integer("run_lease_ms", 1, MAX_SPAN_MS, parsed.run_lease_ms);
  parsed.resubmission_ms =
      reader.integer("resubmission_ms", 1, MAX_SPAN_MS, parsed.resubmission_ms);
  parsed.tolerated_hosts =
      reader.integer("tolerated_hosts", 0, 100, parsed.tolerated_hosts);
  parsed.processor_milli =
      std::lround(MILLI * read_positive(reader, "processor_share") *
                  std::max(read_positive(reader, "processor_cores"), 1.0));
  parsed.zones = read_zones(reader);
  parsed.evacuation_ms =
      reader.integer("evacuation_ms", 0, MAX_SPAN_MS, parsed.evacuation_ms);
  check_zones(reader, parsed);
  parsed.learn_speeds = reader.boolean("learn_speeds", parsed.learn_speeds);
  parsed.reserve_for_waiting =
      reader.boolean("reserve_for_waiting", parsed.reserve_for_waiting);
  const nlohmann::json* grace = reader.member("stop_grace_s");
  if (grace != nullptr && grace->is_number() && *grace > 0)
    parsed.stop_grace_ms =
        static_cast<int64_t>(grace->get<double>() * MS_PER_SECOND);
  else if (grace != nullptr)
    reader.fail("stop_grace_s", "must be a positive number");
  if (std::optional<error> failed = reader.finish())
    return *failed;
  return parsed;
}

std::optional<std::string> read_text_file(const std::string& path) {
  std::ifstream input(path);
  if (!input)
    return std::nullopt;
  std::ostringstream text;
  text << input.rdbuf();
  return std::move(text).str();
}

result<host_settings> load_host_settings(const std::string& path) {
  std::optional<std::string> text = read_text_file(path);
  if (!text)
    return error{error_code::settings_invalid,
                 fmt::format("{}: cannot be read", path)};
  result<host_settings> parsed = parse_host_settings(*text);
  if (!ok(parsed))
    return error{error_code::settings_invalid,
                 fmt::format("{}: {}", path, failure(parsed).detail)};
  return parsed;
}

}  // namespace cyclamenwood
