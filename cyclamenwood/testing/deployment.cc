// Processes are started with fork and exec and log into files of the
// deployment's temporary folder. The parent-death signal kills them when the
// test that started them ends, also when it crashes.
//
// Each deployment uses a /24 of 127.0.0.0/8 that is derived from the process
// id, so that tests can run in parallel. Each host has an address of its own in
// it, with fixed ports; the proxy's listeners share one address.
#include "cyclamenwood/testing/deployment.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "cyclamenwood/loop.h"
#include "cyclamenwood/settings.h"
#include "cyclamenwood/util/blocking_http.h"
#include "cyclamenwood/wal.h"

namespace cyclamenwood {
namespace {

constexpr int POLL_INTERVAL_MS = 10;
constexpr int HTTP_PORT = 8000;
constexpr int RPC_PORT = 9000;
constexpr int UPSTREAM_PORT = 7000;
constexpr const char* PROXY_IP_SUFFIX = "250";

void sleep_ms(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// The folder that holds the built programs.
std::string program_folder() {
  const char* folder = std::getenv("CYCLAMENWOOD_PROGRAMS");
  if (folder != nullptr)
    return folder;
  std::error_code ignored;
  auto self = std::filesystem::read_symlink("/proc/self/exe", ignored);
  return self.parent_path().string();
}

}  // namespace

pid_t spawn(const std::vector<std::string>& command, const std::string& log) {
  pid_t pid = fork();
  if (pid != 0)
    return pid;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int descriptor = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
  dup2(descriptor, STDOUT_FILENO);
  dup2(descriptor, STDERR_FILENO);
  std::vector<char*> arguments;
  for (const std::string& word : command)
    arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(127);
}

int wait_for_exit(pid_t& pid, int64_t limit_ms) {
  int state = 0;
  bool ended = wait_until([&] { return waitpid(pid, &state, WNOHANG) == pid; },
                          limit_ms);
  if (!ended)
    return -1;
  pid = -1;
  return WIFEXITED(state) ? WEXITSTATUS(state) : -1;
}

std::string http_reply::outcome() const {
  nlohmann::json parsed = json();
  if (!parsed.is_object())
    return "no_answer";
  if (parsed.contains("error"))
    return parsed["error"].value("type", "");
  return parsed.value("state", "");
}

std::string http_reply::execution() const {
  nlohmann::json parsed = json();
  return parsed.is_object() ? parsed.value("execution", "") : "";
}

http_reply http_call(const std::string& address,
                     const std::string& method,
                     const std::string& path,
                     const std::string& body,
                     int64_t timeout_ms) {
  result<api_answer> answer =
      call(blocking_request{address, method, path, body, timeout_ms});
  if (!ok(answer))
    return {};
  return {value(answer).status, std::move(value(answer).body)};
}

std::string program_path(const std::string& name) {
  std::filesystem::path here = program_folder();
  for (const auto& folder :
       {here, here.parent_path(), here.parent_path().parent_path(),
        here / "cyclamenwood/testing",
        here.parent_path() / "cyclamenwood/testing"}) {
    if (std::filesystem::exists(folder / name))
      return (folder / name).string();
  }
  return name;
}

bool wait_until(const std::function<bool()>& condition, int64_t limit_ms) {
  int64_t end_us = monotonic_us() + limit_ms * 1000;
  while (!condition()) {
    if (monotonic_us() > end_us)
      return false;
    sleep_ms(POLL_INTERVAL_MS);
  }
  return true;
}

nlohmann::json make_job(const std::string& key,
                        size_t tasks,
                        const std::string& payload,
                        unix_ms deadline_ms,
                        const std::string& service) {
  nlohmann::json job;
  job["tenant"] = "zupancic";
  job["key"] = key;
  job["class"] = "interactive";
  job["deadline_ms"] = deadline_ms;
  job["tasks"] = nlohmann::json::array();
  for (size_t i = 0; i < tasks; ++i)
    job["tasks"].push_back(
        {{"service", service}, {"payload", fmt::format("{} |{}", payload, i)}});
  return job;
}

deployment::deployment(deployment_options options)
    : options_(std::move(options)) {
  static int instances = 0;
  int seed = getpid() * 4 + instances++;
  ip_prefix_ = fmt::format("127.{}.{}.", 64 + seed % 190, seed / 190 % 250);
  std::string pattern =
      (std::filesystem::temp_directory_path() / "cyclamenwood-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  plan_processes();
}

deployment::~deployment() {
  for (auto& [name, process] : processes_) {
    if (process.pid > 0) {
      kill(process.pid, SIGKILL);
      waitpid(process.pid, nullptr, 0);
    }
  }
  proxy_.reset();
  if (std::getenv("CYCLAMENWOOD_KEEP") == nullptr)
    std::filesystem::remove_all(folder_);
  else
    fmt::print(stderr, "kept the data of the deployment in {}\n", folder_);
}

std::string deployment::new_ip() {
  return ip_prefix_ + std::to_string(next_ip_++);
}

void deployment::plan_processes() {
  for (const std::string& zone : options_.zones) {
    for (int i = 1; i <= options_.entry_hosts_a_zone; ++i) {
      std::string name = fmt::format("{}-{}", zone, i);
      std::string ip = new_ip();
      processes_[name] = {name,
                          zone,
                          fmt::format("{}:{}", ip, HTTP_PORT),
                          fmt::format("{}:{}", ip, RPC_PORT),
                          {program_path("cyclamenwood-entryd"), "--settings",
                           settings_path(), "--name", name}};
      entry_names_.push_back(name);
    }
    for (int i = 1; i <= options_.replicas_a_zone; ++i) {
      std::string name = fmt::format("{}-r{}", zone, i);
      std::string ip = new_ip();
      processes_[name] = {
          name,
          zone,
          fmt::format("{}:{}", ip, HTTP_PORT),
          fmt::format("{}:{}", ip, RPC_PORT),
          {program_path("cyclamenwood-replicad"), "--settings", settings_path(),
           "--name", name, "--data", data_folder(name)}};
      replica_names_.push_back(name);
    }
  }
  for (const std::string& zone : options_.zones) {
    process standins{
        "upstreams-" + zone,
        zone,
        "",
        "",
        {program_path("standin-upstream"), "--starts", folder_ + "/starts"}};
    std::string entries;
    for (const std::string& host : entry_hosts_in(zone))
      entries += (entries.empty() ? "" : ",") + processes_[host].http;
    std::string ip = new_ip();
    for (int i = 1; i <= options_.upstreams_a_zone; ++i) {
      std::string id = fmt::format("{}-u{}", zone, i);
      std::string address = fmt::format("{}:{}", ip, UPSTREAM_PORT + i);
      upstream_addresses_[id] = address;
      standins.command.emplace_back("--spec");
      standins.command.push_back(fmt::format("{} {} {} {} {} {}", id, zone,
                                             options_.service, address,
                                             options_.slots, entries));
    }
    if (options_.upstreams_a_zone > 0)
      processes_[standins.name] = standins;
  }
}

nlohmann::json deployment::groups_json() const {
  nlohmann::json groups;
  groups["config"] = replica_names_;
  size_t zones = options_.zones.size();
  for (size_t z = 0; z < zones; ++z) {
    nlohmann::json members = nlohmann::json::array();
    for (int i = 1; i <= std::min(2, options_.replicas_a_zone); ++i)
      members.push_back(fmt::format("{}-r{}", options_.zones[z], i));
    for (size_t other = 1; members.size() < 3 && other < zones; ++other)
      members.push_back(
          fmt::format("{}-r1", options_.zones[(z + other) % zones]));
    groups["claims"][options_.zones[z]] = members;
  }
  return groups;
}

nlohmann::json deployment::links_json() {
  nlohmann::json list = nlohmann::json::array();
  if (!options_.proxy_links)
    return list;
  proxy_ = std::make_unique<fault_proxy>();
  std::vector<std::string> names = entry_names_;
  names.insert(names.end(), replica_names_.begin(), replica_names_.end());
  for (const std::string& from : names) {
    for (const std::string& to : names) {
      bool to_entry = std::find(entry_names_.begin(), entry_names_.end(), to) !=
                      entry_names_.end();
      bool from_replica =
          std::find(replica_names_.begin(), replica_names_.end(), from) !=
          replica_names_.end();
      bool same_zone = zone_of(from) == zone_of(to);
      if (from == to || (from_replica && to_entry) ||
          (same_zone && !options_.proxy_all_links))
        continue;
      std::string address =
          fmt::format("{}{}:{}", ip_prefix_, PROXY_IP_SUFFIX, next_port_++);
      link added{from, to, proxy_->add(address, processes_[to].rpc), {}};
      added.fault.delay_ms = same_zone ? 0 : options_.zone_delay_ms;
      proxy_->set(added.index, added.fault);
      links_.push_back(added);
      list.push_back({{"from", from}, {"to", to}, {"address", address}});
    }
  }
  return list;
}

nlohmann::json deployment::settings_json() {
  nlohmann::json all;
  all["cluster"] = "test";
  all["zones"] = options_.zones;
  for (const std::string& name : entry_names_) {
    const process& host = processes_[name];
    all["entry_hosts"].push_back({{"name", name},
                                  {"zone", host.zone},
                                  {"http", host.http},
                                  {"rpc", host.rpc}});
  }
  for (const std::string& name : replica_names_) {
    const process& replica = processes_[name];
    all["replicas"].push_back({{"name", name},
                               {"zone", replica.zone},
                               {"http", replica.http},
                               {"rpc", replica.rpc},
                               {"identity", identities_[name]}});
  }
  all["groups"] = groups_json();
  all["links"] = links_json();
  all["drain"] = {{"notice_ms", 300}};
  if (options_.settings.is_object())
    all.merge_patch(options_.settings);
  return all;
}

void deployment::start() {
  for (const std::string& name : replica_names_)
    format_data(name);
  std::ofstream(settings_path()) << settings_json().dump(1);
  for (auto& [name, process] : processes_)
    start_process(name);
}

bool deployment::start_serving() {
  if (!wait_until([&] { return roll_out(1).status == 200; }))
    return false;
  size_t expected = upstream_addresses_.size();
  return wait_until([&] {
    return std::all_of(
        entry_names_.begin(), entry_names_.end(), [&](const auto& name) {
          nlohmann::json page = status(name);
          return page.is_object() && page.value("serving", false) &&
                 page.value("upstreams_known", size_t{0}) == expected;
        });
  });
}

std::string deployment::bundle_text(uint64_t version,
                                    uint64_t replaces,
                                    const std::string& remark) const {
  nlohmann::json text;
  text["version"] = version;
  text["replaces"] = replaces;
  text["zones"] = options_.zones;
  text["services"][options_.service] = {{"default_time_ms", 100},
                                        {"task_timeout_ms", 8000},
                                        {"max_answer_bytes", 1 << 20}};
  text["classes"] = {{"interactive", {{"weight", 8}}},
                     {"batch", {{"weight", 1}}}};
  text["tenants"]["zupancic"] = {{"weight", 3}};
  text["tenants"]["guest"] = {{"weight", 1}, {"max_queued_tasks", 1000}};
  return fmt::format("// {}\n{}", remark, text.dump(1));
}

http_reply deployment::roll_out(uint64_t version,
                                const std::string& entry_host,
                                const std::string& remark) {
  return call(entry_host.empty() ? entry_names_.front() : entry_host, "PUT",
              "/v1/bundle", bundle_text(version, version - 1, remark));
}

void deployment::start_process(const std::string& name) {
  process& started = processes_.at(name);
  started.pid = spawn(started.command, folder_ + "/" + name + ".log");
}

void deployment::signal_process(const std::string& name, int signal) {
  kill(processes_.at(name).pid, signal);
}

void deployment::kill_process(const std::string& name) {
  process& killed = processes_.at(name);
  kill(killed.pid, SIGKILL);
  waitpid(killed.pid, nullptr, 0);
  killed.pid = -1;
}

pid_t deployment::pid_of(const std::string& name) const {
  return processes_.at(name).pid;
}

int deployment::wait_for_exit(const std::string& name, int64_t limit_ms) {
  return cyclamenwood::wait_for_exit(processes_.at(name).pid, limit_ms);
}

int deployment::stop_process(const std::string& name, int64_t limit_ms) {
  signal_process(name, SIGTERM);
  return wait_for_exit(name, limit_ms);
}

bool deployment::is_running(const std::string& name) {
  process& queried = processes_.at(name);
  if (queried.pid > 0 && waitpid(queried.pid, nullptr, WNOHANG) == queried.pid)
    queried.pid = -1;
  return queried.pid > 0;
}

std::string deployment::log_of(const std::string& name) const {
  std::ifstream file(folder_ + "/" + name + ".log");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string deployment::describe() {
  constexpr size_t LOG_BYTES = 1'500;
  std::string text;
  for (const auto& [name, process] : processes_) {
    std::string log = log_of(name);
    size_t from = log.size() > LOG_BYTES ? log.size() - LOG_BYTES : 0;
    text +=
        fmt::format("---- {} running={}\nstatus {}\n{}\n", name,
                    is_running(name), status(name).dump(), log.substr(from));
  }
  return text;
}

void deployment::wipe_data(const std::string& replica) {
  std::filesystem::remove_all(data_folder(replica));
}

void deployment::limit_file_size(const std::string& name, int64_t bytes) {
  auto size = static_cast<rlim_t>(bytes);
  rlimit limit{size, size};
  prlimit(processes_.at(name).pid, RLIMIT_FSIZE, &limit, nullptr);
}

void deployment::format_data(const std::string& replica) {
  result<uint64_t> identity = format_folder(data_folder(replica), replica);
  identities_[replica] = fmt::format("{:016x}", value(identity));
}

std::string deployment::data_folder(const std::string& replica) const {
  return folder_ + "/data-" + replica;
}

void deployment::set_link_fault(link& target, const link_fault& fault) {
  link_fault set = fault;
  set.delay_ms = target.fault.delay_ms;
  target.fault = set;
  proxy_->set(target.index, set);
}

void deployment::cut_zone(const std::string& zone) {
  for (link& cut : links_) {
    if ((zone_of(cut.from) == zone) != (zone_of(cut.to) == zone))
      set_link_fault(cut, {true, true, false, 0});
  }
}

void deployment::cut_process(const std::string& name) {
  for (link& cut : links_) {
    if (cut.from == name || cut.to == name)
      set_link_fault(cut, {true, true, false, 0});
  }
}

void deployment::cut_one_way(const std::string& from, const std::string& to) {
  for (link& cut : links_) {
    if (cut.from == from && cut.to == to)
      set_link_fault(cut, {true, cut.fault.hold_backward, false, 0});
    if (cut.from == to && cut.to == from)
      set_link_fault(cut, {cut.fault.hold_forward, true, false, 0});
  }
}

void deployment::heal() {
  for (link& cut : links_)
    set_link_fault(cut, {});
}

http_reply deployment::call(const std::string& process,
                            const std::string& method,
                            const std::string& path,
                            const std::string& body,
                            int64_t timeout_ms) {
  return http_call(http_address(process), method, path, body, timeout_ms);
}

http_reply deployment::submit(const std::string& entry_host,
                              const std::string& key,
                              size_t tasks,
                              const std::string& payload,
                              int64_t deadline_in_ms) {
  return call(entry_host, "POST", "/v1/jobs",
              make_job(key, tasks, payload, current_time() + deadline_in_ms,
                       options_.service)
                  .dump(),
              deadline_in_ms + 20'000);
}

nlohmann::json deployment::status(const std::string& process) {
  return call(process, "GET", "/v1/status", {}, 2000).json();
}

std::string deployment::leader_of(const std::string& group) {
  for (const std::string& name : replica_names_) {
    if (processes_.at(name).pid <= 0)
      continue;
    nlohmann::json page = status(name);
    if (page.is_object() && page["groups"].contains(group) &&
        page["groups"][group]["role"] == "leader")
      return name;
  }
  return {};
}

http_reply deployment::control_upstream(const std::string& id,
                                        const std::string& order) {
  return http_call(upstream_addresses_.at(id), "POST", "/control", order);
}

std::vector<start_record> deployment::starts() const {
  std::vector<start_record> all;
  std::ifstream file(folder_ + "/starts");
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream words(line);
    start_record record;
    words >> record.time_ms >> record.upstream >> record.identity >>
        record.tenant >> record.index;
    std::getline(words >> std::ws, record.key);
    all.push_back(record);
  }
  return all;
}

size_t deployment::starts_of(const std::string& key) const {
  size_t count = 0;
  for (const start_record& record : starts())
    count += record.key == key ? 1 : 0;
  return count;
}

size_t deployment::max_starts() const {
  std::map<std::tuple<std::string, std::string, size_t>, size_t> counts;
  size_t most = 0;
  for (const start_record& record : starts()) {
    if (record.key.empty())
      continue;
    size_t& count = counts[{record.tenant, record.key, record.index}];
    most = std::max(most, ++count);
  }
  return most;
}

std::vector<std::string> deployment::entry_hosts() const {
  return entry_names_;
}

std::vector<std::string> deployment::entry_hosts_in(
    const std::string& zone) const {
  std::vector<std::string> names;
  for (const std::string& name : entry_names_) {
    if (zone_of(name) == zone)
      names.push_back(name);
  }
  return names;
}

std::vector<std::string> deployment::replicas() const {
  return replica_names_;
}

std::vector<std::string> deployment::upstream_ids() const {
  std::vector<std::string> ids;
  for (const auto& [id, address] : upstream_addresses_)
    ids.push_back(id);
  return ids;
}

std::string deployment::http_address(const std::string& process) const {
  return processes_.at(process).http;
}

std::string deployment::upstream_address(const std::string& id) const {
  return upstream_addresses_.at(id);
}

std::string deployment::settings_path() const {
  return folder_ + "/settings.json";
}

std::string deployment::zone_of(const std::string& process) const {
  return processes_.at(process).zone;
}

}  // namespace cyclamenwood
