// A log line has the format "TIME LEVEL EVENT key=value ...", where TIME is in
// ISO 8601 with milliseconds. Times are compared as numbers of milliseconds,
// not as text.
//
// A first pass finds the lines that name the request, the period that they
// cover and the upstreams that they name. A second pass keeps these lines and,
// within the period, the lines about the state that the request depended on.
#include "cyclamenwood/why.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iomanip>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>

#include "cyclamenwood/types.h"

namespace cyclamenwood {
namespace {

constexpr size_t TIME_LENGTH =
    std::string_view("2026-01-08T02:33:40.384Z").size();
constexpr size_t SECONDS_LENGTH =
    std::string_view("2026-01-08T02:33:40").size();

// Events about the state that every request depends on. Events about an
// upstream are relevant only if a line about the request names the upstream.
constexpr std::array STATE_EVENTS = {"config_in_force", "ownership_taken",
                                     "ownership_lost",  "ownership_given_up",
                                     "entry_host_lost", "started",
                                     "draining",        "stopped"};

struct log_record {
  unix_ms time_ms = 0;
  std::string_view line;
};

std::optional<unix_ms> read_time(std::string_view line) {
  if (line.size() < TIME_LENGTH || line[TIME_LENGTH - 1] != 'Z')
    return std::nullopt;
  std::istringstream text{std::string(line.substr(0, SECONDS_LENGTH))};
  std::tm parts{};
  text >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
  if (text.fail())
    return std::nullopt;
  int ms = std::atoi(std::string(line.substr(SECONDS_LENGTH + 1, 3)).c_str());
  return static_cast<unix_ms>(timegm(&parts)) * MS_PER_SECOND + ms;
}

// The value of "key=" in the line, or empty if there is none.
std::string_view find_value(std::string_view line, std::string_view key) {
  std::string pattern = fmt::format(" {}=", key);
  size_t at = line.find(pattern);
  if (at == std::string_view::npos)
    return {};
  std::string_view rest = line.substr(at + pattern.size());
  return rest.substr(0, rest.find(' '));
}

bool names_request(std::string_view line, std::string_view id) {
  std::string_view task = find_value(line, "task");
  return find_value(line, "job") == id ||
         (task.starts_with(id) && task.substr(id.size()).starts_with('.')) ||
         find_value(line, "path").ends_with(fmt::format("/{}", id));
}

bool is_state_event(std::string_view line) {
  return std::any_of(
      STATE_EVENTS.begin(), STATE_EVENTS.end(), [line](std::string_view event) {
        return line.find(fmt::format(" {} ", event)) != std::string_view::npos;
      });
}

}  // namespace

std::vector<std::string> explain(const std::vector<std::string>& lines,
                                 const why_options& options) {
  std::vector<log_record> records;
  unix_ms first_ms = INT64_MAX;
  unix_ms last_ms = 0;
  std::set<std::string_view> upstreams;
  for (const std::string& line : lines) {
    std::optional<unix_ms> time_ms = read_time(line);
    if (!time_ms)
      continue;
    records.push_back({*time_ms, line});
    if (!names_request(line, options.id))
      continue;
    first_ms = std::min(first_ms, *time_ms);
    last_ms = std::max(last_ms, *time_ms);
    upstreams.insert(find_value(line, "upstream"));
  }
  upstreams.erase(std::string_view());
  std::erase_if(records, [&](const log_record& record) {
    if (names_request(record.line, options.id))
      return false;
    bool in_period = record.time_ms >= first_ms - options.lookback_ms &&
                     record.time_ms <= last_ms;
    bool names_task = !find_value(record.line, "task").empty();
    bool names_upstream =
        upstreams.contains(find_value(record.line, "upstream")) && !names_task;
    return !in_period || !(names_upstream || is_state_event(record.line));
  });
  std::stable_sort(records.begin(), records.end(),
                   [](const log_record& a, const log_record& b) {
                     return a.time_ms < b.time_ms;
                   });
  std::vector<std::string> found;
  for (const log_record& record : records)
    found.emplace_back(record.line);
  return first_ms == INT64_MAX ? std::vector<std::string>() : found;
}

}  // namespace cyclamenwood
