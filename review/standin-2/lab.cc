#include "lab.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>

#include "net.h"

namespace lab {
namespace {

using nlohmann::json;

constexpr int64_t START_LIMIT_MS = 30'000;
constexpr int64_t STEP_MS = 50;
constexpr int64_t OPERATOR_WAIT_MS = 1000;
// Offsets from the first port of a run. A process uses the same ones on its
// address.
constexpr int RPC = 0;
constexpr int CALLERS = 1;
constexpr int READINESS = 2;
constexpr int CONTROL = 3;
constexpr int METRICS = 4;
constexpr int EXECUTOR = 5;
constexpr int PORTS = 6;

std::mt19937_64& random_numbers() {
  static std::mt19937_64 generator(std::random_device{}());
  return generator;
}

std::ofstream& record_file() {
  static std::ofstream file;
  return file;
}

bool are_free(int first_port) {
  for (int offset = 0; offset < PORTS; ++offset) {
    int listening = listen_at("0.0.0.0:" + std::to_string(first_port + offset));
    if (listening < 0)
      return false;
    ::close(listening);
  }
  return true;
}

std::string at_port(const std::string& ip, int port) {
  return ip + ":" + std::to_string(port);
}

}  // namespace

int64_t now_ms() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

void sleep_ms(int64_t duration_ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(duration_ms));
}

bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void open_record(const std::string& folder) {
  now_ms();
  record_file().open(folder + "/record.txt", std::ios::trunc);
}

void record(const std::string& line) {
  static std::mutex mutex;
  std::lock_guard lock(mutex);
  record_file() << now_ms() << " " << line << std::endl;
}

std::string random_id() {
  static const char* digits = "0123456789abcdef";
  std::string id;
  for (int i = 0; i < 16; ++i)
    id += digits[random_numbers()() % 16];
  return id;
}

deployment::deployment(const std::string& folder) {
  open_record(folder);
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  root_ = ::mkdtemp(pattern.data());
  second_byte_ = static_cast<int>(20 + random_numbers()() % 200);
  do {
    base_port_ = static_cast<int>(10'000 + random_numbers()() % 20'000);
  } while (!are_free(base_port_));
}

deployment::~deployment() {
  for (auto& ended : processes_) {
    if (ended->pid <= 0)
      continue;
    ::kill(ended->pid, SIGKILL);
    ::waitpid(ended->pid, nullptr, 0);
  }
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(root_);
  else
    record("kept " + root_);
}

std::string deployment::next_ip() {
  return "127." + std::to_string(second_byte_) + ".1." +
         std::to_string(next_host_++);
}

