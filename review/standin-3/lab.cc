#include "review/standin-3/lab.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

namespace lab {
namespace {

using nlohmann::json;

constexpr int FRONT_PORT = 18161;
constexpr int READY_PORT = 18167;
constexpr int CONTROL_PORT = 18166;
constexpr int RPC_PORT = 17720;
constexpr int METRICS_PORT = 19464;
constexpr int EXECUTOR_PORT = 18080;
constexpr int64_t STOP_MS = 20;
constexpr int64_t ANSWER_TIMEOUT_MS = 1'000;
constexpr int64_t SERVING_LIMIT_MS = 30'000;
// How long a connection stays silent on which no answer comes.
constexpr int64_t SILENCE_MS = 1'000;
// After the start of a deadly task.
constexpr int64_t FALL_AFTER_MS = 100;
constexpr size_t MAX_LISTED_ENDS = 500;
constexpr int STATUS_OK = 200;
constexpr int STATUS_REDIRECT = 307;

int64_t wall_ms() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// A random number from 0 to 1.
double draw() {
  static thread_local std::mt19937_64 random{std::random_device{}()};
  return std::uniform_real_distribution<double>()(random);
}

json labels_of(const std::vector<std::string>& labels) {
  json list = json::array();
  for (const std::string& label : labels)
    list.push_back(label);
  return list;
}

// Loopback addresses of this run: "127.N.ZONE.MACHINE".
std::string address_of(int zone, int machine) {
  static const int net = 20 + ::getpid() % 200;
  return "127." + std::to_string(net) + "." + std::to_string(zone) + "." +
         std::to_string(machine);
}

std::string with_port(const std::string& ip, int port) {
  return ip + ":" + std::to_string(port);
}

}  // namespace

// ---- record -----------------------------------------------------------------

record::record(const std::string& path) : file_(path, std::ios::trunc) {}

void record::line(const std::string& text) {
  std::lock_guard lock(mutex_);
  file_ << since_start(now_ms()) << " " << text << std::endl;
}

size_t record::run_started(const run& started) {
  std::lock_guard lock(mutex_);
  runs_.push_back(started);
  return runs_.size() - 1;
}

void record::run_ended(size_t number, int64_t now, const std::string& how) {
  std::lock_guard lock(mutex_);
  runs_[number].end_ms = now;
  runs_[number].how = how;
}

std::vector<run> record::runs() {
  std::lock_guard lock(mutex_);
  return runs_;
}

// ---- job_book ---------------------------------------------------------------

void job_book::add(const std::string& id, std::vector<step> steps) {
  std::lock_guard lock(mutex_);
  jobs_[id] = std::move(steps);
}

step job_book::find(const std::string& task) {
  std::lock_guard lock(mutex_);
  size_t dot = task.find('.');
  size_t second = task.find('.', dot + 1);
  auto found = jobs_.find(task.substr(0, dot));
  if (found == jobs_.end() || second == std::string::npos)
    return {};
  size_t index = std::strtoull(task.c_str() + second + 1, nullptr, 10);
  return index < found->second.size() ? found->second[index] : step();
}

// ---- executor ---------------------------------------------------------------

executor::executor(executor_options options, record& log, job_book& jobs)
    : options_(std::move(options)), log_(log), jobs_(jobs) {}

executor::~executor() {
  crash();
  for (bool idle = false; !idle;) {
    std::lock_guard lock(mutex_);
    idle = late_threads_ == 0;
  }
}

void executor::start() {
  {
    std::lock_guard lock(mutex_);
    up_ = true;
    draining_ = false;
    dark_ = false;
    fallen_ = false;
    falls_at_ms_ = INT64_MAX;
    born_ms_ = wall_ms();
    born_steady_ms_ = now_ms();
    sequence_ = 0;
    fence_ = 0;
    lease_ms_ = 0;
    next_end_ = 1;
    ended_.clear();
    closed_.clear();
  }
  server_ = std::make_unique<server>(
      options_.address,
      [this](const http_message& request) { return answer(request); });
  announcer_ = std::thread([this] { announce_all(); });
}

void executor::crash() {
  {
    std::lock_guard lock(mutex_);
    up_ = false;
    dark_ = false;
    std::vector<std::string> names;
    for (const auto& [task, state] : active_)
      names.push_back(task);
    for (const std::string& task : names)
      end(task, "crashed", now_ms());
    changed_.notify_all();
  }
  if (announcer_.joinable())
    announcer_.join();
  server_.reset();
}

int64_t executor::drain() {
  {
    std::lock_guard lock(mutex_);
    draining_ = true;
  }
  return announce() ? now_ms() : 0;
}

void executor::announce_all() {
  for (;;) {
    announce();
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::milliseconds(HEARTBEAT_MS),
                      [this] { return !up_; });
    if (!up_)
      return;
  }
}

