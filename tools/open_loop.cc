// All arrivals are drawn from the seed before the run starts, with
// exponentially distributed gaps. One thread with libcurl's multi interface
// submits them at their arrival times, to the entry hosts in turn.
#include "tools/open_loop.h"

#include <curl/curl.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <set>

#include "cyclamenwood/curl_loop.h"
#include "cyclamenwood/loop.h"

namespace cyclamenwood {
namespace {

constexpr int64_t TICK_MS = 2;
constexpr int64_t MAX_CONNECTIONS = 2000;
constexpr long REQUEST_TIMEOUT_MS = 90'000;
constexpr int64_t DRAIN_LIMIT_MS = 60'000;
constexpr double WARM_UP_SHARE = 0.25;

struct arrival {
  double at_ms = 0;
  std::string class_name;
  std::string tenant;
  std::vector<int> task_ms;
  int64_t time_to_deadline_ms = 0;
  bool cancel = false;
  bool resubmit = false;
  bool failing = false;
};

class job_generator {
 public:
  explicit job_generator(const workload& work)
      : work_(work), random_(work.seed) {}

  arrival next(double at_ms) {
    arrival job;
    job.at_ms = at_ms;
    bool single = work_.idempotent || work_.one_task;
    bool batch = uniform() < work_.batch_share && !single;
    job.class_name = batch ? "batch" : "interactive";
    job.tenant = uniform() < 0.7 ? "zupancic" : "guest";
    int tasks = batch ? 10 + uniform_below(50) : 1 + uniform_below(6);
    if (batch && uniform_below(200) == 0)
      tasks = 450;
    if (single)
      tasks = 1;
    for (int i = 0; i < tasks; ++i)
      job.task_ms.push_back(task_time());
    int longest = *std::max_element(job.task_ms.begin(), job.task_ms.end());
    job.time_to_deadline_ms = longest + (batch ? 20'000 : 2500);
    job.cancel = uniform() < work_.cancel_share;
    job.resubmit = uniform() < work_.resubmit_share;
    job.failing = uniform() < work_.failing_share;
    return job;
  }

  double next_gap_ms(double jobs_per_second) {
    return -std::log(1 - uniform()) * 1000 / jobs_per_second;
  }

 private:
  // Most tasks take 50 to 500 ms, one in a hundred takes 2 to 4 s.
  int task_time() {
    if (uniform_below(100) == 0)
      return 2000 + uniform_below(2000);
    return 50 + uniform_below(450);
  }
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  int uniform_below(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
  }

  workload work_;
  std::mt19937_64 random_;
};

double mean_tasks(const workload& work) {
  if (work.idempotent || work.one_task)
    return 1;
  double batch = 34.5 + 450.0 / 200;
  return work.batch_share * batch + (1 - work.batch_share) * 3.5;
}

std::vector<arrival> draw_arrivals(const deployment& site,
                                   const workload& work) {
  double slots =
      static_cast<double>(site.upstream_ids().size()) * site.options().slots;
  double tasks_per_second = work.load * slots * 1000 / mean_task_ms(work);
  double jobs_per_second = tasks_per_second / mean_tasks(work);
  job_generator jobs(work);
  std::vector<arrival> all;
  double at = 0;
  double next_burst = 1000;
  while (at < work.seconds * 1000) {
    at += jobs.next_gap_ms(jobs_per_second);
    all.push_back(jobs.next(at));
    if (work.burst_jobs == 0 || at < next_burst)
      continue;
    next_burst += 1000;
    for (int i = 0; i < work.burst_jobs; ++i)
      all.push_back(jobs.next(at));
  }
  return all;
}

// A request in flight. Only those with `measured` set enter the report.
struct call_state {
  CURL* easy = nullptr;
  std::string body;
  std::string reply;
  std::string key;
  const arrival* job = nullptr;
  int64_t sent_us = 0;
  bool measured = true;
};

size_t append_reply(char* data, size_t size, size_t count, void* into) {
  static_cast<std::string*>(into)->append(data, size * count);
  return size * count;
}

class load_runner {
 public:
  load_runner(deployment& site, const workload& work)
      : site_(site),
        work_(work),
        arrivals_(draw_arrivals(site, work)),
        hosts_(site.entry_hosts()),
        curl_(loop_, MAX_CONNECTIONS, [this](CURL* easy, CURLcode /*code*/) {
          on_finished(easy);
        }) {}

