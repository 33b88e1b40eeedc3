// Prints the processor time of one placement with waiting tasks, without and
// with reservations: `placement_cost`. Prints medians.
#include <fmt/format.h>
#include <time.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "cyclamenwood/pool.h"

namespace cyclamenwood {
namespace {

constexpr int PLACEMENTS = 300;
// No waiting job is refused.
constexpr int64_t WAIT_MS = 1'000'000;
constexpr uint32_t UPSTREAM_CPU_MILLI = 16'000;

int64_t cpu_ns() {
  timespec now{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return int64_t{now.tv_sec} * 1'000'000'000 + now.tv_nsec;
}

wire::run_request make_request(uint64_t number, uint32_t cpu_milli) {
  wire::run_request request;
  request.set_submission(number);
  request.set_job(fmt::format("job{}", number));
  request.add_tasks(0);
  request.mutable_need()->set_cpu_milli(cpu_milli);
  request.set_service("fit-desk");
  request.set_max_attempts(2);
  request.set_estimate_ms(60 + static_cast<int64_t>(number * 37 % 840));
  request.set_priority(static_cast<uint32_t>(number % 3));
  request.set_aim_ms(WAIT_MS);
  request.set_remaining_ms(WAIT_MS);
  return request;
}

// A pool of which each upstream has two runs, of 9 and 7 of its 16 cores, with
// waiting tasks of 8 to 12 cores.
pool make_busy_pool(int upstreams, int waiting, bool reserves, unix_ms now) {
  pool busy;
  busy.name = "kranj";
  busy.token = 1;
  busy.owned_since_ms = now - WAIT_MS;
  busy.options.reserve_for_waiting = reserves;
  pool_output out;
  update_peer(busy, "e1", 1, now, now, out);
  wire::pool_hello hello;
  hello.set_have_upstreams(INT64_MAX);
  answer_hello(busy, "e1", hello, now);
  for (int i = 0; i < upstreams; ++i) {
    leased_upstream& upstream = busy.upstreams[fmt::format("u{}", i)];
    upstream.info.set_id(fmt::format("u{}", i));
    upstream.info.set_service("fit-desk");
    upstream.info.set_state(wire::UPSTREAM_READY);
    upstream.info.mutable_capacity()->set_cpu_milli(UPSTREAM_CPU_MILLI);
    upstream.listed = true;
    upstream.clock_offset_ms = 0;
  }
  uint64_t number = 1;
  for (uint32_t cpu_milli : {9'000U, 7'000U}) {
    for (int i = 0; i < upstreams; ++i, ++number)
      request_runs(busy, "e1", make_request(number, cpu_milli), now, out);
    place_tasks(busy, now, out);
  }
  for (auto& [id, upstream] : busy.upstreams) {
    for (auto& [name, run] : upstream.runs)
      run.started_ms = now;
  }
  for (int i = 0; i < waiting; ++i, ++number)
    request_runs(busy, "e1", make_request(number, 8'000 + number % 5 * 1'000),
                 now, out);
  return busy;
}

// Each call is the placement after the same series of changes. `searches`: the
// waiting tasks have no reservations from an earlier placement.
void measure_placement(int upstreams,
                       int waiting,
                       bool reserves,
                       bool starts,
                       bool searches) {
  constexpr unix_ms NOW = 1'000'000;
  pool busy = make_busy_pool(upstreams, waiting, reserves, NOW);
  if (!searches) {
    pool_output out;
    place_tasks(busy, NOW, out);
    busy.placement_due = true;
  }
  if (starts) {
    leased_upstream& freed = busy.upstreams.rbegin()->second;
    freed.runs.clear();
    freed.used = {};
  }
  std::vector<int64_t> spent_ns;
  size_t started = 0;
  for (int i = 0; i < PLACEMENTS; ++i) {
    pool state = busy;
    pool_output out;
    int64_t begin = cpu_ns();
    place_tasks(state, NOW + 1, out);
    spent_ns.push_back(cpu_ns() - begin);
    started += out.orders.size();
  }
  std::sort(spent_ns.begin(), spent_ns.end());
  fmt::print(
      "{:>4} upstreams {:>5} waiting reserve={:d} search={:d} "
      "starts={}{:>10} ns\n",
      upstreams, waiting, reserves, searches, started / PLACEMENTS,
      spent_ns[PLACEMENTS / 2]);
}

void measure_placements() {
  for (int upstreams : {10, 350}) {
    for (bool starts : {false, true}) {
      measure_placement(upstreams, 0, false, starts, false);
      measure_placement(upstreams, 0, true, starts, false);
      measure_placement(upstreams, 1'000, false, starts, false);
      measure_placement(upstreams, 1'000, true, starts, false);
      measure_placement(upstreams, 1'000, true, starts, true);
    }
  }
}

}  // namespace
}  // namespace cyclamenwood

int main() {
  cyclamenwood::measure_placements();
}