// Sends one heartbeat, to the next machine if one doesn't acknowledge it.
bool executor::announce() {
  for (size_t tries = 0; tries < options_.control.size(); ++tries) {
    json body;
    std::string to;
    {
      std::lock_guard lock(mutex_);
      if (!up_)
        return false;
      body = {
          {"service", options_.service},
          {"address", options_.address},
          {"zone", options_.zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", draining_ ? "draining" : "ready"},
          {"coldLeftMs", 0},
          {"capacity",
           {{"cpu", options_.cpu}, {"memMb", options_.mem_mb}, {"gpus", 0}}},
          {"labels", labels_of(options_.labels)},
          {"clockMs", clock(now_ms())},
          {"born", born_ms_},
          {"seqNo", ++sequence_}};
      to = options_.control[next_control_ % options_.control.size()];
    }
    http_message answered =
        call(to, "POST", "/-/instances/" + options_.id + "/heartbeat", {},
             body.dump(), ANSWER_TIMEOUT_MS);
    if (answered.status >= STATUS_OK && answered.status < STATUS_REDIRECT)
      return true;
    std::lock_guard lock(mutex_);
    ++next_control_;
  }
  return false;
}

void executor::disturb(const disturbance& with) {
  std::lock_guard lock(mutex_);
  disturbance_ = with;
}

void executor::set_labels(const std::vector<std::string>& labels) {
  std::lock_guard lock(mutex_);
  options_.labels = labels;
}

bool executor::has_fallen() {
  std::lock_guard lock(mutex_);
  return fallen_;
}

void executor::go_dark() {
  std::lock_guard lock(mutex_);
  fall(now_ms());
}

// Requires the lock.
void executor::fall(int64_t now) {
  std::vector<std::string> names;
  for (const auto& [task, state] : active_)
    names.push_back(task);
  for (const std::string& task : names)
    end(task, "crashed", now);
  up_ = false;
  dark_ = true;
  fallen_ = true;
}

bool executor::is_up() {
  std::lock_guard lock(mutex_);
  return up_;
}

// The order is for this life: a later one doesn't carry it out.
void executor::carry_out_late(const http_message& request, int64_t delay_ms) {
  int64_t born = 0;
  {
    std::lock_guard lock(mutex_);
    born = born_steady_ms_;
    ++late_threads_;
  }
  std::thread([this, request, born, delay_ms] {
    int64_t until_ms = now_ms() + delay_ms;
    bool same = true;
    while (same && now_ms() < until_ms) {
      sleep_ms(20);
      std::lock_guard lock(mutex_);
      same = up_ && born == born_steady_ms_;
    }
    if (same)
      carry_out(request);
    std::lock_guard lock(mutex_);
    --late_threads_;
  }).detach();
}

http_message executor::answer(const http_message& request) {
  disturbance with;
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !dark_; });
    if (!up_)
      return {};
    auto expected = request.headers.find("expect-instance");
    if (expected != request.headers.end() && expected->second != options_.id)
      return reply(421, "instance");
    with = disturbance_;
  }
  if (draw() < with.late) {
    carry_out_late(request,
                   with.late_from_ms +
                       static_cast<int64_t>(
                           draw() * static_cast<double>(with.late_to_ms -
                                                        with.late_from_ms)));
    sleep_ms(SILENCE_MS);
    return {};
  }
  http_message made = carry_out(request);
  if (draw() < with.lost) {
    sleep_ms(SILENCE_MS);
    return {};
  }
  return made;
}

