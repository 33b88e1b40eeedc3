// Benchmarks: `bench SCENARIO [--seconds N] [--seed N]`. Each scenario runs the
// variants that it compares one after the other on this machine and prints a
// table. Compare the variants of one run with each other; absolute times depend
// on the machine.
#include <fmt/format.h>
#include <getopt.h>

#include <csignal>
#include <functional>

#include "cyclamenwood/loop.h"
#include "cyclamenwood/testing/deployment.h"
#include "tools/open_loop.h"

namespace cyclamenwood {
namespace {

struct bench_options {
  double seconds = 10;
  uint64_t seed = 1;
};

constexpr double ZONE_DELAY_MS = 1.4;
constexpr int UPSTREAMS_PER_ZONE = 17;
// Run time of the tasks of the unloaded measurement.
constexpr int TASK_MS = 50;

// The present sizes of the fit-desk deployment.
deployment_options site_options(
    nlohmann::json settings = nlohmann::json::object()) {
  deployment_options options;
  options.upstreams_a_zone = UPSTREAMS_PER_ZONE;
  options.zone_delay_ms = ZONE_DELAY_MS;
  options.settings = std::move(settings);
  return options;
}

using setup_function = std::function<void(deployment&)>;

load_report run_variant(const std::string& title,
                        const nlohmann::json& settings,
                        const workload& work,
                        const setup_function& setup = {}) {
  deployment site(site_options(settings));
  site.start();
  if (!site.start_serving()) {
    fmt::print("{}: the deployment did not start serving in time\n", title);
    return {};
  }
  if (setup)
    setup(site);
  load_report report = run_load(site, work);
  print_report(title, report);
  std::fflush(stdout);
  return report;
}

workload make_work(const bench_options& options, double load) {
  workload work;
  work.seconds = options.seconds;
  work.seed = options.seed;
  work.load = load;
  return work;
}

void compare_slots(const bench_options& options) {
  for (double load : {0.5, 0.9, 1.3}) {
    for (const char* policy : {"random", "two_choices", "shared"})
      run_variant(fmt::format("{} at {:.0f}%", policy, load * 100),
                  {{"dispatch", {{"slots", policy}}}},
                  make_work(options, load));
  }
}

void compare_failing(const bench_options& options) {
  auto fail_some = [](deployment& site) {
    for (const std::string& id : site.upstream_ids()) {
      if (id.ends_with("-u1") || id.ends_with("-u2"))
        site.control_upstream(id, "fail");
    }
  };
  workload work = make_work(options, 0.5);
  work.idempotent = true;
  for (int percent : {0, 50})
    run_variant(fmt::format("6 of 51 fail, ejection up to {}%", percent),
                {{"dispatch", {{"max_ejected_percent", percent}}}}, work,
                fail_some);
  workload payloads = make_work(options, 0.5);
  payloads.failing_share = 0.05;
  run_variant("5% of jobs fail everywhere", {}, payloads);
  run_variant("one zone's upstreams freeze", {}, make_work(options, 0.5),
              [](deployment& site) {
                site.signal_process("upstreams-kranj", SIGSTOP);
              });
}

void compare_overload(const bench_options& options) {
  for (double load : {0.9, 1.0, 1.3, 2.0})
    run_variant(fmt::format("early refusal at {:.0f}%", load * 100), {},
                make_work(options, load));
  run_variant("no early refusal at 130%",
              {{"dispatch", {{"early_refusal_percent", 10}}}},
              make_work(options, 1.3));
  workload bursts = make_work(options, 0.5);
  bursts.burst_jobs = 150;
  run_variant("bursts at 50%", {}, bursts);
}

void compare_cut(const bench_options& options) {
  deployment site(site_options());
  site.start();
  if (!site.start_serving())
    return;
  workload work = make_work(options, 0.5);
  print_report("before the cut", run_load(site, work));
  site.cut_zone("kranj");
  work.seed += 1;
  print_report("kranj is cut off", run_load(site, work));
  site.heal();
  work.seed += 1;
  print_report("after the cut", run_load(site, work));
}

void compare_cancel(const bench_options& options) {
  workload work = make_work(options, 0.7);
  run_variant("no cancellations", {}, work);
  work.cancel_share = 0.3;
  run_variant("30% cancelled", {}, work);
  work.cancel_share = 0;
  work.resubmit_share = 0.3;
  run_variant("30% submitted twice", {}, work);
}

// The cost of a claim: submits one job at a time to an otherwise idle
// deployment.
void measure_claim(const bench_options& options) {
  for (int sync_ms : {0, 5}) {
    deployment site(
        site_options({{"replica", {{"added_sync_delay_ms", sync_ms}}}}));
    site.start();
    if (!site.start_serving())
      return;
    auto time_ms = [&](const std::function<http_reply(int)>& call) {
      std::vector<double> times;
      int rounds = static_cast<int>(options.seconds * 10);
      for (int i = 0; i < rounds; ++i) {
        int64_t start_us = monotonic_us();
        http_reply reply = call(i);
        if (reply.outcome() == "complete")
          times.push_back(static_cast<double>(monotonic_us() - start_us) /
                          1000);
      }
      return fmt::format("n {} p50 {:.2f} ms p99 {:.2f} ms", times.size(),
                         quantile(times, 0.5), quantile(times, 0.99));
    };
    auto job_in = [&](const std::string& zone) {
      return [&site, zone](int i) {
        return site.submit("kranj-1", fmt::format("{}:claim-{}", zone, i), 1,
                           fmt::format("ms={}", TASK_MS));
      };
    };
    auto request = [&](int /*i*/) {
      nlohmann::json body = {{"tenant", "guest"},
                             {"class", "interactive"},
                             {"deadline_ms", current_time() + 5000},
                             {"idempotent", true},
                             {"payload", fmt::format("ms={}", TASK_MS)}};
      return site.call("kranj-1", "POST", "/v1/requests/fit-desk", body.dump());
    };
    fmt::print("sync +{} ms, no claim:       {}\n", sync_ms, time_ms(request));
    fmt::print("sync +{} ms, claim at home:  {}\n", sync_ms,
               time_ms(job_in("kranj")));
    fmt::print("sync +{} ms, claim elsewhere: {}\n", sync_ms,
               time_ms(job_in("lj-vic")));
    std::string leader = site.leader_of("claims/kranj");
    fmt::print("  last sync at {}: {} us\n", leader,
               site.status(leader)["last_sync_us"].dump());
  }
}

int run_program(int argc, char** argv) {
  const std::map<std::string, std::function<void(const bench_options&)>>
      scenarios = {{"slots", compare_slots},       {"failing", compare_failing},
                   {"overload", compare_overload}, {"cut", compare_cut},
                   {"cancel", compare_cancel},     {"claim", measure_claim}};
  const option options[] = {{"seconds", required_argument, nullptr, 's'},
                            {"seed", required_argument, nullptr, 'r'},
                            {nullptr, 0, nullptr, 0}};
  bench_options parsed;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "s:r:", options, nullptr)) != -1) {
    if (choice == 's')
      parsed.seconds = std::strtod(optarg, nullptr);
    else if (choice == 'r')
      parsed.seed = std::strtoull(optarg, nullptr, 10);
    else
      return 2;
  }
  auto scenario =
      optind < argc ? scenarios.find(argv[optind]) : scenarios.end();
  if (scenario == scenarios.end()) {
    for (const auto& [name, run] : scenarios)
      fmt::print("bench {}\n", name);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  scenario->second(parsed);
  return 0;
}

}  // namespace
}  // namespace cyclamenwood

int main(int argc, char** argv) {
  return cyclamenwood::run_program(argc, argv);
}
