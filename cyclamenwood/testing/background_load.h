// Callers that submit jobs continuously while a test injects faults. They
// behave like clients behind the platform's load balancer: an entry host whose
// health check fails, or that can't be connected to, gets no new submissions.
//
//   background_load load(site, {});
//   ...  // inject faults
//   load_result result = load.stop();
#ifndef CYCLAMENWOOD_TESTING_BACKGROUND_LOAD_H_
#define CYCLAMENWOOD_TESTING_BACKGROUND_LOAD_H_

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "cyclamenwood/testing/deployment.h"

namespace cyclamenwood {

struct load_options {
  int callers = 6;
  size_t tasks = 2;
  std::string payload = "ms=60";
  int64_t deadline_ms = 10'000;
  // Home zone of the keys. If empty, the zone of the entry host that the job is
  // submitted to.
  std::string home;
};

struct load_result {
  // Number of jobs by http_reply::outcome().
  std::map<std::string, int> outcomes;
  // Keys of the jobs whose answer has the execution `not_run`.
  std::set<std::string> not_run_keys;
  // Complete jobs whose answer had a wrong key, or missing or wrong results.
  int wrong_answers = 0;
  // Host, key and body of the last answer that was not complete.
  std::string example_failure;
};

class background_load {
 public:
  background_load(deployment& site, load_options options);
  background_load(const background_load&) = delete;
  background_load& operator=(const background_load&) = delete;
  ~background_load();

  // Stops the callers after their current submission and returns the totals.
  load_result stop();
  int completed() const { return completed_; }

 private:
  void poll_health();
  void run_caller(int caller);
  // Empty if no host is healthy.
  std::string pick_host(int caller, int turn);
  void record(const std::string& host,
              const std::string& key,
              const nlohmann::json& job,
              const http_reply& reply);

  deployment& site_;
  load_options options_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> completed_{0};
  // Guards healthy_ and result_.
  std::mutex mutex_;
  std::set<std::string> healthy_;
  load_result result_;
  std::vector<std::thread> threads_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_BACKGROUND_LOAD_H_