  load_report run() {
    std::map<std::string, double> before = read_counters();
    started_us_ = monotonic_us();
    periodic_timer timer(loop_, TICK_MS, [this] { tick(); });
    loop_.run();
    report_.seconds = work_.seconds;
    for (const auto& [name, value] : read_counters())
      report_.counters[name] = value - before[name];
    report_.max_starts = site_.max_starts();
    std::set<std::string> started;
    for (const start_record& record : site_.starts())
      started.insert(record.key);
    for (const std::string& key : not_run_)
      report_.false_not_run += started.contains(key) ? 1 : 0;
    return std::move(report_);
  }

 private:
  void tick() {
    double now_ms = static_cast<double>(monotonic_us() - started_us_) / 1000;
    while (next_ < arrivals_.size() && arrivals_[next_].at_ms <= now_ms)
      submit(arrivals_[next_++]);
    bool done = next_ == arrivals_.size() && in_flight_.empty();
    if (done || now_ms > work_.seconds * 1000 + DRAIN_LIMIT_MS)
      loop_.stop();
  }

  void submit(const arrival& job) {
    size_t turn = next_;
    const std::string& host = hosts_[turn % hosts_.size()];
    std::string zone = host.substr(0, host.rfind('-'));
    std::string key =
        fmt::format("{}:{}-{}-{}", zone, work_.name, work_.seed, turn);
    report_.submitted_tasks += static_cast<int64_t>(job.task_ms.size());
    if (work_.idempotent) {
      send(host, "/v1/requests/" + site_.options().service, "",
           request_body(job), job, true);
      return;
    }
    std::string body = job_body(job, key);
    send(host, "/v1/jobs", key, body, job, true);
    if (job.resubmit)
      send(hosts_[(turn + 1) % hosts_.size()], "/v1/jobs", key, body, job,
           false);
    if (job.cancel)
      loop_.post([this, host, key, &job] { cancel(host, key, job); });
  }

  nlohmann::json common_fields(const arrival& job) {
    return {{"tenant", job.tenant},
            {"class", job.class_name},
            {"deadline_ms", current_time() + job.time_to_deadline_ms}};
  }

  std::string job_body(const arrival& job, const std::string& key) {
    nlohmann::json body = common_fields(job);
    body["key"] = key;
    for (int ms : job.task_ms)
      body["tasks"].push_back({{"service", site_.options().service},
                               {"payload", fmt::format("ms={}", ms)}});
    if (job.failing)
      body["tasks"][0]["payload"] = "mode=fail";
    return body.dump();
  }

  std::string request_body(const arrival& job) {
    nlohmann::json body = common_fields(job);
    body["idempotent"] = true;
    body["payload"] = fmt::format("ms={}", job.task_ms.front());
    return body.dump();
  }

  void send(const std::string& host,
            const std::string& path,
            const std::string& key,
            std::string body,
            const arrival& job,
            bool measured) {
    auto call = std::make_unique<call_state>();
    call->easy = curl_easy_init();
    call->body = std::move(body);
    call->key = key;
    call->job = &job;
    call->measured = measured;
    call->sent_us = monotonic_us();
    CURL* easy = call->easy;
    std::string url =
        fmt::format("http://{}{}", site_.http_address(host), path);
    static curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
    if (call->body.empty()) {
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "DELETE");
    } else {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                       static_cast<long>(call->body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body.data());
    }
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &append_reply);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call->reply);
    in_flight_.emplace(easy, std::move(call));
    curl_.add(easy);
  }

  void cancel(const std::string& host,
              const std::string& key,
              const arrival& job) {
    send(host, fmt::format("/v1/jobs/{}/{}", job.tenant, key), key, "", job,
         false);
  }

