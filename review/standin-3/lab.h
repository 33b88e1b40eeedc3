// A small deployment for a case: the project's programs as processes on
// loopback addresses, and stand-ins for the executors, the operator, the
// clients and the platform as the users' pages describe them.
#ifndef REVIEW_STANDIN_3_LAB_H_
#define REVIEW_STANDIN_3_LAB_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/standin-3/net.h"

namespace lab {

// What the tasks of one step need and how long they work.
struct step {
  int count = 1;
  int64_t cpu = 1000;
  int64_t mem_mb = 64;
  int64_t work_ms = 100;
  int64_t estimate_ms = 100;
  // The label that the executor must have; empty: none.
  std::string label;
  std::vector<int> depends_on;
  // Each executor that starts such a task crashes.
  bool deadly = false;
};

struct run {
  std::string task;
  int64_t attempt = 0;
  std::string executor;
  std::vector<std::string> labels;
  int64_t start_ms = 0;
  // 0: it has not ended.
  int64_t end_ms = 0;
  std::string how;
};

// What was sent, answered and run. Thread-safe.
class record {
 public:
  explicit record(const std::string& path);

  void line(const std::string& text);
  size_t run_started(const run& started);
  void run_ended(size_t number, int64_t now, const std::string& how);
  std::vector<run> runs();
  int64_t since_start(int64_t at_ms) const { return at_ms - started_ms_; }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  std::vector<run> runs_;
  int64_t started_ms_ = now_ms();
};

// The jobs that clients have handed in, by id.
class job_book {
 public:
  void add(const std::string& id, std::vector<step> steps);
  // Returns the step of a task "ID.K.STEP.INDEX".
  step find(const std::string& task);

 private:
  std::mutex mutex_;
  std::map<std::string, std::vector<step>> jobs_;
};

struct executor_options {
  std::string id;
  std::string zone;
  std::string service;
  std::string address;
  int64_t cpu = 32'000;
  int64_t mem_mb = 65'536;
  std::vector<std::string> labels;
  std::vector<std::string> control;
};

// How an executor treats orders while it is disturbed.
struct disturbance {
  // Share of the orders that get no answer and are carried out later.
  double late = 0;
  int64_t late_from_ms = 2'000;
  int64_t late_to_ms = 12'000;
  // Share of the orders that are carried out without an answer.
  double lost = 0;
};

constexpr int64_t HEARTBEAT_MS = 1'500;
constexpr int64_t MAX_HOLD_MS = 1'000;

// One executor. It guards its capacity.
class executor {
 public:
  executor(executor_options options, record& log, job_book& jobs);
  executor(const executor&) = delete;
  executor& operator=(const executor&) = delete;
  ~executor();

  // Listens and announces itself, as a new life under the same id.
  void start();
  // Ends at once, and all that runs there with it.
  void crash();
  // Announces that it leaves, from the next heartbeat on, which is sent now.
  // Returns when that is acknowledged, with the time; 0: it was not.
  int64_t drain();
  void disturb(const disturbance& with);
  // Before a start: another kind or another size.
  void set_labels(const std::vector<std::string>& labels);
  bool is_up();
  // Whether a deadly task has crashed it since the last start.
  bool has_fallen();
  // Ends all that runs there and says nothing more, as a machine without power.
  void go_dark();
  const std::string& id() const { return options_.id; }
  const std::string& zone() const { return options_.zone; }
  const std::string& address() const { return options_.address; }

  // Ends what is due. Called every few milliseconds.
  void advance(int64_t now);

 private:
  struct active {
    int64_t attempt = 0;
    int64_t start_ms = 0;
    int64_t end_ms = 0;
    int64_t work_ms = 0;
    int64_t cpu = 0;
    int64_t mem_mb = 0;
    bool stopping = false;
    size_t number = 0;
  };
  struct ended {
    int64_t number = 0;
    std::string task;
    int64_t attempt = 0;
    std::string how;
  };

