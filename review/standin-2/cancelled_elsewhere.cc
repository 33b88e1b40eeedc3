// Case 6: a cancellation that reaches another entry host than the job.
//
// A client submits a long job at an entry host and cancels it while that host
// is frozen. Its DELETE gets no response there, and the retry reaches the next
// entry host of the zone, which acknowledges it. UNASKED: no machine in touch
// starts a task of the job later than cancel_ms after that.
#include <signal.h>
#include <unistd.h>

#include <cstdio>

#include "lab.h"

namespace {

using lab::record;
using nlohmann::json;

// Bounds of zupancic-fit.
constexpr int64_t CANCEL_MS = 3'000;
constexpr int64_t CONTACT_MS = 3'000;
constexpr int64_t FREEZE_MS = 4'000;

constexpr int STEPS = 32;
constexpr int64_t TASK_MS = 500;
constexpr int64_t CALLER_WAIT_MS = 30'000;
constexpr int64_t CANCEL_WAIT_MS = 1'500;
constexpr int64_t BEFORE_TROUBLE_MS = 2'000;
constexpr int64_t BEFORE_CANCEL_MS = 200;
constexpr unsigned LIMIT_S = 115;

// A chain of steps of one task each.
json make_job() {
  json job{{"spec", "ms=" + std::to_string(TASK_MS) + " cpu=1000"},
           {"bestEffort", true},
           {"phases", json::array()}};
  for (int step = 0; step < STEPS; ++step) {
    json phase{
        {"count", 1}, {"cpu", 1000}, {"memMb", 64}, {"estimateMs", TASK_MS}};
    if (step > 0)
      phase["dependsOn"] = json::array({step - 1});
    job["phases"].push_back(phase);
  }
  return job;
}

// Cancels the job at one entry host after another until one responds. Returns
// the time of the acknowledgement, or -1.
int64_t cancel(lab::deployment& site,
               const std::vector<lab::process*>& hosts,
               const std::string& path) {
  for (const lab::process* host : hosts) {
    record("DELETE at " + host->name);
    lab::http_result answer = lab::call(site.callers_of(*host), "DELETE", path,
                                        site.host_header, "", CANCEL_WAIT_MS);
    record("answer to DELETE: " + std::to_string(answer.status) + " " +
           answer.body);
    if (answer.status / 100 == 2 || answer.status == 410)
      return lab::now_ms();
  }
  return -1;
}

int play(const std::string& folder) {
  lab::deployment site(folder);
  site.add_zone("lj-bezigrad", 3, 4);
  site.add_zone("lj-vic", 2, 4);
  site.add_zone("kranj", 2, 4);
  if (!site.start())
    return lab::EXIT_NOT_RUN;
  std::vector<lab::process*> hosts;
  for (lab::process* entry : site.entries()) {
    if (entry->zone == "lj-bezigrad")
      hosts.push_back(entry);
  }
  // The ingress chooses the first host for this client.
  std::string id = lab::random_id();
  std::string path = site.prefix + id;
  std::thread caller([&] {
    record("POST " + id + " at " + hosts[0]->name);
    lab::http_result answer =
        lab::call(site.callers_of(*hosts[0]), "POST", path, site.host_header,
                  make_job().dump(), CALLER_WAIT_MS);
    record("answer to POST: " + std::to_string(answer.status) + " " +
           answer.body);
  });
  lab::sleep_ms(BEFORE_TROUBLE_MS);
  int64_t frozen_ms = lab::now_ms();
  if (lab::has_trouble())
    site.send_signal(*hosts[0], SIGSTOP);
  lab::sleep_ms(BEFORE_CANCEL_MS);
  int64_t cancelled_ms = cancel(site, hosts, path);
  if (lab::has_trouble()) {
    lab::sleep_ms(frozen_ms + FREEZE_MS - lab::now_ms());
    site.send_signal(*hosts[0], SIGCONT);
  }
  int64_t calm_ms = lab::now_ms() + CONTACT_MS;
  caller.join();
  if (cancelled_ms < 0)
    return lab::EXIT_NOT_RUN;
  int before = 0;
  int late = 0;
  for (const lab::run_record& run : site.workers.runs()) {
    if (run.task.substr(0, id.size()) != id)
      continue;
    bool is_late =
        run.started_ms > cancelled_ms + CANCEL_MS && run.started_ms > calm_ms;
    late += is_late ? 1 : 0;
    before += run.started_ms < frozen_ms ? 1 : 0;
  }
  record("acknowledged at " + std::to_string(cancelled_ms) +
         "; all machines in touch from " + std::to_string(calm_ms) +
         "; starts later than both bounds: " + std::to_string(late));
  if (before == 0)
    return lab::EXIT_NOT_RUN;
  return late > 0 ? lab::EXIT_BROKEN : lab::EXIT_HELD;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return lab::EXIT_NOT_RUN;
  ::alarm(LIMIT_S);
  int result = play(argv[1]);
  record("exit " + std::to_string(result));
  return result;
}