http_message executor::carry_out(const http_message& request) {
  if (request.path == "/-/run-start")
    return start_run(request.body);
  if (request.path == "/-/run-stop")
    return stop_run(request.body);
  if (request.path == "/-/hold")
    return hold(request.body);
  return reply(request.path == "/healthz" ? STATUS_OK : 404, "");
}

http_message executor::reply(int status, const std::string& reason) {
  json body = {{"clockMs", clock(now_ms())}, {"born", born_ms_}};
  if (!reason.empty())
    body["reason"] = reason;
  http_message made;
  made.status = status;
  made.body = body.dump();
  return made;
}

bool executor::is_fenced(int64_t token) {
  if (token < fence_)
    return true;
  fence_ = token;
  return false;
}

void executor::extend_lease(int64_t deadline_ms) {
  int64_t longest = clock(now_ms()) + MAX_HOLD_MS;
  lease_ms_ = std::max(lease_ms_, std::min(deadline_ms, longest));
}

http_message executor::start_run(const std::string& text) {
  json body = json::parse(text, nullptr, false);
  if (body.is_discarded() || !body.contains("task"))
    return reply(400, "");
  std::string task = body["task"];
  int64_t attempt = body["attempt"];
  step needed = jobs_.find(task);
  std::lock_guard lock(mutex_);
  int64_t now = now_ms();
  end_due(now);
  if (is_fenced(body.value("fenceToken", int64_t{0})))
    return reply(409, "fence");
  int64_t deadline_ms = body.value("deadlineMs", int64_t{0});
  if (deadline_ms <= clock(now))
    return reply(409, "late");
  extend_lease(deadline_ms);
  auto known = active_.find(task);
  if (known != active_.end() && known->second.attempt == attempt)
    return reply(STATUS_OK, "");
  auto closed = closed_.find(task);
  if (known != active_.end() ||
      (closed != closed_.end() && attempt <= closed->second))
    return reply(409, "old");
  int64_t cpu = needed.cpu;
  int64_t mem_mb = needed.mem_mb;
  for (const auto& [name, other] : active_) {
    cpu += other.cpu;
    mem_mb += other.mem_mb;
  }
  if (cpu > options_.cpu || mem_mb > options_.mem_mb)
    return reply(409, "room");
  active& started = active_[task];
  started.attempt = attempt;
  started.start_ms = now;
  started.work_ms = needed.work_ms;
  started.end_ms = now + needed.work_ms;
  started.cpu = needed.cpu;
  started.mem_mb = needed.mem_mb;
  if (needed.deadly)
    falls_at_ms_ = std::min(falls_at_ms_, now + FALL_AFTER_MS);
  started.number = log_.run_started(
      {task, attempt, options_.id, options_.labels, now, 0, {}});
  return reply(STATUS_OK, "");
}

http_message executor::stop_run(const std::string& text) {
  json body = json::parse(text, nullptr, false);
  if (body.is_discarded() || !body.contains("task"))
    return reply(400, "");
  std::string task = body["task"];
  int64_t attempt = body["attempt"];
  std::lock_guard lock(mutex_);
  int64_t now = now_ms();
  end_due(now);
  if (is_fenced(body.value("fenceToken", int64_t{0})))
    return reply(409, "fence");
  int64_t& closed = closed_[task];
  closed = std::max(closed, attempt);
  auto known = active_.find(task);
  if (known != active_.end() && known->second.attempt <= attempt &&
      !known->second.stopping) {
    known->second.stopping = true;
    known->second.end_ms = std::min(known->second.end_ms, now + STOP_MS);
  }
  return reply(STATUS_OK, "");
}

