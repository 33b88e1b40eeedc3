// Each caller has a thread, and one more thread polls the health checks. A
// caller's submissions rotate over the healthy hosts.
#include "cyclamenwood/testing/background_load.h"

#include <fmt/format.h>

#include "cyclamenwood/loop.h"

namespace cyclamenwood {
namespace {

constexpr int64_t HEALTH_TIMEOUT_MS = 300;
constexpr auto HEALTH_INTERVAL = std::chrono::milliseconds(50);
constexpr auto SUBMISSION_PAUSE = std::chrono::milliseconds(10);

}  // namespace

background_load::background_load(deployment& site, load_options options)
    : site_(site), options_(std::move(options)) {
  for (const std::string& host : site_.entry_hosts())
    healthy_.insert(host);
  threads_.emplace_back([this] { poll_health(); });
  for (int caller = 0; caller < options_.callers; ++caller)
    threads_.emplace_back([this, caller] { run_caller(caller); });
}

background_load::~background_load() {
  stop();
}

load_result background_load::stop() {
  stopping_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
  return result_;
}

void background_load::poll_health() {
  while (!stopping_) {
    for (const std::string& host : site_.entry_hosts()) {
      http_reply reply = http_call(site_.http_address(host), "GET", "/healthz",
                                   {}, HEALTH_TIMEOUT_MS);
      std::lock_guard lock(mutex_);
      if (reply.status == 200)
        healthy_.insert(host);
      else
        healthy_.erase(host);
    }
    std::this_thread::sleep_for(HEALTH_INTERVAL);
  }
}

std::string background_load::pick_host(int caller, int turn) {
  std::lock_guard lock(mutex_);
  if (healthy_.empty())
    return {};
  auto host = healthy_.begin();
  std::advance(host, (caller + turn) % healthy_.size());
  return *host;
}

void background_load::run_caller(int caller) {
  static std::atomic<int> instances{0};
  int instance = ++instances;
  for (int turn = 0; !stopping_; ++turn) {
    std::string host = pick_host(caller, turn);
    std::this_thread::sleep_for(SUBMISSION_PAUSE);
    if (host.empty())
      continue;
    std::string zone = options_.home;
    for (const std::string& candidate : site_.options().zones) {
      if (options_.home.empty() && host.starts_with(candidate + "-"))
        zone = candidate;
    }
    std::string key =
        fmt::format("{}:load-{}-{}-{}", zone, instance, caller, turn);
    nlohmann::json job = make_job(key, options_.tasks, options_.payload,
                                  current_time() + options_.deadline_ms,
                                  site_.options().service);
    http_reply reply = http_call(site_.http_address(host), "POST", "/v1/jobs",
                                 job.dump(), options_.deadline_ms + 5000);
    record(host, key, job, reply);
  }
}

void background_load::record(const std::string& host,
                             const std::string& key,
                             const nlohmann::json& job,
                             const http_reply& reply) {
  std::lock_guard lock(mutex_);
  std::string outcome = reply.outcome();
  ++result_.outcomes[outcome];
  if (reply.execution() == "not_run")
    result_.not_run_keys.insert(key);
  if (outcome != "complete") {
    result_.example_failure = host + " " + key + " " + reply.body;
    return;
  }
  ++completed_;
  nlohmann::json body = reply.json();
  bool correct =
      body["results"].size() == job["tasks"].size() && body["key"] == key;
  for (size_t i = 0; correct && i < job["tasks"].size(); ++i) {
    std::string payload = job["tasks"][i]["payload"];
    correct = body["results"][i] == "r:" + payload;
  }
  result_.wrong_answers += correct ? 0 : 1;
}

}  // namespace cyclamenwood
