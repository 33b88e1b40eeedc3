// Stand-ins for the users' platform, for the cases of the review: executors, an
// operator, clients, and a launcher that starts the project's programs with the
// commands of deploy/system.toml and the settings of deploy/host.json. They use
// loopback addresses, a temporary folder and the real clock.
#ifndef CYCLAMENWOOD_REVIEW_STANDIN_H_
#define CYCLAMENWOOD_REVIEW_STANDIN_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Milliseconds of the steady clock since the start of this process.
int64_t now_ms();
void sleep_ms(int64_t span_ms);

// Appends a line with the time to record.txt.
void record(const std::string& line);
void open_record(const std::string& path);

struct http_message {
  std::string method;
  std::string path;
  int status = 0;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

// Status 0: no complete response within the time.
http_message http_call(const std::string& address,
                       const std::string& method,
                       const std::string& path,
                       const std::map<std::string, std::string>& headers,
                       const std::string& body,
                       int64_t timeout_ms);

class http_listener {
 public:
  using handler = std::function<http_message(const http_message&)>;

  http_listener(std::string address, handler handle);
  http_listener(const http_listener&) = delete;
  http_listener& operator=(const http_listener&) = delete;
  ~http_listener();

 private:
  void accept_connections();
  void serve(int socket);

  std::string address_;
  handler handle_;
  int socket_ = -1;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<int> open_;
  std::thread acceptor_;
  std::vector<std::thread> servers_;
};

// One run, for the check at the end of a case.
struct run_interval {
  std::string task;
  std::string executor;
  int64_t attempt = 0;
  int64_t start_ms = 0;
  // INT64_MAX while it runs.
  int64_t end_ms = INT64_MAX;
  std::string how;
};

// All runs of all executors.
class run_journal {
 public:
  size_t add_start(const std::string& task,
                   const std::string& executor,
                   int64_t attempt);
  void add_end(size_t run, const std::string& how);
  std::vector<run_interval> runs() const;

 private:
  mutable std::mutex mutex_;
  std::vector<run_interval> runs_;
};

struct executor_options {
  std::string id;
  std::string service;
  std::string zone;
  std::string address;
  std::vector<std::string> control;
  int64_t cpu = 32'000;
};

// An executor as PROTOCOL.md describes it. The words `ms=N` and `cpu=N` of a
// task's spec tell how long it works and what it needs.
class executor {
 public:
  executor(executor_options options, run_journal& journal);
  executor(const executor&) = delete;
  executor& operator=(const executor&) = delete;
  ~executor();

  // While the share is above 0, this part of the requests gets 503 and is not
  // carried out: the executor is unhealthy.
  void fail_requests(double share) { failing_share_ = share; }
  const std::string& id() const { return options_.id; }
  int64_t refused_stops() const { return refused_stops_; }

 private:
  struct running_task {
    size_t run = 0;
    int64_t start_ms = 0;
    int64_t length_ms = 0;
    int64_t cpu = 0;
    bool is_stopping = false;
  };
  using run_key = std::pair<std::string, int64_t>;

  int64_t clock() const;
  http_message handle(const http_message& request);
  http_message start(const nlohmann::json& order);
  http_message stop(const nlohmann::json& order);
  http_message hold(const nlohmann::json& order,
                    std::unique_lock<std::mutex>& lock);
  void extend_lease(const nlohmann::json& order);
  void end_run(const run_key& key, const std::string& how);
  void work();
  void announce();
  bool fails_now();
  http_message answer(int status, nlohmann::json body) const;

  executor_options options_;
  run_journal& journal_;
  int64_t clock_base_ms_ = 0;
  int64_t born_ms_ = 0;
  std::atomic<double> failing_share_ = 0;
  std::atomic<int64_t> refused_stops_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::condition_variable ended_;
  int64_t fence_ = 0;
  int64_t lease_ms_ = 0;
  int64_t next_end_ = 1;
  std::mt19937 random_;
  std::map<run_key, running_task> running_;
  // The highest run of each task that was stopped or ended here.
  std::map<std::string, int64_t> over_;
  std::deque<nlohmann::json> ended_list_;
  std::thread worker_;
  std::thread announcer_;
  std::unique_ptr<http_listener> listener_;
};

struct machine {
  std::string name;
  std::string zone;
  std::string ip;
  bool is_core = false;
  pid_t pid = 0;
};

// A small deployment: three core machines, frontends and their processes.
class deployment {
 public:
  // Entries of the map: frontends by zone.
  explicit deployment(const std::map<std::string, int>& frontends);
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;
  // Kills all processes and removes the folder.
  ~deployment();

  void start();
  void start(machine& started, bool bootstrap);
  void stop_all();
  // Sends the signal; after SIGKILL waits for the end.
  void signal(machine& target, int number);
  // Whether the process still exists.
  bool is_running(const machine& target) const;

  std::vector<machine>& machines() { return machines_; }
  machine& find(const std::string& name);
  std::string frontend_of(const machine& host) const;
  std::string ready_of(const machine& host) const;
  std::vector<std::string> control() const;
  // A free address for an executor.
  std::string executor_address(int number) const;

  // Sends the configuration until it is acknowledged.
  bool replace_config(const std::string& body, int64_t limit_ms);
  // Waits until all frontends are ready.
  bool wait_ready(int64_t limit_ms);

 private:
  std::string write_settings(const machine& host, bool bootstrap) const;

  std::string folder_;
  std::string network_;
  int port_ = 0;
  std::vector<machine> machines_;
};

struct route_options {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;
  int64_t timeout_ms = 1'500;
  int64_t max_attempts = 4;
};

std::string make_config(int64_t version,
                        const std::vector<route_options>& routes,
                        const std::string& service);
std::string make_job(int64_t count,
                     int64_t cpu,
                     int64_t estimate_ms,
                     int64_t work_ms);
// 16 hexadecimal digits.
std::string make_job_id(uint64_t number);

// Writes all runs to record.txt. Returns the number of tasks that had two runs
// at the same time for at least `least_ms`.
int count_double_runs(const run_journal& journal, int64_t least_ms);

bool trouble_is_on();

}  // namespace review

#endif  // CYCLAMENWOOD_REVIEW_STANDIN_H_