http_message executor::hold(const std::string& text) {
  json body = json::parse(text, nullptr, false);
  if (body.is_discarded())
    return reply(400, "");
  int64_t seen = body.value("lastSeen", int64_t{0});
  std::unique_lock lock(mutex_);
  int64_t born = born_ms_;
  end_due(now_ms());
  if (is_fenced(body.value("fenceToken", int64_t{0})))
    return reply(409, "fence");
  if (body.contains("deadlineMs"))
    extend_lease(body["deadlineMs"]);
  std::erase_if(ended_,
                [seen](const ended& item) { return item.number <= seen; });
  int64_t wait_ms = std::min<int64_t>(body.value("waitMs", int64_t{0}), 2'000);
  changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [this, born] {
    return !ended_.empty() || !up_ || born != born_ms_;
  });
  if (!up_ || born != born_ms_)
    return {};
  int64_t now = now_ms();
  json running = json::array();
  for (const auto& [task, state] : active_) {
    int64_t percent = std::min<int64_t>(
        100 * (now - state.start_ms) / std::max<int64_t>(state.work_ms, 1), 99);
    running.push_back({task, state.attempt, "", percent});
  }
  json ends = json::array();
  for (const ended& item : ended_) {
    if (ends.size() < MAX_LISTED_ENDS)
      ends.push_back({item.number, item.task, item.attempt, item.how, ""});
  }
  json reply_body = {{"clockMs", clock(now)},
                     {"born", born_ms_},
                     {"running", std::move(running)},
                     {"ended", std::move(ends)}};
  http_message made;
  made.status = STATUS_OK;
  made.body = reply_body.dump();
  return made;
}

// Requires the lock.
void executor::end(const std::string& task,
                   const std::string& how,
                   int64_t now) {
  auto found = active_.find(task);
  log_.run_ended(found->second.number, now, how);
  int64_t& closed = closed_[task];
  closed = std::max(closed, found->second.attempt);
  ended_.push_back({next_end_++, task, found->second.attempt, how});
  active_.erase(found);
  changed_.notify_all();
}

void executor::end_due(int64_t now) {
  if (!up_)
    return;
  bool lapsed = clock(now) >= lease_ms_;
  std::vector<std::pair<std::string, std::string>> due;
  for (const auto& [task, state] : active_) {
    if (lapsed)
      due.emplace_back(task, "lapsed");
    else if (now >= state.end_ms)
      due.emplace_back(task, state.stopping ? "stopped" : "done");
  }
  for (const auto& [task, how] : due)
    end(task, how, now);
}

void executor::advance(int64_t now) {
  std::lock_guard lock(mutex_);
  if (up_ && now >= falls_at_ms_)
    fall(now);
  end_due(now);
}

// ---- site -------------------------------------------------------------------

site::site(site_options options, const std::string& folder, record& log)
    : options_(std::move(options)), folder_(folder), log_(log) {
  for (size_t zone = 0; zone < options_.zones.size(); ++zone) {
    int place = static_cast<int>(zone) + 1;
    for (int front = 1; front <= options_.fronts[zone]; ++front) {
      machine added;
      added.name =
          "frontend-" + options_.zones[zone] + "-" + std::to_string(front);
      added.zone = options_.zones[zone];
      added.ip = address_of(place, front);
      machines_.push_back(added);
    }
    machine core;
    core.name = "core-" + options_.zones[zone] + "-1";
    core.zone = options_.zones[zone];
    core.ip = address_of(place, 50);
    core.is_core = true;
    machines_.push_back(core);
  }
  for (size_t zone = 0; zone < options_.zones.size(); ++zone) {
    for (int index = 1; index <= options_.executors_a_zone; ++index) {
      executor_options one;
      one.id = "i-" + std::to_string(zone) + std::to_string(1000 + index);
      one.zone = options_.zones[zone];
      one.service = options_.service;
      one.address = with_port(
          address_of(static_cast<int>(zone) + 1, 100 + index), EXECUTOR_PORT);
      one.labels = {
          index % 3 == 0 ? "b" : "a",
          "r" + std::to_string(zone) + "-" + std::to_string(index / 8)};
      one.control = control();
      std::rotate(one.control.begin(),
                  one.control.begin() + index % one.control.size(),
                  one.control.end());
      executors.push_back(std::make_unique<executor>(one, log_, jobs));
    }
  }
  clock_ = std::thread([this] {
    while (!stopping_) {
      for (auto& item : executors)
        item->advance(now_ms());
      sleep_ms(2);
    }
  });
}

