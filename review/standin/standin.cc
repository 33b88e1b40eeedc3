#include "review/standin/standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

namespace review {
namespace {

using nlohmann::json;

constexpr int64_t MAX_HOLD_MS = 1'000;
constexpr int64_t STOP_MS = 20;
constexpr int64_t HEARTBEAT_MS = 1'500;
constexpr int64_t HEARTBEAT_TIMEOUT_MS = 1'000;
constexpr int64_t MAX_WAIT_MS = 2'000;
constexpr size_t MAX_LISTED_ENDS = 500;
constexpr int OK_STATUS = 200;
constexpr int UNAVAILABLE_STATUS = 503;

std::mutex record_mutex;
std::ofstream record_file;

const std::chrono::steady_clock::time_point STARTED =
    std::chrono::steady_clock::now();

int64_t unix_now_ms() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

sockaddr_in to_socket_address(const std::string& address) {
  size_t colon = address.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port =
      htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

std::string to_lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

void read_headers(const std::string& head, http_message& message) {
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    size_t first = line.find_first_not_of(' ', colon + 1);
    size_t last = line.find_last_not_of("\r ");
    if (first != std::string::npos && last >= first)
      message.headers[to_lower(line.substr(0, colon))] =
          line.substr(first, last - first + 1);
  }
}

// Reads one message from the socket into `buffer` and removes it from there.
// Returns false at the end of the stream, on an error or after the deadline.
bool read_message(int socket,
                  std::string& buffer,
                  int64_t deadline_ms,
                  http_message& message) {
  while (true) {
    size_t end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      std::string head = buffer.substr(0, end + 2);
      message.headers.clear();
      read_headers(head, message);
      size_t length = 0;
      auto found = message.headers.find("content-length");
      if (found != message.headers.end())
        length = std::stoul(found->second);
      if (buffer.size() >= end + 4 + length) {
        std::istringstream first(head);
        std::string a;
        std::string b;
        first >> a >> b;
        if (a.starts_with("HTTP/")) {
          message.status = std::stoi(b);
        } else {
          message.method = a;
          message.path = b;
        }
        message.body = buffer.substr(end + 4, length);
        buffer.erase(0, end + 4 + length);
        return true;
      }
    }
    int64_t left_ms = deadline_ms - now_ms();
    if (left_ms <= 0)
      return false;
    pollfd waiting{socket, POLLIN, 0};
    if (poll(&waiting, 1, static_cast<int>(std::min<int64_t>(left_ms, 1'000))) <
        0)
      return false;
    if (waiting.revents == 0)
      continue;
    char bytes[16'384];
    ssize_t got = recv(socket, bytes, sizeof(bytes), 0);
    if (got <= 0)
      return false;
    buffer.append(bytes, got);
  }
}

bool write_all(int socket, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t wrote =
        ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (wrote <= 0)
      return false;
    sent += wrote;
  }
  return true;
}

// The number after `NAME=` in the text.
int64_t read_word(const std::string& text,
                  const std::string& name,
                  int64_t fallback) {
  size_t found = text.find(name + "=");
  return found == std::string::npos
             ? fallback
             : std::stoll(text.substr(found + name.size() + 1));
}

// Whether the port is free on all addresses used here, as far as a bind tells.
bool is_free_port(const std::string& ip, int port) {
  int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = to_socket_address(ip + ":" + std::to_string(port));
  bool is_free =
      bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(probe);
  return is_free;
}

std::string replace_all(std::string text,
                        const std::string& from,
                        const std::string& to) {
  for (size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
  return text;
}

}  // namespace

int64_t now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - STARTED)
      .count();
}

void sleep_ms(int64_t span_ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(span_ms));
}

void open_record(const std::string& path) {
  std::lock_guard lock(record_mutex);
  record_file.open(path, std::ios::trunc);
}

void record(const std::string& line) {
  std::lock_guard lock(record_mutex);
  record_file << now_ms() << " " << line << std::endl;
}

http_message http_call(const std::string& address,
                       const std::string& method,
                       const std::string& path,
                       const std::map<std::string, std::string>& headers,
                       const std::string& body,
                       int64_t timeout_ms) {
  int64_t deadline_ms = now_ms() + timeout_ms;
  http_message reply;
  int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{timeout_ms / 1'000, (timeout_ms % 1'000) * 1'000};
  setsockopt(client, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  int on = 1;
  setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in to = to_socket_address(address);
  std::string bytes = method + " " + path + " HTTP/1.1\r\n";
  if (!headers.contains("Host"))
    bytes += "Host: " + address + "\r\n";
  for (const auto& [name, text] : headers)
    bytes.append(name).append(": ").append(text).append("\r\n");
  bytes += "Content-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string buffer;
  bool answered =
      connect(client, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0 &&
      write_all(client, bytes) &&
      read_message(client, buffer, deadline_ms, reply);
  close(client);
  if (!answered)
    reply.status = 0;
  return reply;
}

// ---- http_listener ----------------------------------------------------------

http_listener::http_listener(std::string address, handler handle)
    : address_(std::move(address)), handle_(std::move(handle)) {
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in at = to_socket_address(address_);
  if (bind(socket_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(socket_, 256) != 0) {
    std::cerr << "cannot listen on " << address_ << "\n";
    std::exit(2);
  }
  acceptor_ = std::thread([this] { accept_connections(); });
}

http_listener::~http_listener() {
  stopping_ = true;
  shutdown(socket_, SHUT_RDWR);
  acceptor_.join();
  close(socket_);
  {
    std::lock_guard lock(mutex_);
    for (int open : open_)
      shutdown(open, SHUT_RDWR);
  }
  for (std::thread& server : servers_)
    server.join();
}

void http_listener::accept_connections() {
  while (!stopping_) {
    int accepted = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0)
      continue;
    int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::lock_guard lock(mutex_);
    open_.push_back(accepted);
    servers_.emplace_back([this, accepted] { serve(accepted); });
  }
}

void http_listener::serve(int socket) {
  std::string buffer;
  http_message request;
  while (!stopping_ && read_message(socket, buffer, INT64_MAX, request)) {
    http_message reply = handle_(request);
    bool sent = write_all(
        socket, "HTTP/1.1 " + std::to_string(reply.status) +
                    " X\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(reply.body.size()) + "\r\n\r\n" +
                    reply.body);
    if (!sent)
      break;
  }
  {
    std::lock_guard lock(mutex_);
    std::erase(open_, socket);
  }
  close(socket);
}

// ---- run_journal ------------------------------------------------------------

size_t run_journal::add_start(const std::string& task,
                              const std::string& executor,
                              int64_t attempt) {
  std::lock_guard lock(mutex_);
  runs_.push_back({task, executor, attempt, now_ms(), INT64_MAX, ""});
  return runs_.size() - 1;
}

void run_journal::add_end(size_t run, const std::string& how) {
  std::lock_guard lock(mutex_);
  runs_[run].end_ms = now_ms();
  runs_[run].how = how;
}

std::vector<run_interval> run_journal::runs() const {
  std::lock_guard lock(mutex_);
  return runs_;
}

// ---- executor ---------------------------------------------------------------

executor::executor(executor_options options, run_journal& journal)
    : options_(std::move(options)), journal_(journal) {
  clock_base_ms_ = 100'000 + static_cast<int64_t>(
                                 std::hash<std::string>()(options_.id) % 9'000);
  born_ms_ = unix_now_ms();
  random_.seed(std::random_device()());
  listener_ = std::make_unique<http_listener>(
      options_.address,
      [this](const http_message& request) { return handle(request); });
  worker_ = std::thread([this] { work(); });
  announcer_ = std::thread([this] { announce(); });
}

executor::~executor() {
  stopping_ = true;
  ended_.notify_all();
  announcer_.join();
  worker_.join();
  listener_.reset();
}

int64_t executor::clock() const {
  return clock_base_ms_ + now_ms();
}

http_message executor::answer(int status, json body) const {
  body["clockMs"] = clock();
  http_message reply;
  reply.status = status;
  reply.body = body.dump();
  return reply;
}

bool executor::fails_now() {
  return std::uniform_real_distribution<double>(0, 1)(random_) < failing_share_;
}

http_message executor::handle(const http_message& request) {
  std::unique_lock lock(mutex_);
  auto expected = request.headers.find("expect-instance");
  if (expected != request.headers.end() && expected->second != options_.id)
    return answer(421, json::object());
  json order = json::parse(request.body, nullptr, false);
  if (request.method != "POST" || !order.is_object())
    return answer(400, json::object());
  if (fails_now()) {
    if (request.path == "/-/run-stop") {
      ++refused_stops_;
      record("stop refused with 503: executor=" + options_.id +
             " task=" + order.value("task", "") +
             " run=" + std::to_string(order.value("attempt", 0)));
    }
    return answer(UNAVAILABLE_STATUS, json::object());
  }
  int64_t token = order.value("fenceToken", int64_t{0});
  if (token < fence_)
    return answer(409, {{"reason", "fence"}});
  fence_ = token;
  if (request.path == "/-/run-start")
    return start(order);
  if (request.path == "/-/run-stop")
    return stop(order);
  if (request.path == "/-/hold")
    return hold(order, lock);
  return answer(404, json::object());
}

void executor::extend_lease(const json& order) {
  int64_t deadline_ms = order.value("deadlineMs", int64_t{0});
  lease_ms_ = std::max(lease_ms_, std::min(deadline_ms, clock() + MAX_HOLD_MS));
}

http_message executor::start(const json& order) {
  std::string task = order.value("task", "");
  int64_t attempt = order.value("attempt", int64_t{0});
  std::string spec = order.value("spec", "");
  if (running_.contains({task, attempt})) {
    extend_lease(order);
    return answer(OK_STATUS, json::object());
  }
  auto over = over_.find(task);
  if (over != over_.end() && attempt <= over->second) {
    extend_lease(order);
    return answer(409, {{"reason", "old"}});
  }
  if (order.value("deadlineMs", int64_t{0}) <= clock())
    return answer(409, {{"reason", "late"}});
  extend_lease(order);
  int64_t used = 0;
  for (const auto& [key, run] : running_)
    used += run.cpu;
  int64_t cpu = read_word(spec, "cpu", 0);
  if (used + cpu > options_.cpu)
    return answer(409, {{"reason", "room"}});
  size_t run = journal_.add_start(task, options_.id, attempt);
  record("start: executor=" + options_.id + " task=" + task +
         " run=" + std::to_string(attempt));
  running_[{task, attempt}] = {run, now_ms(), read_word(spec, "ms", 100), cpu,
                               false};
  return answer(OK_STATUS, json::object());
}

http_message executor::stop(const json& order) {
  std::string task = order.value("task", "");
  int64_t attempt = order.value("attempt", int64_t{0});
  int64_t& over = over_[task];
  over = std::max(over, attempt);
  auto found = running_.find({task, attempt});
  if (found != running_.end()) {
    // It ends STOP_MS from now.
    running_task& run = found->second;
    run.length_ms = std::min(run.length_ms, now_ms() - run.start_ms + STOP_MS);
    run.is_stopping = true;
  }
  return answer(OK_STATUS, json::object());
}

http_message executor::hold(const json& order,
                            std::unique_lock<std::mutex>& lock) {
  int64_t seen = order.value("lastSeen", int64_t{0});
  extend_lease(order);
  std::erase_if(ended_list_,
                [seen](const json& row) { return row[0] <= seen; });
  int64_t wait_ms = std::min(order.value("waitMs", int64_t{0}), MAX_WAIT_MS);
  ended_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                  [this] { return stopping_ || !ended_list_.empty(); });
  json running = json::array();
  for (const auto& [key, run] : running_) {
    int64_t percent = std::min<int64_t>(
        100 * (now_ms() - run.start_ms) / std::max<int64_t>(run.length_ms, 1),
        99);
    running.push_back({key.first, key.second, "", percent, 0});
  }
  json ended = json::array();
  for (const json& row : ended_list_) {
    if (ended.size() < MAX_LISTED_ENDS)
      ended.push_back(row);
  }
  return answer(OK_STATUS, {{"born", born_ms_},
                            {"running", std::move(running)},
                            {"ended", std::move(ended)}});
}

void executor::end_run(const run_key& key, const std::string& how) {
  journal_.add_end(running_.at(key).run, how);
  record("end: executor=" + options_.id + " task=" + key.first +
         " run=" + std::to_string(key.second) + " how=" + how);
  running_.erase(key);
  int64_t& over = over_[key.first];
  over = std::max(over, key.second);
  ended_list_.push_back({next_end_++, key.first, key.second, how, ""});
}

void executor::work() {
  while (!stopping_) {
    sleep_ms(2);
    std::lock_guard lock(mutex_);
    std::vector<std::pair<run_key, std::string>> over;
    for (const auto& [key, run] : running_) {
      if (now_ms() - run.start_ms >= run.length_ms)
        over.emplace_back(key, run.is_stopping ? "stopped" : "done");
      else if (clock() > lease_ms_)
        over.emplace_back(key, "lapsed");
    }
    for (const auto& [key, how] : over)
      end_run(key, how);
    if (!over.empty())
      ended_.notify_all();
  }
}

void executor::announce() {
  json body = {
      {"service", options_.service},
      {"address", options_.address},
      {"zone", options_.zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"coldLeftMs", 0},
      {"capacity", {{"cpu", options_.cpu}, {"memMb", 65'536}, {"gpus", 0}}},
      {"labels", {"a", "r1-1"}},
      {"born", born_ms_}};
  size_t to = std::hash<std::string>()(options_.id) % options_.control.size();
  int64_t sequence = 0;
  while (!stopping_) {
    body["clockMs"] = clock();
    body["seqNo"] = ++sequence;
    int status = http_call(options_.control[to], "POST",
                           "/-/instances/" + options_.id + "/heartbeat", {},
                           body.dump(), HEARTBEAT_TIMEOUT_MS)
                     .status;
    int64_t pause_ms = HEARTBEAT_MS;
    if (status < 200 || status >= 300) {
      to = (to + 1) % options_.control.size();
      pause_ms = 200;
    }
    for (int64_t slept = 0; slept < pause_ms && !stopping_; slept += 50)
      sleep_ms(50);
  }
}

// ---- deployment -------------------------------------------------------------

deployment::deployment(const std::map<std::string, int>& frontends) {
  const char* base = std::getenv("TMPDIR");
  std::string pattern =
      std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
  folder_ = mkdtemp(pattern.data());
  std::random_device random;
  for (int tries = 0; tries < 100; ++tries) {
    network_ = "127." + std::to_string(20 + random() % 200) + "." +
               std::to_string(random() % 250);
    port_ = static_cast<int>(12'000 + random() % 16'000);
    bool all_free = true;
    for (int port = port_; port < port_ + 8; ++port)
      all_free = all_free && is_free_port(network_ + ".1", port);
    if (all_free)
      break;
  }
  int number = 1;
  int place = 0;
  for (const auto& [zone, count] : frontends) {
    if (place++ < 3)
      machines_.push_back({"core-" + zone + "-1", zone,
                           network_ + "." + std::to_string(number++), true});
    for (int i = 1; i <= count; ++i)
      machines_.push_back({"frontend-" + zone + "-" + std::to_string(i), zone,
                           network_ + "." + std::to_string(number++), false});
  }
}

void deployment::stop_all() {
  for (machine& host : machines_) {
    if (host.pid > 0)
      signal(host, SIGKILL);
  }
}

deployment::~deployment() {
  stop_all();
  std::error_code ignored;
  if (std::getenv("KEEP_FOLDER") == nullptr)
    std::filesystem::remove_all(folder_, ignored);
}

std::vector<std::string> deployment::control() const {
  std::vector<std::string> all;
  for (const machine& host : machines_) {
    if (host.is_core)
      all.push_back(host.ip + ":" + std::to_string(port_ + 3));
  }
  return all;
}

std::string deployment::frontend_of(const machine& host) const {
  return host.ip + ":" + std::to_string(port_ + 1);
}

std::string deployment::ready_of(const machine& host) const {
  return host.ip + ":" + std::to_string(port_ + 2);
}

std::string deployment::executor_address(int number) const {
  return network_ + "." + std::to_string(100 + number) + ":" +
         std::to_string(port_ + 5);
}

machine& deployment::find(const std::string& name) {
  for (machine& host : machines_) {
    if (host.name == name)
      return host;
  }
  std::cerr << "no machine " << name << "\n";
  std::exit(2);
}

// Fills in the project's template as the platform does.
std::string deployment::write_settings(const machine& host,
                                       bool bootstrap) const {
  std::ifstream input("deploy/host.json");
  std::stringstream text;
  text << input.rdbuf();
  std::string filled = text.str();
  std::string data = folder_ + "/" + host.name;
  std::string port = std::to_string(port_);
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"{{nodeName|json}}", json(host.name).dump()},
      {"{{zone|json}}", json(host.zone).dump()},
      {"{{ip|json}}", json(host.ip).dump()},
      {"{{ip}}:9464", host.ip + ":" + std::to_string(port_ + 4)},
      {"{{internalPorts.0}}", port},
      {"{{listen.frontend}}", host.is_core ? "" : frontend_of(host)},
      {"{{listen.ready}}", host.is_core ? "" : ready_of(host)},
      {"{{listen.controlPlane}}",
       host.is_core ? host.ip + ":" + std::to_string(port_ + 3) : ""},
      {"{{seeds|json}}", json(control()).dump()},
      {"{{bootstrap|json}}", bootstrap ? "true" : "false"},
      {"{{dataDir}}", host.is_core ? data : ""},
      {"{{bounds.maxHoldMs}}", "1000"},
      {"{{bounds.retransmitMs}}", "1300"},
      {"{{faultTolerance.machines}}", "1"},
      {"{{bounds.graceS|json}}", "6"}};
  for (const auto& [name, value] : fields)
    filled = replace_all(filled, name, value);
  std::string path = folder_ + "/" + host.name + ".json";
  std::ofstream(path) << filled;
  return path;
}

void deployment::start(machine& started, bool bootstrap) {
  std::string settings = write_settings(started, bootstrap);
  if (started.is_core)
    std::filesystem::create_directories(folder_ + "/" + started.name);
  std::string log = folder_ + "/" + started.name + ".log";
  // The commands of deploy/system.toml.
  std::string program = started.is_core ? "target/cyclamenwood-replicad"
                                        : "target/cyclamenwood-entryd";
  pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
    dup2(output, 1);
    dup2(output, 2);
    setenv("CYCLAMENWOOD_CONFIG", settings.c_str(), 1);
    execl(program.c_str(), program.c_str(), "--host", nullptr);
    _exit(127);
  }
  started.pid = pid;
}

void deployment::start() {
  for (machine& host : machines_)
    start(host, true);
}

void deployment::signal(machine& target, int number) {
  kill(target.pid, number);
  if (number == SIGKILL) {
    waitpid(target.pid, nullptr, 0);
    target.pid = 0;
  }
}

bool deployment::is_running(const machine& target) const {
  return target.pid > 0 && waitpid(target.pid, nullptr, WNOHANG) == 0;
}

bool deployment::replace_config(const std::string& body, int64_t limit_ms) {
  std::vector<std::string> daemons = control();
  int64_t until_ms = now_ms() + limit_ms;
  for (size_t turn = 0; now_ms() < until_ms; ++turn) {
    std::string to = daemons[turn % daemons.size()];
    for (int redirects = 0; redirects < 3; ++redirects) {
      http_message reply =
          http_call(to, "POST", "/-/config/replace", {}, body, 1'500);
      if (reply.status == OK_STATUS)
        return true;
      if (reply.status != 307)
        break;
      std::string location = reply.headers["location"];
      size_t begin = location.find("//") + 2;
      to = location.substr(begin, location.find('/', begin) - begin);
    }
    sleep_ms(100);
  }
  return false;
}

bool deployment::wait_ready(int64_t limit_ms) {
  int64_t until_ms = now_ms() + limit_ms;
  while (now_ms() < until_ms) {
    bool ready = true;
    for (const machine& host : machines_) {
      if (!host.is_core)
        ready = ready &&
                http_call(ready_of(host), "GET", "/-/readyz", {}, "", 1'000)
                        .status == OK_STATUS;
    }
    if (ready)
      return true;
    sleep_ms(200);
  }
  return false;
}

// ---- bodies -----------------------------------------------------------------

std::string make_config(int64_t version,
                        const std::vector<route_options>& routes,
                        const std::string& service) {
  json config;
  config["version"] = version;
  config["routes"] = json::array();
  for (const route_options& route : routes) {
    config["routes"].push_back({{"name", route.name},
                                {"host", route.host},
                                {"pathPrefix", route.prefix},
                                {"kind", "non_idempotent"},
                                {"timeoutMs", route.timeout_ms},
                                {"targetLatencyMs", 60},
                                {"priority", 0},
                                {"service", route.service},
                                {"maxAttempts", route.max_attempts},
                                {"slackFactor", 1.6}});
  }
  config["services"] = {{{"name", service},
                         {"healthPath", "/healthz"},
                         {"maxConns", 64},
                         {"protocol", "h1"},
                         {"tls", false},
                         {"rejectsOverload", true},
                         {"standby", false}}};
  config["limits"] = {{"maxHeaderBytes", 16'384},
                      {"maxBodyBytes", 262'144},
                      {"headerTimeoutMs", 3'000},
                      {"idleTimeoutMs", 15'000}};
  return config.dump();
}

std::string make_job(int64_t count,
                     int64_t cpu,
                     int64_t estimate_ms,
                     int64_t work_ms) {
  json job;
  job["spec"] = "ms=" + std::to_string(work_ms) + " cpu=" + std::to_string(cpu);
  job["bestEffort"] = true;
  job["phases"] = {{{"count", count},
                    {"cpu", cpu},
                    {"memMb", 64},
                    {"estimateMs", estimate_ms}}};
  return job.dump();
}

std::string make_job_id(uint64_t number) {
  char text[17];
  std::snprintf(
      text, sizeof(text), "%016llx",
      static_cast<unsigned long long>((number + 1) * 0x9E3779B97F4A7C15ULL));
  return text;
}

int count_double_runs(const run_journal& journal, int64_t least_ms) {
  std::vector<run_interval> runs = journal.runs();
  std::map<std::string, std::vector<run_interval>> by_task;
  for (const run_interval& run : runs)
    by_task[run.task].push_back(run);
  int doubled = 0;
  for (auto& [task, all] : by_task) {
    int64_t longest_ms = 0;
    for (size_t i = 0; i < all.size(); ++i) {
      for (size_t j = i + 1; j < all.size(); ++j) {
        int64_t shared = std::min(all[i].end_ms, all[j].end_ms) -
                         std::max(all[i].start_ms, all[j].start_ms);
        if (shared < least_ms)
          continue;
        longest_ms = std::max(longest_ms, shared);
        record("two runs at the same time: task=" + task + " run " +
               std::to_string(all[i].attempt) + " on " + all[i].executor +
               " from " + std::to_string(all[i].start_ms) + " to " +
               std::to_string(all[i].end_ms) + ", run " +
               std::to_string(all[j].attempt) + " on " + all[j].executor +
               " from " + std::to_string(all[j].start_ms) + " to " +
               std::to_string(all[j].end_ms) + ", together for " +
               std::to_string(shared) + " ms");
      }
    }
    if (longest_ms > 0)
      ++doubled;
  }
  return doubled;
}

bool trouble_is_on() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
