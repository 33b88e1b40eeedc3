// A job is shown as failed though one executor only crashed under it.
//
// An executor crashes in silence just before a job is handed in, whose task is
// ordered there and never runs. The task then runs on another executor, which
// crashes too. LOST: a job may be given up when two executors have crashed
// under one of its tasks, or when the task has ended `failed` maxAttempts
// times, and is not shown as failed otherwise.
#include <unistd.h>

#include <set>

#include "lab.h"

namespace {

using lab::record;
using nlohmann::json;

// The site's srv_crash has up to 4.5 s.
constexpr int64_t DOWN_MS = 700;
constexpr int64_t TASK_MS = 900;
constexpr int64_t CALLER_WAIT_MS = 5'000;
constexpr int64_t RUN_BEFORE_CRASH_MS = 200;
constexpr int64_t STEP_MS = 5;
constexpr int64_t BETWEEN_TRIES_MS = 4'000;
constexpr int TRIES = 3;
constexpr size_t CRASHES_TO_GIVE_UP = 2;
constexpr unsigned LIMIT_S = 115;

json make_job() {
  json phase{
      {"count", 1}, {"cpu", 14'000}, {"memMb", 64}, {"estimateMs", TASK_MS}};
  return {{"spec", "ms=" + std::to_string(TASK_MS) + " cpu=14000"},
          {"bestEffort", true},
          {"phases", json::array({phase})}};
}

// Waits until a run of the job is in progress. Returns its executor, or an
// empty string.
std::string wait_for_run(lab::deployment& site,
                         const std::string& id,
                         int64_t limit_ms) {
  int64_t end_ms = lab::now_ms() + limit_ms;
  while (lab::now_ms() < end_ms) {
    for (const lab::run_record& run : site.workers.runs()) {
      if (run.task.substr(0, id.size()) == id && run.ended_ms == 0)
        return run.executor;
    }
    lab::sleep_ms(STEP_MS);
  }
  return {};
}

void crash_for_a_while(lab::deployment& site, const std::string& executor) {
  site.workers.go_dark(executor);
  lab::sleep_ms(DOWN_MS);
  site.workers.restart(executor);
}

struct outcome {
  bool has_run = false;
  bool is_shown_failed = false;
  size_t crashes = 0;
  int failed_runs = 0;
};

outcome play_job(lab::deployment& site) {
  lab::process& entry = site.find("frontend-lj-bezigrad-1");
  std::string first = "i-lj-bezigrad-1";
  std::string id = lab::random_id();
  std::thread crash;
  if (lab::has_trouble())
    crash = std::thread([&] { crash_for_a_while(site, first); });
  lab::sleep_ms(STEP_MS);
  lab::http_result answer;
  std::thread caller([&] {
    record("POST " + id + " at " + entry.name);
    answer = lab::call(site.callers_of(entry), "POST", site.prefix + id,
                       site.host_header, make_job().dump(), CALLER_WAIT_MS);
    record("answer to " + id + ": " + std::to_string(answer.status) + " " +
           answer.body);
  });
  std::string second = wait_for_run(site, id, CALLER_WAIT_MS);
  if (crash.joinable())
    crash.join();
  if (lab::has_trouble() && !second.empty()) {
    lab::sleep_ms(RUN_BEFORE_CRASH_MS);
    crash_for_a_while(site, second);
  }
  caller.join();
  outcome seen;
  seen.is_shown_failed = answer.body.find("\"failed\"") != std::string::npos;
  std::set<std::string> crashed;
  for (const lab::run_record& run : site.workers.runs()) {
    if (run.task.substr(0, id.size()) != id)
      continue;
    seen.has_run = true;
    seen.failed_runs += run.how == "failed" ? 1 : 0;
    if (run.how == "crashed")
      crashed.insert(run.executor + std::to_string(run.started_ms));
  }
  seen.crashes = crashed.size();
  record("job " + id + ": executors that crashed under its task: " +
         std::to_string(seen.crashes) +
         ", runs that ended failed: " + std::to_string(seen.failed_runs));
  return seen;
}

int play(const std::string& folder) {
  lab::deployment site(folder);
  site.add_zone("lj-bezigrad", 3, 8);
  site.add_zone("lj-vic", 2, 4);
  site.add_zone("kranj", 2, 4);
  if (!site.start())
    return lab::EXIT_NOT_RUN;
  bool is_broken = false;
  bool has_run = false;
  for (int i = 0; i < TRIES && !is_broken; ++i) {
    outcome seen = play_job(site);
    has_run = has_run || seen.has_run;
    is_broken = seen.is_shown_failed && seen.crashes < CRASHES_TO_GIVE_UP &&
                seen.failed_runs == 0;
    lab::sleep_ms(is_broken ? 0 : BETWEEN_TRIES_MS);
  }
  if (!has_run)
    return lab::EXIT_NOT_RUN;
  return is_broken ? lab::EXIT_BROKEN : lab::EXIT_HELD;
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
