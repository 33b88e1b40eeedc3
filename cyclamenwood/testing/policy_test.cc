// Tests of the fair queue, of upstream health and of the registry of upstreams.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cyclamenwood/fair_queue.h"
#include "cyclamenwood/health.h"
#include "cyclamenwood/registry.h"

namespace cyclamenwood {
namespace {

bool any_tenant(std::string_view /*tenant*/) {
  return true;
}

TEST(fair_queue, shares_follow_the_weights) {
  fair_queue queue;
  uint64_t job = 1;
  for (const char* class_name : {"interactive", "batch"}) {
    for (const char* tenant : {"big", "small"}) {
      for (int i = 0; i < 2000; ++i)
        queue_push(queue, class_name, tenant, {1000 + i, job++});
    }
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 1800; ++i) {
    queue_pick next = *queue_next(queue, any_tenant);
    ++served[next.class_name + "/" + next.tenant];
    double class_weight = next.class_name == "interactive" ? 8 : 1;
    double tenant_weight = next.tenant == "big" ? 3 : 1;
    queue_charge(queue, next, 10, class_weight, tenant_weight);
    tenant_flow& flow =
        queue.classes[next.class_name].tenants.find(next.tenant)->second;
    queue_remove(queue, next.class_name, next.tenant, *flow.jobs.begin());
  }
  EXPECT_NEAR(served["interactive/big"], 1200, 4);
  EXPECT_NEAR(served["interactive/small"], 400, 4);
  EXPECT_NEAR(served["batch/big"], 150, 4);
  EXPECT_NEAR(served["batch/small"], 50, 4);
}

TEST(fair_queue, earliest_deadline_first_and_quotas) {
  fair_queue queue;
  queue_push(queue, "c", "t", {300, 1});
  queue_push(queue, "c", "t", {100, 2});
  queue_push(queue, "c", "u", {50, 3});
  auto only_t = [](std::string_view tenant) { return tenant == "t"; };
  EXPECT_EQ(queue_next(queue, only_t)->job, 2U);
  auto none = [](std::string_view /*tenant*/) { return false; };
  EXPECT_FALSE(queue_next(queue, none));
}

TEST(health, a_failing_upstream_is_ejected_and_probed) {
  health_table table;
  for (const char* id : {"u1", "u2", "u3", "bad"})
    health_of(table, id, "s", "z", 1);
  for (int i = 0; i < 10; ++i) {
    for (const char* id : {"u1", "u2", "u3"})
      health_record(table, id, attempt_verdict::succeeded, 1000);
  }
  bool ejected = false;
  int failures = 0;
  while (!ejected && failures < 50) {
    ++failures;
    ejected = health_record(table, "bad", attempt_verdict::failed, 1000);
  }
  EXPECT_LE(failures, 10);
  upstream_health& bad = table.upstreams["bad"];
  EXPECT_FALSE(health_allows(bad, 1500));
  // On probation the upstream gets one task at a time.
  EXPECT_TRUE(health_allows(bad, 3000));
  bad.running = 1;
  EXPECT_FALSE(health_allows(bad, 3000));
  bad.running = 0;
  health_record(table, "bad", attempt_verdict::failed, 3000);
  EXPECT_FALSE(health_allows(bad, 6999));
  health_record(table, "bad", attempt_verdict::succeeded, 7000);
  EXPECT_TRUE(health_allows(bad, 7000));
}

TEST(health, a_payload_that_fails_everywhere_ejects_nobody) {
  health_table table;
  for (const char* id : {"u1", "u2", "u3", "u4"})
    health_of(table, id, "s", "z", 1);
  for (int i = 0; i < 100; ++i) {
    for (const char* id : {"u1", "u2", "u3", "u4"})
      EXPECT_FALSE(health_record(table, id, attempt_verdict::failed, 1000 + i));
  }
}

TEST(health, ejection_has_a_ceiling) {
  health_table table;
  table.options.max_ejected_percent = 50;
  for (int i = 0; i < 8; ++i)
    health_of(table, "u" + std::to_string(i), "s", "z", 1);
  int ejected = 0;
  for (int round = 0; round < 40; ++round) {
    for (int i = 0; i < 8; ++i) {
      auto verdict =
          i < 2 ? attempt_verdict::succeeded : attempt_verdict::failed;
      // The failing upstreams start to fail one after the other.
      if (i >= 2 && round < 5 * i)
        verdict = attempt_verdict::succeeded;
      ejected +=
          health_record(table, "u" + std::to_string(i), verdict, 1000) ? 1 : 0;
    }
  }
  EXPECT_LE(ejected, 4);
  EXPECT_GE(ejected, 1);
}

wire::upstream make_upstream(const std::string& id,
                             uint64_t incarnation,
                             uint64_t sequence,
                             wire::upstream_state state) {
  wire::upstream upstream;
  upstream.set_id(id);
  upstream.set_incarnation(incarnation);
  upstream.set_sequence(sequence);
  upstream.set_service("s");
  upstream.set_zone("z");
  upstream.set_slots(8);
  upstream.set_state(state);
  return upstream;
}

registry make_registry(const std::string& name) {
  registry all;
  all.self = name;
  return all;
}

bool usable(const registry& all, const std::string& id, unix_ms now) {
  auto found = all.upstreams.find(id);
  return found != all.upstreams.end() &&
         registry_usable(all, found->second, now);
}

// Sends one digest message from `from` to `to`, with the repair that `to` may
// request.
void exchange_vouch(registry& from, registry& to, unix_ms now) {
  std::optional<wire::sync_request> request = registry_receive_digest(
      to, from.self, 1, registry_make_digest(from), now);
  if (!request)
    return;
  registry_receive_delta(to, from.self, registry_answer_sync(from, *request),
                         now);
  registry_receive_digest(to, from.self, 1, registry_make_digest(from), now);
}

TEST(registry, a_lost_leave_is_repaired_by_the_next_vouch) {
  registry holder = make_registry("e1");
  registry other = make_registry("e2");
  registry_announce(holder, make_upstream("u", 1, 1, wire::UPSTREAM_READY),
                    1000);
  exchange_vouch(holder, other, 1000);
  EXPECT_TRUE(usable(other, "u", 1100));
  registry_announce(holder, make_upstream("u", 1, 2, wire::UPSTREAM_LEAVING),
                    1500);
  registry_take_outgoing(holder);  // Lost.
  EXPECT_TRUE(usable(other, "u", 1600));
  exchange_vouch(holder, other, 2000);
  EXPECT_FALSE(usable(other, "u", 2000));
}

TEST(registry, a_silent_holder_or_upstream_is_not_used) {
  registry holder = make_registry("e1");
  registry other = make_registry("e2");
  registry_announce(holder, make_upstream("u", 1, 1, wire::UPSTREAM_READY),
                    1000);
  exchange_vouch(holder, other, 1000);
  EXPECT_TRUE(usable(other, "u", 3400));
  EXPECT_FALSE(usable(other, "u", 3500));
  EXPECT_TRUE(usable(holder, "u", 3400));
  EXPECT_FALSE(usable(holder, "u", 3500));
  registry_expire(holder, 3500);
  wire::upstream_delta delta = registry_take_outgoing(holder);
  ASSERT_EQ(delta.dropped_size(), 1);
  EXPECT_EQ(delta.dropped(0), "u");
}

TEST(registry, old_messages_do_not_revive) {
  registry all = make_registry("e1");
  registry_announce(all, make_upstream("u", 1, 5, wire::UPSTREAM_LEAVING),
                    1000);
  EXPECT_EQ(registry_announce(
                all, make_upstream("u", 1, 4, wire::UPSTREAM_READY), 1100),
            announce_result::outdated);
  // Leaving is final within an incarnation.
  registry_announce(all, make_upstream("u", 1, 6, wire::UPSTREAM_READY), 1200);
  EXPECT_FALSE(usable(all, "u", 1200));
  registry_announce(all, make_upstream("u", 2, 1, wire::UPSTREAM_READY), 1300);
  EXPECT_TRUE(usable(all, "u", 1300));
  wire::upstream_delta old;
  *old.add_upstreams() = make_upstream("u", 1, 9, wire::UPSTREAM_LEAVING);
  registry_receive_delta(all, "e2", old, 1400);
  EXPECT_TRUE(usable(all, "u", 1400));
}

// Once there are no more faults, digest messages make all copies agree with the
// holders.
RC_GTEST_PROP(registry, copies_converge, ()) {
  std::vector<registry> hosts = {make_registry("e0"), make_registry("e1"),
                                 make_registry("e2")};
  auto steps = *rc::gen::container<std::vector<uint32_t>>(
      120, rc::gen::inRange<uint32_t>(0, 1U << 30));
  unix_ms now = 1000;
  uint64_t sequence = 0;
  for (uint32_t step : steps) {
    now += step % 300;
    registry& host = hosts[step / 300 % 3];
    registry& peer = hosts[(step / 300 + 1 + step / 900 % 2) % 3];
    switch (step / 1800 % 4) {
      case 0:
      case 1: {
        bool leaves = step / 7200 % 5 == 0;
        registry_announce(host,
                          make_upstream("u" + std::to_string(step / 36'000 % 6),
                                        1 + now / 9000, ++sequence,
                                        leaves ? wire::UPSTREAM_LEAVING
                                               : wire::UPSTREAM_READY),
                          now);
        wire::upstream_delta delta = registry_take_outgoing(host);
        if (step / 7200 % 2 == 0)
          registry_receive_delta(peer, host.self, delta, now);
        break;
      }
      case 2:
        exchange_vouch(host, peer, now);
        break;
      default:
        registry_expire(host, now);
        registry_take_outgoing(host);
    }
  }
  // Leases that are not renewed expire; every holder sends its digest messages.
  for (int round = 0; round < 8; ++round) {
    now += 1000;
    for (registry& host : hosts) {
      registry_expire(host, now);
      wire::upstream_delta delta = registry_take_outgoing(host);
      for (registry& peer : hosts)
        registry_receive_delta(peer, host.self, delta, now);
    }
    for (registry& host : hosts) {
      for (registry& peer : hosts) {
        if (&host != &peer)
          exchange_vouch(host, peer, now);
      }
    }
  }
  for (const registry& host : hosts) {
    for (const auto& [id, upstream] : host.upstreams)
      RC_ASSERT(!registry_usable(host, upstream, now));
    for (const auto& [name, holder] : host.holders)
      RC_ASSERT(now < holder.usable_until_ms);
  }
}

}  // namespace
}  // namespace cyclamenwood