void deployment::add_zone(const std::string& zone,
                          int entry_hosts,
                          int executor_count) {
  process& replica = add_spare_replica(zone);
  spare_names_.pop_back();
  seeds_.push_back(control_of(replica));
  for (int i = 1; i <= entry_hosts; ++i) {
    auto entry = std::make_unique<process>();
    entry->name = "frontend-" + zone + "-" + std::to_string(i);
    entry->zone = zone;
    entry->ip = next_ip();
    entry->settings_path = root_ + "/" + entry->name + ".json";
    entry->log_path = root_ + "/" + entry->name + ".log";
    processes_.push_back(std::move(entry));
  }
  for (int i = 1; i <= executor_count; ++i)
    planned_executors_.push_back(
        {"i-" + zone + "-" + std::to_string(i), zone, "huvo11a",
         at_port(next_ip(), base_port_ + EXECUTOR), 32'000});
}

process& deployment::add_spare_replica(const std::string& zone) {
  auto replica = std::make_unique<process>();
  replica->name = "core-" + zone + "-" + std::to_string(next_host_);
  replica->zone = zone;
  replica->ip = next_ip();
  replica->is_replica = true;
  replica->settings_path = root_ + "/" + replica->name + ".json";
  replica->log_path = root_ + "/" + replica->name + ".log";
  replica->data_folder = root_ + "/" + replica->name + ".data";
  spare_names_.push_back(replica->name);
  processes_.push_back(std::move(replica));
  return *processes_.back();
}

void deployment::write_settings(const process& described, bool bootstrap) {
  json settings{{"name", described.name},
                {"zone", described.zone},
                {"ip", described.ip},
                {"rpc_port", base_port_ + RPC},
                {"callers", ""},
                {"readiness", ""},
                {"control", ""},
                {"metrics", at_port(described.ip, base_port_ + METRICS)},
                {"seeds", seeds_},
                {"bootstrap", bootstrap},
                {"data_folder", described.data_folder},
                {"run_lease_ms", 1000},
                {"resubmission_ms", 1300},
                {"tolerated_hosts", 1},
                {"stop_grace_s", 6}};
  if (described.is_replica) {
    settings["control"] = control_of(described);
  } else {
    settings["callers"] = callers_of(described);
    settings["readiness"] = readiness_of(described);
  }
  std::ofstream(described.settings_path, std::ios::trunc) << settings.dump(1);
}

bool deployment::start_process(process& started, bool bootstrap) {
  write_settings(started, bootstrap);
  if (started.is_replica)
    std::filesystem::create_directories(started.data_folder);
  std::string program = started.is_replica ? "target/cyclamenwood-replicad"
                                           : "target/cyclamenwood-entryd";
  std::string variable = "CYCLAMENWOOD_CONFIG=" + started.settings_path;
  pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int log =
        ::open(started.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    std::string host = "--host";
    char* arguments[] = {program.data(), host.data(), nullptr};
    char* environment[] = {variable.data(), nullptr};
    ::execve(program.c_str(), arguments, environment);
    ::_exit(127);
  }
  started.pid = pid;
  record("process " + started.name + " started");
  return pid > 0;
}

int deployment::wait_for_end(process& ended, int64_t limit_ms) {
  int64_t end_ms = now_ms() + limit_ms;
  while (now_ms() < end_ms) {
    int status = 0;
    if (::waitpid(ended.pid, &status, WNOHANG) == ended.pid) {
      ended.pid = 0;
      record("process " + ended.name + " ended, " +
             (WIFSIGNALED(status)
                  ? "signal " + std::to_string(WTERMSIG(status))
                  : "exit code " + std::to_string(WEXITSTATUS(status))));
      return status;
    }
    sleep_ms(5);
  }
  return -1;
}

void deployment::send_signal(const process& to, int signal) {
  record("signal " + std::to_string(signal) + " to " + to.name);
  if (to.pid > 0)
    ::kill(to.pid, signal);
}

void deployment::wipe(const process& replica) {
  record("disk of " + replica.name + " lost");
  std::filesystem::remove_all(replica.data_folder);
}

process& deployment::find(const std::string& name) {
  for (auto& known : processes_) {
    if (known->name == name)
      return *known;
  }
  throw std::out_of_range(name);
}

std::vector<process*> deployment::replicas() {
  std::vector<process*> found;
  for (auto& known : processes_) {
    if (known->is_replica)
      found.push_back(known.get());
  }
  return found;
}

std::vector<process*> deployment::entries() {
  std::vector<process*> found;
  for (auto& known : processes_) {
    if (!known->is_replica)
      found.push_back(known.get());
  }
  return found;
}

std::string deployment::callers_of(const process& entry) const {
  return at_port(entry.ip, base_port_ + CALLERS);
}

std::string deployment::readiness_of(const process& entry) const {
  return at_port(entry.ip, base_port_ + READINESS);
}

std::string deployment::control_of(const process& replica) const {
  return at_port(replica.ip, base_port_ + CONTROL);
}

json deployment::make_config(int64_t version) const {
  json config;
  config["version"] = version;
  config["routes"] = json::array({{{"name", "r-1"},
                                   {"host", host_header},
                                   {"pathPrefix", prefix},
                                   {"kind", "non_idempotent"},
                                   {"timeoutMs", 1500},
                                   {"targetLatencyMs", 60},
                                   {"priority", 0},
                                   {"service", "huvo11a"},
                                   {"maxAttempts", 2},
                                   {"slackFactor", 1.6}}});
  config["services"] = json::array({{{"name", "huvo11a"},
                                     {"healthPath", "/healthz"},
                                     {"maxConns", 64},
                                     {"protocol", "h1"},
                                     {"tls", false},
                                     {"rejectsOverload", true},
                                     {"standby", false}}});
  config["limits"] = {{"maxHeaderBytes", 16384},
                      {"maxBodyBytes", 262144},
                      {"headerTimeoutMs", 3000},
                      {"idleTimeoutMs", 15000}};
  return config;
}

// Calls one replica and follows two redirections; moves on after a failure.
http_result deployment::call_control(const std::string& method,
                                     const std::string& path,
                                     const std::string& body,
                                     size_t& next) {
  std::vector<process*> all = replicas();
  std::string address = control_of(*all[next % all.size()]);
  http_result result;
  for (int hop = 0; hop < 3; ++hop) {
    result = call(address, method, path, "control", body, OPERATOR_WAIT_MS);
    if (result.status != 307)
      break;
    std::string target = result.location.substr(7);
    address = target.substr(0, target.find('/'));
  }
  if (result.status != 200)
    ++next;
  return result;
}

bool deployment::replace_config(int64_t version, int64_t limit_ms) {
  int64_t end_ms = now_ms() + limit_ms;
  std::string body = make_config(version).dump();
  record("operator sends version " + std::to_string(version));
  size_t next = 0;
  while (now_ms() < end_ms) {
    if (call_control("POST", "/-/config/replace", body, next).status == 200) {
      record("version " + std::to_string(version) + " acknowledged");
      return true;
    }
    sleep_ms(100);
  }
  record("version " + std::to_string(version) + " not acknowledged");
  return false;
}

int64_t deployment::read_config(int64_t limit_ms) {
  int64_t end_ms = now_ms() + limit_ms;
  size_t next = 0;
  while (now_ms() < end_ms) {
    http_result result = call_control("GET", "/-/config/read", "", next);
    if (result.status == 200) {
      json content = json::parse(result.body, nullptr, false);
      int64_t version = content.value("version", int64_t{0});
      record("read version " + std::to_string(version));
      return version;
    }
    sleep_ms(100);
  }
  record("no answer to reads");
  return 0;
}

bool deployment::start() {
  int64_t end_ms = now_ms() + START_LIMIT_MS;
  for (auto& planned : processes_) {
    bool is_spare = std::find(spare_names_.begin(), spare_names_.end(),
                              planned->name) != spare_names_.end();
    if (!is_spare && !start_process(*planned, true))
      return false;
  }
  for (const executor_spec& planned : planned_executors_) {
    if (!workers.add(planned, seeds_))
      return false;
  }
  if (!replace_config(1, START_LIMIT_MS))
    return false;
  for (process* entry : entries()) {
    json job{{"spec", "ms=50 cpu=1000"},
             {"bestEffort", true},
             {"phases", json::array({{{"count", 2},
                                      {"cpu", 1000},
                                      {"memMb", 64},
                                      {"estimateMs", 50}}})}};
    int status = 0;
    while (status != 200) {
      if (now_ms() > end_ms)
        return false;
      sleep_ms(STEP_MS);
      status = call(callers_of(*entry), "POST", prefix + random_id(),
                    host_header, job.dump(), 1500)
                   .status;
    }
  }
  record("deployment serves");
  return true;
}

}  // namespace lab
