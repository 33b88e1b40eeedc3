// Measures the slopes for docs/CAPACITY.md: `capacity PART`. Each part runs at
// three sizes.
//
//   idle      an idle deployment: CPU, memory, bytes and messages per daemon,
//             by the number of upstreams, entry hosts and zones
//   tasks     CPU of the entry hosts per task start, of the replicas per claim
//   claims    the same with one claim per task
//   core      time and memory of the reducers alone, by the number of upstreams
//             and of claim records
#include <fmt/format.h>
#include <malloc.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <functional>
#include <sstream>
#include <thread>

#include "cyclamenwood/claims.h"
#include "cyclamenwood/loop.h"
#include "cyclamenwood/registry.h"
#include "cyclamenwood/router.h"
#include "cyclamenwood/testing/deployment.h"
#include "tools/open_loop.h"

namespace cyclamenwood {
namespace {

constexpr double IDLE_SECONDS = 12;
constexpr double LOAD_SECONDS = 8;
constexpr unix_ms NOW = 1'800'000'000'000;

// Resources that a process has used since its start; the resident memory is the
// current one.
struct usage {
  double cpu_seconds = 0;
  double resident_mb = 0;
  double switches = 0;
  double bytes = 0;
  double messages = 0;
};

double status_field(pid_t pid, const std::string& name) {
  std::ifstream file(fmt::format("/proc/{}/status", pid));
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(name + ":"))
      return std::stod(line.substr(name.size() + 1));
  }
  return 0;
}

double switches_of(pid_t pid) {
  return status_field(pid, "voluntary_ctxt_switches") +
         status_field(pid, "nonvoluntary_ctxt_switches");
}