site::~site() {
  stopping_ = true;
  clock_.join();
  for (machine& item : machines_)
    kill(item);
  executors.clear();
}

std::vector<machine*> site::fronts() {
  std::vector<machine*> found;
  for (machine& item : machines_) {
    if (!item.is_core)
      found.push_back(&item);
  }
  return found;
}

std::vector<machine*> site::cores() {
  std::vector<machine*> found;
  for (machine& item : machines_) {
    if (item.is_core)
      found.push_back(&item);
  }
  return found;
}

machine& site::find(const std::string& name) {
  return *std::find_if(machines_.begin(), machines_.end(),
                       [&](const machine& item) { return item.name == name; });
}

std::string site::front_address(const machine& of) {
  return with_port(of.ip, FRONT_PORT);
}

std::string site::control_address(const machine& of) {
  return with_port(of.ip, CONTROL_PORT);
}

std::string site::metrics_address(const machine& of) {
  return with_port(of.ip, METRICS_PORT);
}

std::string site::ready_address(const machine& of) {
  return with_port(of.ip, READY_PORT);
}

std::vector<std::string> site::control() {
  std::vector<std::string> all;
  for (machine* core : cores())
    all.push_back(control_address(*core));
  return all;
}

std::string site::folder_of(const machine& of) {
  return folder_ + "/" + of.name;
}