  http_message answer(const http_message& request);
  http_message carry_out(const http_message& request);
  void carry_out_late(const http_message& request, int64_t delay_ms);
  http_message start_run(const std::string& body);
  http_message stop_run(const std::string& body);
  http_message hold(const std::string& body);
  http_message reply(int status, const std::string& reason);
  bool is_fenced(int64_t token);
  void extend_lease(int64_t deadline_ms);
  void end(const std::string& task, const std::string& how, int64_t now);
  void end_due(int64_t now);
  void fall(int64_t now);
  int64_t clock(int64_t now) const { return now - born_steady_ms_ + 1; }
  void announce_all();
  bool announce();

  executor_options options_;
  record& log_;
  job_book& jobs_;
  std::unique_ptr<server> server_;
  std::thread announcer_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool up_ = false;
  bool draining_ = false;
  bool dark_ = false;
  bool fallen_ = false;
  int64_t falls_at_ms_ = INT64_MAX;
  disturbance disturbance_;
  int late_threads_ = 0;
  int64_t born_ms_ = 0;
  int64_t born_steady_ms_ = 0;
  int64_t sequence_ = 0;
  int64_t fence_ = 0;
  int64_t lease_ms_ = 0;
  int64_t next_end_ = 1;
  size_t next_control_ = 0;
  std::map<std::string, active> active_;
  std::vector<ended> ended_;
  // The highest attempt that was stopped or has ended here.
  std::map<std::string, int64_t> closed_;
};

struct machine {
  std::string name;
  std::string zone;
  std::string ip;
  bool is_core = false;
  pid_t pid = 0;
};

struct site_options {
  std::vector<std::string> zones = {"lj-bezigrad", "lj-vic", "kranj"};
  std::vector<int> fronts = {3, 2, 2};
  int executors_a_zone = 16;
  std::string service = "fit-desk";
};

// A route of the configuration.
struct queue {
  std::string name;
  std::string host;
  std::string prefix;
  int priority = 1;
  int64_t timeout_ms = 1'500;
};

class site {
 public:
  site(site_options options, const std::string& folder, record& log);
  site(const site&) = delete;
  site& operator=(const site&) = delete;
  // Ends all processes.
  ~site();

  // Starts all processes and executors.
  void start();
  // Sends the first configuration until it is acknowledged, and waits until
  // all front machines are ready and serve a job. Returns false on a time-out.
  bool start_serving(const std::vector<queue>& queues);
  // Sends a configuration until it is acknowledged. Returns the time of the
  // acknowledgement; 0: there was none in time.
  int64_t replace(int64_t version,
                  const std::vector<queue>& queues,
                  int64_t limit_ms = 10'000);

  std::vector<machine*> fronts();
  std::vector<machine*> cores();
  machine& find(const std::string& name);
  void start_process(machine& of, bool bootstrap);
  void signal(machine& to, int number);
  // SIGKILL, and waits for the end.
  void kill(machine& of);
  static std::string front_address(const machine& of);
  static std::string control_address(const machine& of);
  static std::string metrics_address(const machine& of);
  static std::string ready_address(const machine& of);
  std::vector<std::string> control();

  std::vector<std::unique_ptr<executor>> executors;
  job_book jobs;

 private:
  std::string settings_of(const machine& of, bool bootstrap);
  std::string folder_of(const machine& of);
  int64_t send_config(const std::string& text, int64_t limit_ms);

  site_options options_;
  std::string folder_;
  record& log_;
  std::vector<machine> machines_;
  std::thread clock_;
  std::atomic<bool> stopping_{false};
};

// The body of a POST that hands a job in.
std::string job_text(const std::vector<step>& steps, const std::string& spec);
std::string random_id();

// A temporary folder, removed at the end.
class temporary_folder {
 public:
  temporary_folder();
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;
  ~temporary_folder();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Whether the case is played with its disruption (TROUBLE is not "0").
bool has_trouble();

}  // namespace lab

#endif  // REVIEW_STANDIN_3_LAB_H_