double cpu_of(pid_t pid) {
  std::ifstream file(fmt::format("/proc/{}/stat", pid));
  std::string text;
  std::getline(file, text);
  std::istringstream words(text.substr(text.rfind(')') + 2));
  std::string word;
  double ticks = 0;
  constexpr int USER_TIME = 12;
  constexpr int SYSTEM_TIME = 13;
  for (int i = 1; words >> word && i <= SYSTEM_TIME; ++i)
    ticks += i >= USER_TIME ? std::stod(word) : 0;
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

usage read_usage(deployment& site, const std::string& name) {
  usage now;
  pid_t pid = site.pid_of(name);
  now.cpu_seconds = cpu_of(pid);
  now.resident_mb = status_field(pid, "VmRSS") / 1024;
  now.switches = switches_of(pid);
  bool entry = !name.substr(name.rfind('-')).starts_with("-r");
  nlohmann::json page =
      entry ? site.call(name, "GET", "/v1/metrics").json()["counters"]
            : site.status(name);
  now.bytes = page.value("rpc_sent_bytes", 0.0);
  now.messages = page.value("rpc_sent_messages", 0.0);
  return now;
}

// Mean usage per process between two readings. The resident memory is that of
// the second one.
usage mean_difference(const std::vector<usage>& before,
                      const std::vector<usage>& after) {
  usage mean;
  double n = static_cast<double>(before.size());
  for (size_t i = 0; i < before.size(); ++i) {
    mean.cpu_seconds += (after[i].cpu_seconds - before[i].cpu_seconds) / n;
    mean.resident_mb += after[i].resident_mb / n;
    mean.switches += (after[i].switches - before[i].switches) / n;
    mean.bytes += (after[i].bytes - before[i].bytes) / n;
    mean.messages += (after[i].messages - before[i].messages) / n;
  }
  return mean;
}

std::vector<usage> read_all(deployment& site,
                            const std::vector<std::string>& names) {
  std::vector<usage> all;
  for (const std::string& name : names)
    all.push_back(read_usage(site, name));
  return all;
}

void print_idle(const std::string& role, const usage& used) {
  fmt::print(
      "  {:<8} cpu {:.3f}% of a core, rss {:.1f} MB, main thread's switches "
      "{:.0f}/s, sent {:.0f} B/s in {:.1f} messages/s\n",
      role, used.cpu_seconds / IDLE_SECONDS * 100, used.resident_mb,
      used.switches / IDLE_SECONDS, used.bytes / IDLE_SECONDS,
      used.messages / IDLE_SECONDS);
}

void measure_idle_site(const deployment_options& options) {
  deployment site(options);
  site.start();
  if (!site.start_serving()) {
    fmt::print("  the deployment did not start serving in time\n");
    return;
  }
  // By then the entry hosts have completed the configuration reads of their
  // start.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  auto entries = read_all(site, site.entry_hosts());
  auto replicas = read_all(site, site.replicas());
  std::this_thread::sleep_for(
      std::chrono::milliseconds(static_cast<int64_t>(IDLE_SECONDS * 1000)));
  print_idle("entryd",
             mean_difference(entries, read_all(site, site.entry_hosts())));
  print_idle("replicad",
             mean_difference(replicas, read_all(site, site.replicas())));
}

void measure_idle() {
  for (int upstreams : {5, 20, 80}) {
    fmt::print("idle, 6 entry hosts, {} upstreams\n", upstreams * 3);
    measure_idle_site({.upstreams_a_zone = upstreams, .proxy_links = false});
  }
  for (int hosts : {1, 3, 5}) {
    fmt::print("idle, {} entry hosts, 60 upstreams\n", hosts * 3);
    measure_idle_site({.entry_hosts_a_zone = hosts,
                       .upstreams_a_zone = 20,
                       .proxy_links = false});
  }
  for (size_t zones : {1, 2, 4}) {
    fmt::print("idle, {} zones, {} groups\n", zones, zones + 1);
    std::vector<std::string> all = {"z1", "z2", "z3", "z4"};
    all.resize(zones);
    measure_idle_site(
        {.zones = all, .upstreams_a_zone = 10, .proxy_links = false});
  }
}

void measure_tasks(bool one_task) {
  for (double load : {0.2, 0.4, 0.8}) {
    deployment site({.upstreams_a_zone = 20, .proxy_links = false});
    site.start();
    if (!site.start_serving())
      return;
    auto entries = read_all(site, site.entry_hosts());
    auto replicas = read_all(site, site.replicas());
    workload work;
    work.load = load;
    work.one_task = one_task;
    work.seconds = LOAD_SECONDS;
    load_report report = run_load(site, work);
    usage entry = mean_difference(entries, read_all(site, site.entry_hosts()));
    usage replica = mean_difference(replicas, read_all(site, site.replicas()));
    double tasks = report.counters["task_starts"];
    double claims = report.counters["claim_requests"];
    constexpr double HOSTS = 6;
    fmt::print(
        "load {:.1f}: {:.0f} starts, {:.0f} claims; entryd {:.0f} us CPU a "
        "start, {:.0f} B sent a claim; replicad {:.0f} us CPU a claim, {:.0f} "
        "B sent a claim (all six together)\n",
        load, tasks, claims, entry.cpu_seconds * HOSTS / tasks * 1e6,
        entry.bytes * HOSTS / claims,
        replica.cpu_seconds * HOSTS / claims * 1e6,
        replica.bytes * HOSTS / claims);
  }
}

wire::upstream make_upstream(int i) {
  wire::upstream upstream;
  upstream.set_id(fmt::format("upstream-{}", i));
  upstream.set_incarnation(NOW);
  upstream.set_sequence(1);
  upstream.set_service("fit-desk");
  upstream.set_address(fmt::format("10.0.{}.{}:7000", i / 250, i % 250));
  upstream.set_zone("z");
  upstream.set_slots(8);
  upstream.set_state(wire::UPSTREAM_READY);
  return upstream;
}

double time_us(int rounds, const std::function<void()>& work) {
  int64_t start_us = monotonic_us();
  for (int i = 0; i < rounds; ++i)
    work();
  return static_cast<double>(monotonic_us() - start_us) / rounds;
}

double heap_mb() {
  return static_cast<double>(mallinfo2().uordblks) / (1 << 20);
}

void measure_upstreams(int count) {
  settings all;
  all.zones = {"z"};
  all.entry_hosts = {{"e1", "z", "", ""}, {"e2", "z", "", ""}};
  double before = heap_mb();
  entry_state state = make_entry(all, "e1", 1, 1, NOW);
  uint64_t sequence = 1;
  for (int i = 0; i < count; ++i)
    registry_announce(state.upstreams, make_upstream(i), NOW);
  double memory_kb = (heap_mb() - before) * 1024;
  wire::upstream renewed = make_upstream(count / 2);
  double announce_us = time_us(2000, [&] {
    renewed.set_sequence(++sequence);
    registry_announce(state.upstreams, renewed, NOW);
  });
  double digest_us =
      time_us(200, [&] { registry_make_digest(state.upstreams); });
  double choose_us =
      time_us(200, [&] { choose_upstream(state, "fit-desk", {}, NOW); });
  fmt::print(
      "{} upstreams: {:.2f} KB each, renewal {:.1f} us, vouch {:.0f} us, "
      "choice {:.1f} us\n",
      count, memory_kb / count, announce_us, digest_us, choose_us);
}

void measure_records(int count) {
  double before = heap_mb();
  claim_table table;
  wire::claim claim;
  claim.set_tenant("zupancic");
  claim.set_digest(std::string(16, 'd'));
  claim.set_owner_host("lj-vic-1");
  claim.set_owner_incarnation(NOW);
  claim.set_keep_until_ms(NOW + 86'400'000);
  claim.set_submitted_ms(NOW);
  int i = 0;
  double apply_us = time_us(count, [&] {
    claim.set_key(fmt::format("lj-vic:1796360000:order-{}", i++));
    claim.set_claim_id(i);
    claim.set_keep_until_ms(NOW + i);
    apply_claim(table, claim, NOW, 1 << 30);
  });
  double bytes = (heap_mb() - before) * (1 << 20) / count;
  std::string saved;
  double save_us = time_us(1, [&] { saved = save_claims(table); });
  fmt::print(
      "{} records: {:.0f} B each, apply {:.2f} us, snapshot {:.0f} ms "
      "and {:.0f} B a record\n",
      count, bytes, apply_us, save_us / 1000,
      static_cast<double>(saved.size()) / count);
}

void measure_core() {
  for (int count : {300, 600, 1200})
    measure_upstreams(count);
  for (int count : {50'000, 100'000, 200'000})
    measure_records(count);
}

int run_program(const std::string& part) {
  std::signal(SIGPIPE, SIG_IGN);
  if (part == "idle")
    measure_idle();
  else if (part == "tasks")
    measure_tasks(false);
  else if (part == "claims")
    measure_tasks(true);
  else if (part == "core")
    measure_core();
  else
    return 2;
  return 0;
}

}  // namespace
}  // namespace cyclamenwood

int main(int argc, char** argv) {
  return cyclamenwood::run_program(argc > 1 ? argv[1] : "");
}
