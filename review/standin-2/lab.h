// A small seeded deployment of real processes on loopback addresses, with
// stand-ins for executors, clients and the operator, for the cases of review/6
// and later.
//
//   lab::deployment site("/path/of/the/case");
//   site.add_zone("z1", 2);
//   ...
//   if (!site.start(config))
//     return lab::EXIT_NOT_RUN;
//
// All times are in milliseconds of the steady clock since the program started,
// unless said otherwise. Every address is a loopback address of this run's own.
#ifndef CYCLAMENWOOD_REVIEW_STANDIN_2_LAB_H_
#define CYCLAMENWOOD_REVIEW_STANDIN_2_LAB_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace lab {

// Exit codes of a case.
constexpr int EXIT_HELD = 0;
constexpr int EXIT_BROKEN = 1;
constexpr int EXIT_NOT_RUN = 2;

int64_t now_ms();
void sleep_ms(int64_t duration_ms);
// Whether the case is to be played with its disruption ($TROUBLE is not 0).
bool has_trouble();

// Opens record.txt in this folder; `record` then appends lines to it.
void open_record(const std::string& folder);
void record(const std::string& line);

struct http_result {
  // 0: no complete answer.
  int status = 0;
  std::string body;
  std::string location;
};

// One request on a connection of its own. Returns without an answer after
// `limit_ms`; the connection is then closed.
http_result call(const std::string& address,
                 const std::string& method,
                 const std::string& path,
                 const std::string& host,
                 const std::string& body,
                 int64_t limit_ms);

// As `call`, but the client ends its side of the connection after
// `leave_after_ms` and reads what still arrives, until the stream ends or
// `limit_ms` are over.
http_result call_and_leave(const std::string& address,
                           const std::string& path,
                           const std::string& host,
                           const std::string& body,
                           int64_t leave_after_ms,
                           int64_t limit_ms);

// A start of a task on an executor.
struct run_record {
  std::string task;
  std::string executor;
  uint32_t attempt = 0;
  int64_t started_ms = 0;
  // 0: it still runs.
  int64_t ended_ms = 0;
  std::string how;
};

struct executor_spec {
  std::string id;
  std::string zone;
  std::string service;
  // IP and port.
  std::string address;
  int64_t cpu_milli = 32'000;
};

// The executors of a deployment, as the pages describe them. They guard their
// capacity. The spec of a job tells how long its tasks run and what they need:
// "ms=400 cpu=1000".
class executors {
 public:
  executors();
  executors(const executors&) = delete;
  executors& operator=(const executors&) = delete;
  ~executors();

  // Starts to listen and to announce itself to these replicas, in turn.
  bool add(const executor_spec& spec, const std::vector<std::string>& replicas);
  std::vector<run_record> runs() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

struct process {
  std::string name;
  std::string zone;
  std::string ip;
  bool is_replica = false;
  std::string settings_path;
  std::string log_path;
  std::string data_folder;
  pid_t pid = 0;
};

class deployment {
 public:
  // `folder`: where record.txt is written.
  explicit deployment(const std::string& folder);
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;
  // Ends all processes and removes the temporary folder.
  ~deployment();

  // Plans the processes and executors of a zone.
  void add_zone(const std::string& zone, int entry_hosts, int executor_count);
  // Plans one more replica, which is not started by `start`.
  process& add_spare_replica(const std::string& zone);
  // Starts everything that was planned, sends the configuration, and waits
  // until every entry host is ready and serves a job. Returns false if that
  // takes too long.
  bool start();

  bool start_process(process& started, bool bootstrap);
  // Waits for its end. Returns the status as waitpid reports it, or -1.
  int wait_for_end(process& ended, int64_t limit_ms);
  void send_signal(const process& to, int signal);
  // Empties the data folder of a process that does not run.
  void wipe(const process& replica);

  process& find(const std::string& name);
  std::vector<process*> replicas();
  std::vector<process*> entries();
  std::string callers_of(const process& entry) const;
  std::string readiness_of(const process& entry) const;
  std::string control_of(const process& replica) const;

  // Sends the configuration of this version until it is acknowledged. Returns
  // false after `limit_ms`.
  bool replace_config(int64_t version, int64_t limit_ms);
  // Reads the configuration, at one replica after another. Returns its version,
  // or 0 if there was no answer within `limit_ms`.
  int64_t read_config(int64_t limit_ms);
  nlohmann::json make_config(int64_t version) const;

  executors workers;
  const std::string host_header = "nony24.example";
  const std::string prefix = "/lohu930/";

 private:
  http_result call_control(const std::string& method,
                           const std::string& path,
                           const std::string& body,
                           size_t& next);
  void write_settings(const process& described, bool bootstrap);
  std::string next_ip();

  std::string root_;
  int second_byte_ = 0;
  int next_host_ = 1;
  int base_port_ = 0;
  std::vector<std::unique_ptr<process>> processes_;
  std::vector<executor_spec> planned_executors_;
  std::vector<std::string> seeds_;
  std::vector<std::string> spare_names_;
};

// A random id of 16 hexadecimal digits.
std::string random_id();

}  // namespace lab

#endif  // CYCLAMENWOOD_REVIEW_STANDIN_2_LAB_H_
