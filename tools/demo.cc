// `make demo` starts a complete deployment on this machine, submits a mixed
// load, checks the answers, prints histograms and stops the daemons gracefully.
#include <fmt/format.h>

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "cyclamenwood/loop.h"
#include "cyclamenwood/testing/deployment.h"

namespace cyclamenwood {
namespace {

constexpr int CALLERS = 24;
constexpr int JOBS_PER_CALLER = 10;
constexpr int MAX_TASKS = 12;
constexpr int MIN_TASK_MS = 50;
constexpr int MAX_TASK_MS = 1000;
constexpr int UPSTREAMS_PER_ZONE = 17;

struct totals {
  std::mutex mutex;
  std::map<std::string, int> outcomes;
  size_t tasks = 0;
  size_t wrong_answers = 0;
};

// Whether the reply has the right result for each task of the job.
bool has_all_results(const nlohmann::json& job, const nlohmann::json& reply) {
  const nlohmann::json& tasks = job["tasks"];
  if (reply["results"].size() != tasks.size())
    return false;
  for (size_t i = 0; i < tasks.size(); ++i) {
    std::string payload = tasks[i]["payload"];
    if (reply["results"][i] != "r:" + payload)
      return false;
  }
  return true;
}

void run_caller(deployment& site, int caller, totals& all) {
  std::mt19937 random(caller);
  std::vector<std::string> hosts = site.entry_hosts();
  const std::string& host = hosts[caller % hosts.size()];
  std::string zone = site.call(host, "GET", "/v1/home").json()["zone"];
  for (int i = 0; i < JOBS_PER_CALLER; ++i) {
    std::uniform_int_distribution<int> tasks(1, MAX_TASKS);
    std::uniform_int_distribution<int> time(MIN_TASK_MS, MAX_TASK_MS);
    std::string key = fmt::format("{}:demo-{}-{}", zone, caller, i);
    nlohmann::json job =
        make_job(key, tasks(random), fmt::format("ms={}", time(random)),
                 current_time() + 20'000);
    http_reply reply = site.call(host, "POST", "/v1/jobs", job.dump(), 40'000);
    std::lock_guard lock(all.mutex);
    ++all.outcomes[reply.outcome()];
    all.tasks += job["tasks"].size();
    if (reply.outcome() == "complete" && !has_all_results(job, reply.json()))
      ++all.wrong_answers;
  }
}

void print_histograms(deployment& site) {
  for (const std::string& host : site.entry_hosts()) {
    nlohmann::json page = site.call(host, "GET", "/v1/metrics").json();
    for (const char* name :
         {"response_ms", "queue_ms", "response_over_ideal"}) {
      nlohmann::json cell = page[name]["zupancic"]["interactive"];
      if (cell.is_object())
        fmt::print("{:<14} {:<20} n {:<5} p50 {:<9.4g} p99 {:.4g}\n", host,
                   name, cell["count"].get<double>(), cell["p50"].get<double>(),
                   cell["p99"].get<double>());
    }
  }
}

int run_demo() {
  deployment site({.upstreams_a_zone = UPSTREAMS_PER_ZONE});
  fmt::print("starting 6 entry hosts, 6 replicas, {} upstreams\n",
             3 * UPSTREAMS_PER_ZONE);
  site.start();
  if (!site.start_serving()) {
    fmt::print("the deployment did not start serving in time\n");
    return 1;
  }
  fmt::print("bundle version 1 in force; running {} jobs\n",
             CALLERS * JOBS_PER_CALLER);
  totals all;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < CALLERS; ++caller)
    callers.emplace_back([&, caller] { run_caller(site, caller, all); });
  for (std::thread& caller : callers)
    caller.join();
  for (const auto& [outcome, count] : all.outcomes)
    fmt::print("jobs {:<24} {}\n", outcome, count);
  fmt::print(
      "tasks submitted {}, started {}, most starts of one task {}, "
      "wrong answers {}\n",
      all.tasks, site.starts().size(), site.max_starts(), all.wrong_answers);
  print_histograms(site);
  bool graceful = true;
  for (const std::string& host : site.entry_hosts())
    graceful = site.stop_process(host) == 0 && graceful;
  for (const std::string& replica : site.replicas())
    graceful = site.stop_process(replica) == 0 && graceful;
  fmt::print("graceful stop: {}\n", graceful ? "yes" : "no");
  bool passed = graceful && all.wrong_answers == 0 && site.max_starts() <= 1 &&
                all.outcomes["complete"] == CALLERS * JOBS_PER_CALLER &&
                all.tasks == site.starts().size();
  fmt::print("{}\n", passed ? "demo passed" : "demo FAILED");
  return passed ? 0 : 1;
}

}  // namespace
}  // namespace cyclamenwood

int main() {
  return cyclamenwood::run_demo();
}
