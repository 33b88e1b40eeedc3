// The fixture of the pool's tests: one pool and in-process upstreams.
#ifndef CYCLAMENWOOD_TESTING_POOL_FIXTURE_H_
#define CYCLAMENWOOD_TESTING_POOL_FIXTURE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cyclamenwood/pool.h"
#include "cyclamenwood/testing/fake_upstream.h"

namespace cyclamenwood {

constexpr int64_t STEP_MS = 5;
constexpr int64_t RUN_MS = 100;

// One pool, its upstreams, and a clock. Orders are carried out at once;
// renewals are answered when a run has ended or their wait is over.
class pool_fixture : public testing::Test {
 protected:
  pool_fixture() { state.name = "kranj"; }

  fake_upstream& add_upstream(const std::string& id, uint32_t cpu = 2000) {
    upstreams.emplace_back(id, "kranj", cpu, 500'000, RUN_MS);
    update_upstream(state, upstreams.back().info(), now, out);
    flush();
    return upstreams.back();
  }

  void own(uint64_t token) {
    acquire_ownership(state, token, now, out);
    flush();
  }

  wire::run_request request(uint64_t submission,
                            const std::string& job,
                            uint32_t tasks) {
    wire::run_request made;
    made.set_submission(submission);
    made.set_job(job);
    for (uint32_t task = 0; task < tasks; ++task)
      made.add_tasks(task);
    made.set_spec("spec");
    made.mutable_need()->set_cpu_milli(1000);
    made.set_service("fit-desk");
    made.set_max_attempts(2);
    made.set_estimate_ms(RUN_MS);
    made.set_aim_ms(300);
    made.set_remaining_ms(3000);
    return made;
  }

  void ask(const wire::run_request& wanted, const std::string& from = "e1") {
    say_hello(from, 1);
    request_runs(state, from, wanted, now, out);
    flush();
  }

  // Returns the upstream u1, on which the only task of submission 1, job j1,
  // was started and takes long.
  fake_upstream& add_busy_upstream() {
    fake_upstream& upstream = add_upstream("u1");
    upstream.set_run_ms(10'000);
    own(1);
    run_until(now + 20);
    ask(request(1, "j1", 1));
    run_until(now + 50);
    return upstream;
  }

  // Simulates an entry host that has received all messages of the owner.
  void say_hello(const std::string& from, uint64_t incarnation) {
    update_peer(state, from, incarnation, now, now, out);
    wire::pool_hello hello;
    hello.set_requests(state.peers[from].requests_received);
    hello.set_have_upstreams(state.upstreams_version);
    hello.set_unconfirmed_echo_ms(unconfirmed_echo_ms);
    answer_hello(state, from, hello, now);
  }

  void flush() {
    place_tasks(state, now, out);
    for (run_order& order : std::exchange(out.orders, {}))
      waiting.push_back({now, std::move(order)});
    for (auto& [host, results] : std::exchange(out.results, {})) {
      for (const wire::run_result& result : results.results())
        reported.emplace_back(host, result);
    }
  }

  fake_upstream* find(const std::string& id) {
    for (fake_upstream& upstream : upstreams) {
      if (upstream.info().id() == id)
        return &upstream;
    }
    return nullptr;
  }

  // Advances the clock to `until` and answers orders on the way.
  void run_until(unix_ms until) {
    while (now < until) {
      now += STEP_MS;
      for (auto& [order_sent, order] : std::exchange(waiting, {}))
        answer(order_sent, order);
      if (keep_peers) {
        for (const auto& [host, peer] : std::map(state.peers))
          say_hello(host, peer.incarnation);
      }
      tick_pool(state, now, out);
      flush();
    }
  }

  void answer(unix_ms sent, const run_order& order) {
    fake_upstream* upstream = find(order.upstream);
    upstream->advance(now);
    bool silent = unreachable.contains(order.upstream) ||
                  (order.kind == order_kind::start && drop_starts > 0) ||
                  (order.kind == order_kind::stop && drop_stops);
    if (silent) {
      if (now < order.reply_deadline_ms) {
        waiting.push_back({sent, order});
        return;
      }
      if (order.kind == order_kind::start)
        --drop_starts;
      order_replied(state, order.id, {}, now, out);
    } else {
      bool refused = order.kind == order_kind::stop && refuse_stops;
      order_reply reply = refused
                              ? order_reply{.outcome = order_outcome::unhealthy}
                              : upstream->carry_out(order, now);
      bool waits = order.kind == order_kind::renewal && reply.ended.empty() &&
                   now < sent + order.wait_ms;
      if (waits) {
        waiting.push_back({sent, order});
        return;
      }
      order_replied(state, order.id, reply, now, out);
    }
    flush();
  }

  size_t count(wire::run_outcome outcome) const {
    return std::count_if(reported.begin(), reported.end(),
                         [outcome](const auto& item) {
                           return item.second.outcome() == outcome;
                         });
  }

  struct sent_order {
    unix_ms sent = 0;
    run_order order;
  };

  unix_ms now = 1'000'000;
  pool state;
  pool_output out;
  std::deque<fake_upstream> upstreams;
  std::vector<sent_order> waiting;
  std::vector<std::pair<std::string, wire::run_result>> reported;
  std::set<std::string> unreachable;
  int drop_starts = 0;
  bool drop_stops = false;
  // Upstreams answer stops with a refusal and do not carry them out.
  bool refuse_stops = false;
  int64_t unconfirmed_echo_ms = 0;
  bool keep_peers = true;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_POOL_FIXTURE_H_
