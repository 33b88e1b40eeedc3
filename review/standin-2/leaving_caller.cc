// A client that leaves before its deadline is told that its job never runs.
//
// Some clients leave while their tasks run: they end their side of the
// connection and read what still arrives. REFUSED: none of them gets a 429 or
// 503 for a job of which a task was started.
#include <unistd.h>

#include "lab.h"

namespace {

using lab::record;
using nlohmann::json;

constexpr int CLIENTS = 20;
// Each fourth client leaves.
constexpr int LEAVING = 4;
constexpr int64_t TASK_MS = 900;
// Half the objective of measure-pull is (60 + 1.6 * 900) / 2.
constexpr int64_t LEAVE_AFTER_MS = 400;
constexpr int64_t CALLER_WAIT_MS = 3'000;
constexpr int64_t GAP_MS = 100;
constexpr unsigned LIMIT_S = 115;

struct client {
  std::string id;
  bool leaves = false;
  int status = 0;
};

json make_job() {
  json phase{
      {"count", 2}, {"cpu", 1000}, {"memMb", 64}, {"estimateMs", TASK_MS}};
  return {{"spec", "ms=" + std::to_string(TASK_MS) + " cpu=1000"},
          {"bestEffort", true},
          {"phases", json::array({phase})}};
}

void submit(lab::deployment& site,
            const lab::process& entry,
            client& caller,
            const std::string& body) {
  std::string path = site.prefix + caller.id;
  record("POST " + caller.id + " at " + entry.name +
         (caller.leaves ? ", the client leaves" : ""));
  lab::http_result answer =
      caller.leaves
          ? lab::call_and_leave(site.callers_of(entry), path, site.host_header,
                                body, LEAVE_AFTER_MS, CALLER_WAIT_MS)
          : lab::call(site.callers_of(entry), "POST", path, site.host_header,
                      body, CALLER_WAIT_MS);
  caller.status = answer.status;
  record("answer to " + caller.id + ": " + std::to_string(answer.status) + " " +
         answer.body);
}

int play(const std::string& folder) {
  lab::deployment site(folder);
  site.add_zone("lj-bezigrad", 3, 4);
  site.add_zone("lj-vic", 2, 4);
  site.add_zone("kranj", 2, 4);
  if (!site.start())
    return lab::EXIT_NOT_RUN;
  std::vector<lab::process*> entries = site.entries();
  std::vector<client> clients(CLIENTS);
  std::vector<std::thread> threads;
  std::string body = make_job().dump();
  for (int i = 0; i < CLIENTS; ++i) {
    clients[i].id = lab::random_id();
    clients[i].leaves = lab::has_trouble() && i % LEAVING == 0;
    threads.emplace_back([&, i] {
      submit(site, *entries[i % entries.size()], clients[i], body);
    });
    lab::sleep_ms(GAP_MS);
  }
  for (std::thread& thread : threads)
    thread.join();
  int false_refusals = 0;
  int completed = 0;
  for (const client& caller : clients) {
    int starts = 0;
    for (const lab::run_record& run : site.workers.runs())
      starts += run.task.substr(0, caller.id.size()) == caller.id ? 1 : 0;
    bool is_refused = caller.status == 429 || caller.status == 503;
    if (is_refused && starts > 0) {
      ++false_refusals;
      record("job " + caller.id + " was refused with " +
             std::to_string(caller.status) + " after " +
             std::to_string(starts) + " starts");
    }
    completed += caller.status == 200 ? 1 : 0;
  }
  record("completed: " + std::to_string(completed) +
         "; refused after a start: " + std::to_string(false_refusals));
  if (completed == 0)
    return lab::EXIT_NOT_RUN;
  return false_refusals > 0 ? lab::EXIT_BROKEN : lab::EXIT_HELD;
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