  void on_finished(CURL* easy) {
    std::unique_ptr<call_state> call = std::move(in_flight_.at(easy));
    in_flight_.erase(easy);
    curl_easy_cleanup(easy);
    if (!call->measured)
      return;
    http_reply reply{200, std::move(call->reply)};
    class_report& row = report_.classes[call->job->class_name];
    std::string outcome = reply.outcome();
    ++row.outcomes[outcome];
    if (reply.execution() == "not_run" && !call->key.empty())
      not_run_.insert(call->key);
    if (outcome != "complete")
      return;
    const std::vector<int>& times = call->job->task_ms;
    double response_ms =
        static_cast<double>(monotonic_us() - call->sent_us) / 1000;
    row.ratios.push_back(response_ms /
                         *std::max_element(times.begin(), times.end()));
    row.completed_tasks += static_cast<int64_t>(times.size());
    double at_s = static_cast<double>(monotonic_us() - started_us_) / 1e6;
    if (at_s >= work_.seconds * WARM_UP_SHARE && at_s <= work_.seconds)
      row.steady_tasks += static_cast<int64_t>(times.size());
  }

  std::map<std::string, double> read_counters() {
    std::map<std::string, double> sums;
    for (const std::string& host : hosts_) {
      nlohmann::json page = site_.call(host, "GET", "/v1/metrics").json();
      if (!page.is_object())
        continue;
      for (const auto& [name, value] : page["counters"].items())
        sums[name] += value.get<double>();
    }
    return sums;
  }

  deployment& site_;
  workload work_;
  std::vector<arrival> arrivals_;
  std::vector<std::string> hosts_;
  event_loop loop_;
  curl_loop curl_;
  std::map<CURL*, std::unique_ptr<call_state>> in_flight_;
  std::set<std::string> not_run_;
  load_report report_;
  size_t next_ = 0;
  int64_t started_us_ = 0;
};

}  // namespace

double mean_task_ms(const workload& /*work*/) {
  return 0.99 * 274.5 + 0.01 * 3000;
}

double quantile(std::vector<double> values, double share) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  auto index = static_cast<size_t>(share * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

load_report run_load(deployment& site, const workload& work) {
  return load_runner(site, work).run();
}

void print_report(const std::string& title, const load_report& report) {
  int64_t completed = 0;
  for (const auto& [name, row] : report.classes) {
    completed += row.completed_tasks;
    fmt::print(
        "{:<34} {:<11} p50 {:<6.2f} p99 {:<7.2f} p99.9 {:<7.2f} "
        "goodput {:<6.0f}",
        title, name, quantile(row.ratios, 0.5), quantile(row.ratios, 0.99),
        quantile(row.ratios, 0.999),
        static_cast<double>(row.steady_tasks) / report.seconds /
            (1 - WARM_UP_SHARE));
    for (const auto& [outcome, count] : row.outcomes)
      fmt::print(" {}={}", outcome, count);
    fmt::print("\n");
  }
  auto per_task = [&](const char* name) {
    auto found = report.counters.find(name);
    double value = found == report.counters.end() ? 0 : found->second;
    return value / std::max(1.0, static_cast<double>(completed));
  };
  fmt::print(
      "{:<34} a task: starts {:.3f} retries {:.4f} cancels {:.4f} "
      "claims {:.4f} claim resends {:.4f} attaches {:.4f} late {:.4f} "
      "mismatched {:.4f} ejections {:.0f} | starts beyond one {} "
      "false not_run {}\n",
      title, per_task("task_starts"), per_task("task_retries"),
      per_task("task_cancels"), per_task("claim_requests"),
      per_task("claim_resends"), per_task("attach_queries"),
      per_task("late_answers"), per_task("mismatched_answers"),
      per_task("upstream_ejections") * static_cast<double>(completed),
      report.max_starts > 1 ? report.max_starts - 1 : 0, report.false_not_run);
}

}  // namespace cyclamenwood
