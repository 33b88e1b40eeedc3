// Executors that are unhealthy answer part of their requests with 503 and have
// then done nothing. Callers whose job is answered with 504 send it again after
// `retransmitMs`, to another daemon of their zone.
#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/standin.h"

namespace review {
namespace {

constexpr int EXECUTORS = 32;
constexpr int EXECUTORS_OF_FIRST_ZONE = 24;
// 0.125 of the executors; the pages' default share is 0.15.
constexpr int UNHEALTHY = 4;
constexpr double FAILING_SHARE = 0.4;
// Jobs arrive at this interval. One in LONG_EVERY has a task that its caller
// does not wait for; its estimate is off by 40 %.
constexpr int64_t ARRIVAL_MS = 25;
constexpr int LONG_EVERY = 4;
constexpr int64_t LOAD_MS = 36'000;
// Other executors are unhealthy after this time.
constexpr int64_t TROUBLE_MS = 6'000;
constexpr int64_t DEADLINE_MS = 1'500;
constexpr int64_t RETRANSMIT_MS = 1'300;
constexpr int64_t LONG_ESTIMATE_MS = 1'400;
constexpr int64_t LONG_WORK_MS = 2'300;
constexpr int64_t SHORT_MS = 200;
// Below that, two runs are not told apart from the stand-ins' own delays.
constexpr int64_t LEAST_MS = 50;

struct counts {
  std::atomic<int> sent = 0;
  std::atomic<int> answered_504 = 0;
  std::atomic<int> completed = 0;
  std::atomic<int> other = 0;
};

// Sends the job until it gets an answer other than none, 502 or 504, twice at
// most.
void run_client(deployment& site, int number, counts& seen) {
  std::string id = make_job_id(number);
  bool is_long = number % LONG_EVERY == 0;
  std::string body = make_job(1, 14'000, is_long ? LONG_ESTIMATE_MS : SHORT_MS,
                              is_long ? LONG_WORK_MS : SHORT_MS);
  for (int attempt = 0; attempt < 2; ++attempt) {
    const machine& host =
        site.find("frontend-a-" + std::to_string(1 + (number + attempt) % 3));
    record("sent: job=" + id + " to=" + host.name);
    ++seen.sent;
    http_message reply = http_call(
        site.frontend_of(host), "POST", "/jobs/" + id,
        {{"Host", "fit.example"}, {"Deadline-Ms", std::to_string(DEADLINE_MS)}},
        body, DEADLINE_MS);
    record("answered: job=" + id + " status=" + std::to_string(reply.status) +
           " " + reply.body);
    if (reply.status == 200)
      ++seen.completed;
    else if (reply.status == 504 || reply.status == 0)
      ++seen.answered_504;
    else
      ++seen.other;
    if (reply.status != 0 && reply.status != 502 && reply.status != 504)
      return;
    sleep_ms(RETRANSMIT_MS);
  }
}

int run_case(const std::string& folder) {
  open_record(folder + "/record.txt");
  deployment site({{"a", 3}, {"b", 1}, {"c", 1}});
  run_journal journal;
  std::vector<std::unique_ptr<executor>> executors;
  for (int i = 0; i < EXECUTORS; ++i) {
    std::string zone = i < EXECUTORS_OF_FIRST_ZONE ? "a"
                       : i % 2 == 0                ? "b"
                                                   : "c";
    executors.push_back(std::make_unique<executor>(
        executor_options{"i-" + std::to_string(1'000 + i), "fit-desk", zone,
                         site.executor_address(i), site.control()},
        journal));
  }
  site.start();
  bool up =
      site.replace_config(
          make_config(
              1, {{"r-1", "fit.example", "/jobs/", "fit-desk", DEADLINE_MS, 4}},
              "fit-desk"),
          20'000) &&
      site.wait_ready(20'000);
  if (!up) {
    record("the deployment did not start");
    return 2;
  }
  sleep_ms(10'000);
  counts seen;
  int number = 0;
  std::vector<std::thread> clients;
  int64_t began_ms = now_ms();
  int troubled = -1;
  while (now_ms() - began_ms < LOAD_MS) {
    int turn = static_cast<int>((now_ms() - began_ms) / TROUBLE_MS);
    if (trouble_is_on() && turn != troubled) {
      troubled = turn;
      for (int i = 0; i < EXECUTORS_OF_FIRST_ZONE; ++i) {
        bool is_unhealthy = i / UNHEALTHY == turn % 6;
        if (is_unhealthy)
          record("unhealthy from now on: executor=" + executors[i]->id());
        executors[i]->fail_requests(is_unhealthy ? FAILING_SHARE : 0);
      }
    }
    int job = ++number;
    clients.emplace_back([&site, job, &seen] { run_client(site, job, seen); });
    sleep_ms(ARRIVAL_MS);
  }
  for (std::thread& client : clients)
    client.join();
  for (const auto& running : executors)
    running->fail_requests(0);
  sleep_ms(3'000);
  int64_t refused_stops = 0;
  for (const auto& running : executors)
    refused_stops += running->refused_stops();
  int doubled = count_double_runs(journal, LEAST_MS);
  std::string result =
      "result: jobs=" + std::to_string(number) +
      " sent=" + std::to_string(seen.sent) +
      " completed=" + std::to_string(seen.completed) +
      " answered_504_or_none=" + std::to_string(seen.answered_504) +
      " other=" + std::to_string(seen.other) +
      " stops_refused=" + std::to_string(refused_stops) +
      " tasks_with_two_runs_at_once=" + std::to_string(doubled);
  record(result);
  std::puts(result.c_str());
  bool has_run = seen.sent > number && seen.answered_504 > 0;
  if (!has_run)
    return 2;
  return doubled > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::run_case(argc > 1 ? argv[1] : ".");
}
