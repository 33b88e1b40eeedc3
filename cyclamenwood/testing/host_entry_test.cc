// Tests of how an entry host handles configurations, grants and upstreams that
// replicas and other entry hosts report.
#include "cyclamenwood/host_entry.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "cyclamenwood/pool_name.h"

namespace cyclamenwood {
namespace {

// A process never returns to an older configuration.
TEST(host_entry, an_older_configuration_changes_nothing) {
  host_settings settings;
  settings.rpc = "e1";
  settings.zone = "kranj";
  host_entry state = make_host_entry(settings, 1, [](std::string_view content) {
    route_table table;
    table.version = std::stoull(std::string(content));
    return result<route_table>(table);
  });
  EXPECT_FALSE(is_ready(state));
  for (uint64_t version : {4, 9, 7}) {
    wire::envelope envelope;
    envelope.set_from("r1");
    wire::roll_out& latest = *envelope.mutable_control_news()->mutable_latest();
    latest.set_version(version);
    latest.set_content(std::to_string(version));
    reduce(state, host_received{1000, envelope});
  }
  EXPECT_TRUE(is_ready(state));
  EXPECT_EQ(state.callers.routes->version, 9U);
  reduce(state, host_drain{2000, 4000});
  EXPECT_FALSE(is_ready(state));
}

// A fencing token that an upstream rejected is not used again, even if a
// replica still reports it as granted.
TEST(host_entry, a_lost_token_is_not_reused) {
  host_settings settings;
  settings.rpc = "e1";
  settings.zone = "kranj";
  host_entry state = make_host_entry(settings, 1, [](std::string_view) {
    return result<route_table>(route_table());
  });
  wire::envelope envelope;
  envelope.set_from("r1");
  wire::owner_grant& grant = *envelope.mutable_control_news()->add_grants();
  grant.set_zone("kranj");
  grant.set_host("e1");
  grant.set_incarnation(1);
  grant.set_token(5);
  reduce(state, host_received{1000, envelope});
  EXPECT_EQ(state.pools.at("kranj").token, 5U);
  release_ownership(state.pools.at("kranj"));
  reduce(state, host_received{1100, envelope});
  EXPECT_EQ(state.pools.at("kranj").token, 0U);
}

TEST(host_entry, an_older_report_does_not_restore_a_lost_capacity) {
  host_settings settings;
  settings.rpc = "e1";
  settings.zone = "kranj";
  host_entry state = make_host_entry(settings, 1, [](std::string_view) {
    return result<route_table>(route_table());
  });
  auto report = [&](const std::string& replica, uint64_t sequence,
                    uint32_t cpu_milli, wire::upstream_state upstream_state) {
    wire::envelope envelope;
    envelope.set_from(replica);
    wire::upstream& upstream =
        *envelope.mutable_control_news()->add_upstreams();
    upstream.set_id("u1");
    upstream.set_incarnation(3);
    upstream.set_sequence(sequence);
    upstream.set_zone("kranj");
    upstream.set_state(upstream_state);
    upstream.mutable_capacity()->set_cpu_milli(cpu_milli);
    reduce(state, host_received{1000, envelope});
  };
  const wire::upstream& known = state.upstreams["u1"];
  report("r1", 7, 4000, wire::UPSTREAM_READY);
  report("r2", 9, 1000, wire::UPSTREAM_READY);
  report("r1", 8, 4000, wire::UPSTREAM_READY);
  EXPECT_EQ(known.capacity().cpu_milli(), 1000U);
  report("r1", 8, 4000, wire::UPSTREAM_LEAVING);
  EXPECT_EQ(known.capacity().cpu_milli(), 1000U);
  EXPECT_EQ(known.state(), wire::UPSTREAM_LEAVING);
  report("r2", 10, 2000, wire::UPSTREAM_READY);
  EXPECT_EQ(known.capacity().cpu_milli(), 2000U);
  EXPECT_EQ(known.state(), wire::UPSTREAM_LEAVING);
}

// The owner has forgotten an upstream that has left. A replica that did not
// hear of the leave, as it was restarted or partitioned, still reports the
// upstream as ready.
TEST(host_entry, an_upstream_that_has_left_is_not_used_again) {
  host_settings settings;
  settings.rpc = "e1";
  settings.zone = "kranj";
  host_entry state = make_host_entry(settings, 1, [](std::string_view) {
    return result<route_table>(route_table());
  });
  unix_ms now = 1000;
  auto report = [&](const std::string& replica, wire::upstream_state known) {
    wire::envelope envelope;
    envelope.set_from(replica);
    wire::control_news& news = *envelope.mutable_control_news();
    wire::owner_grant& grant = *news.add_grants();
    grant.set_zone("kranj");
    grant.set_host("e1");
    grant.set_incarnation(1);
    grant.set_token(5);
    wire::upstream& upstream = *news.add_upstreams();
    upstream.set_id("u1");
    upstream.set_incarnation(3);
    upstream.set_zone("kranj");
    upstream.set_state(known);
    reduce(state, host_received{now, envelope});
  };
  report("r1", wire::UPSTREAM_READY);
  report("r1", wire::UPSTREAM_LEAVING);
  const pool& owned = state.pools.at("kranj");
  // It does not answer any more.
  for (; owned.upstreams.contains("u1") && now < 30'000; now += 20) {
    auto orders = owned.orders;
    for (const auto& [id, order] : orders)
      reduce(state, host_order_replied{now, id, {}});
    reduce(state, host_tick{now});
  }
  ASSERT_FALSE(owned.upstreams.contains("u1"));
  report("r2", wire::UPSTREAM_READY);
  auto known = owned.upstreams.find("u1");
  EXPECT_TRUE(known == owned.upstreams.end() ||
              known->second.info.state() == wire::UPSTREAM_LEAVING);
}

// Two owners of one upstream would reject each other's orders by fencing.
TEST(host_entry, an_owner_takes_the_upstreams_of_its_shard_only) {
  host_settings settings;
  settings.rpc = "e1";
  settings.zone = "kranj";
  host_entry state = make_host_entry(settings, 1, [](std::string_view) {
    return result<route_table>(route_table());
  });
  wire::envelope envelope;
  envelope.set_from("r1");
  wire::control_news& news = *envelope.mutable_control_news();
  for (uint32_t shard : {0U, 1U}) {
    wire::owner_grant& grant = *news.add_grants();
    grant.set_zone("kranj");
    grant.set_host(shard == 0 ? "e1" : "e2");
    grant.set_incarnation(1);
    grant.set_token(5 + shard);
    grant.set_shard(shard);
    grant.set_shards(2);
  }
  auto add_upstreams = [&news](int from, int to) {
    news.clear_upstreams();
    for (int i = from; i < to; ++i) {
      wire::upstream& upstream = *news.add_upstreams();
      upstream.set_id(fmt::format("u{}", i));
      upstream.set_service("fit-desk");
      upstream.set_zone("kranj");
    }
  };
  // Some upstreams are reported before the grant, others after it.
  add_upstreams(0, 10);
  reduce(state, host_received{1000, envelope});
  add_upstreams(10, 20);
  reduce(state, host_received{1100, envelope});
  const pool& owned = state.pools.at("kranj/0");
  EXPECT_EQ(owned.token, 5U);
  EXPECT_FALSE(state.pools.contains("kranj/1"));
  for (int i = 0; i < 20; ++i) {
    std::string id = fmt::format("u{}", i);
    EXPECT_EQ(owned.upstreams.contains(id), shard_of(id, 2) == 0) << id;
  }
}

// A caller may have left during the suspension and submitted its job elsewhere.
TEST(host_entry, a_host_does_not_vouch_for_callers_that_may_have_left) {
  host_settings settings;
  settings.rpc = "e1";
  settings.zone = "kranj";
  host_entry state = make_host_entry(settings, 1, [](std::string_view) {
    return result<route_table>(route_table());
  });
  wire::envelope grants;
  grants.set_from("r1");
  wire::owner_grant& grant = *grants.mutable_control_news()->add_grants();
  grant.set_zone("kranj");
  grant.set_host("e2");
  grant.set_incarnation(1);
  grant.set_token(5);
  reduce(state, host_received{1000, grants});
  wire::envelope reported;
  reported.set_from("e2");
  reported.mutable_pool_state()->set_pool("kranj");
  reported.mutable_pool_state()->set_token(5);
  reported.mutable_pool_state()->set_clock_ms(1000);
  reduce(state, host_received{1005, reported});
  auto echo_at = [&state](unix_ms now) {
    reduce(state, host_tick{now});
    return make_pool_hello(state.callers, "kranj").echo_ms();
  };
  EXPECT_EQ(echo_at(1020), 1000);
  EXPECT_EQ(echo_at(1040), 1000);
  EXPECT_EQ(echo_at(1500), 0);
  reduce(state, host_received{1501, reported});
  EXPECT_EQ(make_pool_hello(state.callers, "kranj").echo_ms(), 0);
  EXPECT_EQ(echo_at(1520), 1000);
  reduce(state, host_drain{1530, 1600});
  EXPECT_EQ(echo_at(1590), 1000);
  EXPECT_EQ(echo_at(1610), 0);
}

// No replica is reachable and one entry host has restarted: it receives the
// configuration and the grants from another entry host, but never an older
// configuration.
TEST(host_entry, a_restarted_host_gets_configuration_and_grants_from_a_peer) {
  auto read = [](std::string_view content) {
    route_table table;
    table.version = std::stoull(std::string(content));
    return result<route_table>(table);
  };
  host_settings settings;
  settings.zone = "kranj";
  std::map<std::string, host_entry> hosts;
  for (const char* name : {"e1", "e2"}) {
    settings.rpc = name;
    hosts.emplace(name, make_host_entry(settings, 1, read));
  }
  unix_ms now = 1000;
  auto deliver = [&](const std::string& to, const wire::envelope& envelope) {
    std::vector<std::pair<std::string, wire::envelope>> inbox{{to, envelope}};
    while (!inbox.empty()) {
      auto [host, next] = inbox.back();
      inbox.pop_back();
      for (const host_effect& effect :
           reduce(hosts.at(host), host_received{now, next})) {
        const auto* sent = std::get_if<host_send>(&effect);
        if (sent != nullptr && hosts.contains(sent->host))
          inbox.emplace_back(sent->host, sent->envelope);
      }
    }
  };
  wire::envelope news;
  news.set_from("r1");
  news.mutable_control_news()->mutable_latest()->set_version(7);
  news.mutable_control_news()->mutable_latest()->set_content("7");
  wire::owner_grant& grant = *news.mutable_control_news()->add_grants();
  grant.set_zone("vic");
  grant.set_host("e9");
  grant.set_token(3);
  deliver("e1", news);
  wire::envelope list;
  list.set_from("r1");
  for (const char* name : {"e1", "e2"})
    list.mutable_peer_list()->add_entry_hosts(name);
  deliver("e1", list);
  EXPECT_FALSE(is_ready(hosts.at("e2")));
  now += 1500;
  for (const host_effect& effect : reduce(hosts.at("e1"), host_tick{now})) {
    const auto* sent = std::get_if<host_send>(&effect);
    if (sent != nullptr && sent->host == "e2")
      deliver("e2", sent->envelope);
  }
  EXPECT_TRUE(is_ready(hosts.at("e2")));
  EXPECT_EQ(hosts.at("e2").callers.routes->version, 7U);
  EXPECT_EQ(hosts.at("e2").callers.grants.at("vic").host(), "e9");
  // An older configuration is ignored.
  wire::envelope older;
  older.set_from("e1");
  older.mutable_peer_news()->mutable_latest()->set_version(5);
  older.mutable_peer_news()->mutable_latest()->set_content("5");
  deliver("e2", older);
  EXPECT_EQ(hosts.at("e2").callers.routes->version, 7U);
}

}  // namespace
}  // namespace cyclamenwood