// The template of the deploy file, as the platform fills it in.
std::string site::settings_of(const machine& of, bool bootstrap) {
  json zones = json::object();
  for (const std::string& zone : options_.zones)
    zones[zone] = "sl-central";
  json settings = {{"name", of.name},
                   {"zone", of.zone},
                   {"ip", of.ip},
                   {"rpc_port", RPC_PORT},
                   {"callers", of.is_core ? "" : front_address(of)},
                   {"readiness", of.is_core ? "" : ready_address(of)},
                   {"control", of.is_core ? control_address(of) : ""},
                   {"metrics", metrics_address(of)},
                   {"seeds", control()},
                   {"bootstrap", bootstrap},
                   {"data_folder", of.is_core ? folder_of(of) + "/data" : ""},
                   {"run_lease_ms", MAX_HOLD_MS},
                   {"resubmission_ms", 1'300},
                   {"tolerated_hosts", 1},
                   {"processor_share", of.is_core ? 0.5 : 0.25},
                   {"processor_cores", 1},
                   {"zones", zones},
                   {"learn_speeds", false},
                   {"reserve_for_waiting", false},
                   {"stop_grace_s", 6}};
  return settings.dump(2);
}

void site::start_process(machine& of, bool bootstrap) {
  std::filesystem::create_directories(folder_of(of));
  std::string settings = folder_of(of) + "/settings.json";
  std::ofstream(settings) << settings_of(of, bootstrap);
  std::string variable = "CYCLAMENWOOD_CONFIG=" + settings;
  std::string output = folder_of(of) + "/output";
  std::string program = of.is_core ? "target/cyclamenwood-replicad"
                                   : "target/cyclamenwood-entryd";
  std::string option = "--host";
  std::string path = "PATH=/usr/bin:/bin";
  char* arguments[] = {program.data(), option.data(), nullptr};
  char* variables[] = {variable.data(), path.data(), nullptr};
  pid_t parent = ::getpid();
  pid_t child = ::fork();
  if (child == 0) {
    // The process ends with this one, whatever happens.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
      ::_exit(126);
    int file =
        ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::execve(program.c_str(), arguments, variables);
    ::_exit(127);
  }
  of.pid = child;
  log_.line("process " + of.name + " started");
}

void site::signal(machine& to, int number) {
  if (to.pid > 0)
    ::kill(to.pid, number);
}

void site::kill(machine& of) {
  if (of.pid <= 0)
    return;
  ::kill(of.pid, SIGKILL);
  ::waitpid(of.pid, nullptr, 0);
  of.pid = 0;
}

void site::start() {
  for (machine& item : machines_)
    start_process(item, true);
  for (auto& item : executors)
    item->start();
}

int64_t site::send_config(const std::string& text, int64_t limit_ms) {
  int64_t until_ms = now_ms() + limit_ms;
  std::vector<std::string> all = control();
  for (size_t next = 0; now_ms() < until_ms; ++next) {
    std::string to = all[next % all.size()];
    for (int redirects = 0; redirects <= 2; ++redirects) {
      http_message answered =
          call(to, "POST", "/-/config/replace", {}, text, ANSWER_TIMEOUT_MS);
      if (answered.status == STATUS_OK)
        return now_ms();
      if (answered.status != STATUS_REDIRECT)
        break;
      std::string location = answered.headers["location"].substr(7);
      to = location.substr(0, location.find('/'));
    }
    sleep_ms(100);
  }
  return 0;
}

int64_t site::replace(int64_t version,
                      const std::vector<queue>& queues,
                      int64_t limit_ms) {
  json routes = json::array();
  for (const queue& item : queues) {
    routes.push_back({{"name", item.name},
                      {"host", item.host},
                      {"pathPrefix", item.prefix},
                      {"kind", "non_idempotent"},
                      {"timeoutMs", item.timeout_ms},
                      {"targetLatencyMs", 60},
                      {"priority", item.priority},
                      {"service", options_.service},
                      {"maxAttempts", 4},
                      {"slackFactor", 1.6}});
  }
  json config = {{"version", version},
                 {"routes", routes},
                 {"services",
                  {{{"name", options_.service},
                    {"healthPath", "/healthz"},
                    {"maxConns", 64},
                    {"protocol", "h1"},
                    {"tls", false},
                    {"rejectsOverload", true},
                    {"standby", false}}}},
                 {"limits",
                  {{"maxHeaderBytes", 16384},
                   {"maxBodyBytes", 262144},
                   {"headerTimeoutMs", 3000},
                   {"idleTimeoutMs", 15000}}}};
  int64_t acknowledged = send_config(config.dump(), limit_ms);
  log_.line("config " + std::to_string(version) +
            (acknowledged == 0 ? " not acknowledged" : " acknowledged"));
  return acknowledged;
}

bool site::start_serving(const std::vector<queue>& queues) {
  int64_t until_ms = now_ms() + SERVING_LIMIT_MS;
  if (replace(1, queues, SERVING_LIMIT_MS) == 0)
    return false;
  std::set<std::string> serving;
  while (serving.size() < fronts().size() && now_ms() < until_ms) {
    for (machine* front : fronts()) {
      if (serving.contains(front->name) ||
          call(ready_address(*front), "GET", "/-/readyz", {}, "", 500).status !=
              STATUS_OK)
        continue;
      std::vector<step> steps{{.work_ms = 20, .estimate_ms = 20}};
      std::string id = random_id();
      jobs.add(id, steps);
      http_message answered =
          call(front_address(*front), "POST", queues[0].prefix + id,
               {{"Host", queues[0].host}, {"Deadline-Ms", "1000"}},
               job_text(steps, "first"), 1'200);
      if (answered.status == STATUS_OK)
        serving.insert(front->name);
    }
    sleep_ms(100);
  }
  log_.line("front machines that serve: " + std::to_string(serving.size()));
  return serving.size() == fronts().size();
}

std::string job_text(const std::vector<step>& steps, const std::string& spec) {
  json phases = json::array();
  for (const step& item : steps) {
    json phase = {{"count", item.count},
                  {"cpu", item.cpu},
                  {"memMb", item.mem_mb},
                  {"estimateMs", item.estimate_ms}};
    if (!item.label.empty())
      phase["requirements"] = item.label;
    if (!item.depends_on.empty())
      phase["dependsOn"] = item.depends_on;
    phases.push_back(phase);
  }
  return json({{"spec", spec}, {"bestEffort", true}, {"phases", phases}})
      .dump();
}

std::string random_id() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(random()));
  return text;
}

temporary_folder::temporary_folder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "case-XXXXXX").string();
  path_ = ::mkdtemp(name.data());
}

temporary_folder::~temporary_folder() {
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(path_);
}

bool has_trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace lab
