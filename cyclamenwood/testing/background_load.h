// Callers that submit jobs at a steady pace while a test injects faults. They
// behave like clients behind the platform's balancer: a host whose health
// check fails, or that can't be connected to, gets no new submissions.
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
  // Home zone of the keys; empty: that of the host submitted to.
  std::string home;
};

struct load_result {
  std::map<std::string, int> outcomes;
  // Keys answered `not_run`.
  std::set<std::string> not_run_keys;
  // Answers that were not whole or not the caller's own.
  int wrong_answers = 0;
  std::string example_failure;
};

class background_load {
 public:
  background_load(deployment& site, load_options options);
  background_load(const background_load&) = delete;
  background_load& operator=(const background_load&) = delete;
  ~background_load();

  // Ends the callers after their current submission.
  load_result stop();
  int completed() const { return completed_; }

 private:
  void poll_health();
  void call(int caller);
  std::string pick_host(int caller, int turn);
  void record(const std::string& host,
              const std::string& key,
              const nlohmann::json& job,
              const http_reply& reply);

  deployment& site_;
  load_options options_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> completed_{0};
  std::mutex mutex_;
  std::set<std::string> healthy_;
  load_result result_;
  std::vector<std::thread> threads_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_BACKGROUND_LOAD_H_
