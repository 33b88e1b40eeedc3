// Tests of how entry hosts follow the evacuations of availability zones.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cyclamenwood/host_entry.h"
#include "cyclamenwood/neighbours.h"
#include "cyclamenwood/pool_name.h"
#include "cyclamenwood/testing/fake_upstream.h"

namespace cyclamenwood {
namespace {

constexpr int64_t STEP_MS = 5;
constexpr int64_t RUN_MS = 100;

result<route_table> read_one_route(std::string_view /*content*/) {
  route_table table;
  table.version = 1;
  route queue;
  queue.name = "q";
  queue.host = "h";
  queue.path_prefix = "/q/";
  queue.service = "fit-desk";
  queue.timeout_ms = 3'000;
  queue.max_attempts = 2;
  queue.target_latency_ms = 2'000;
  table.routes = {queue};
  return table;
}

// Two zones with one entry host and two upstreams each. Messages take one step;
// orders are carried out at once.
class evacuation : public testing::Test {
 protected:
  struct sent_order {
    std::string host;
    run_order order;
    unix_ms sent_ms = 0;
  };

  evacuation() {
    for (const char* zone : {"kranj", "vic"}) {
      start_host(zone);
      for (int i = 0; i < 2; ++i)
        upstreams.emplace_back(fmt::format("u-{}-{}", zone, i), zone, 2000, 0,
                               RUN_MS);
    }
    grant("kranj");
    grant("vic");
    run_for(300);
  }

  void start_host(const std::string& zone) {
    host_settings settings;
    settings.name = settings.rpc = zone + "-host";
    settings.zone = zone;
    hosts.insert_or_assign(
        settings.rpc,
        make_host_entry(settings, next_incarnation += 1'000, &read_one_route));
  }

  void grant(const std::string& zone) {
    wire::owner_grant& next = grants[zone];
    next.set_zone(zone);
    next.set_host(zone + "-host");
    next.set_incarnation(hosts.at(zone + "-host").incarnation);
    next.set_token(next_token++);
  }

  void set_evacuated(const std::set<std::string>& zones) {
    list.set_revision(list.revision() + 1);
    *list.mutable_zones() = {zones.begin(), zones.end()};
  }

  wire::envelope make_news(const std::string& zone) {
    wire::envelope envelope;
    envelope.set_from("control");
    wire::control_news& news = *envelope.mutable_control_news();
    news.mutable_latest()->set_version(1);
    for (const auto& [name, grant] : grants)
      *news.add_grants() = grant;
    for (const fake_upstream& upstream : upstreams) {
      if (upstream.info().zone() == zone)
        *news.add_upstreams() = upstream.info();
    }
    *news.mutable_evacuations() = list;
    return envelope;
  }

  void carry_out(const std::string& host, const host_effects& effects) {
    for (const host_effect& effect : effects) {
      if (const auto* sent = std::get_if<host_send>(&effect))
        inbox.emplace_back(sent->host, sent->envelope);
      else if (const auto* order = std::get_if<run_order>(&effect))
        orders.push_back({host, *order, now});
      else if (const auto* answer = std::get_if<caller_answer>(&effect))
        answers[answer->exchange] = *answer;
      else if (const auto* note = std::get_if<log_event>(&effect))
        notes.push_back(*note);
    }
  }

  void send(const std::string& host, const host_event& event) {
    carry_out(host, reduce(hosts.at(host), event));
  }

  void answer(const sent_order& waiting) {
    for (fake_upstream& upstream : upstreams) {
      if (upstream.info().id() != waiting.order.upstream)
        continue;
      upstream.advance(now);
      order_reply reply = upstream.carry_out(waiting.order, now);
      bool waits = waiting.order.kind == order_kind::renewal &&
                   reply.ended.empty() &&
                   now < waiting.sent_ms + waiting.order.wait_ms;
      if (waits)
        orders.push_back(waiting);
      else
        send(waiting.host, host_order_replied{now, waiting.order.id, reply});
    }
  }

  void check_runs() {
    std::map<std::string, int> running;
    for (fake_upstream& upstream : upstreams) {
      upstream.advance(now);
      for (const auto& [task, run] : upstream.runs())
        EXPECT_EQ(++running[task], 1) << task;
    }
  }

  void run_for(int64_t ms) {
    for (unix_ms end = now + ms; now < end;) {
      now += STEP_MS;
      for (auto& [to, envelope] : std::exchange(inbox, {})) {
        if (hosts.contains(to))
          send(to, host_received{now, envelope});
      }
      for (const sent_order& order : std::exchange(orders, {}))
        answer(order);
      for (auto& [name, host] : hosts) {
        if (now % 100 == 0 && !cut_off.contains(name))
          send(name, host_received{now, make_news(host.settings.zone)});
        if (now % 20 == 0)
          send(name, host_tick{now});
      }
      check_runs();
    }
  }

  void submit(uint64_t exchange, const std::string& host, uint32_t tasks) {
    host_call event;
    event.now = now;
    event.call.exchange = exchange;
    event.call.host = "h";
    event.call.path = fmt::format("/q/job{}", exchange);
    event.call.wait_ms = 2'500;
    job_spec job;
    job.spec = "s";
    job.best_effort = true;
    step_spec step;
    step.count = tasks;
    step.need.set_cpu_milli(1000);
    step.estimate_ms = RUN_MS;
    job.steps = {step};
    event.call.job = job;
    send(host, event);
  }

  uint64_t starts(const std::string& zone) const {
    uint64_t sum = 0;
    for (const fake_upstream& upstream : upstreams)
      sum += upstream.info().zone() == zone ? upstream.starts() : 0;
    return sum;
  }

  std::optional<caller_outcome> outcome(uint64_t exchange) const {
    auto found = answers.find(exchange);
    return found == answers.end() ? std::nullopt
                                  : std::optional(found->second.outcome);
  }

  bool has_note(const std::string& event, const std::string& part) const {
    return std::any_of(notes.begin(), notes.end(), [&](const auto& note) {
      return note.event == event &&
             note.details.find(part) != std::string::npos;
    });
  }

  unix_ms now = 1'000'000;
  uint64_t next_incarnation = 1'000;
  uint64_t next_token = 1;
  std::map<std::string, host_entry> hosts;
  std::deque<fake_upstream> upstreams;
  std::map<std::string, wire::owner_grant> grants;
  wire::evacuation_list list;
  std::vector<std::pair<std::string, wire::envelope>> inbox;
  std::vector<sent_order> orders;
  std::map<uint64_t, caller_answer> answers;
  std::vector<log_event> notes;
  // Hosts that receive no news of the control log.
  std::set<std::string> cut_off;
};

// Jobs of the evacuated zone's callers started there, or were not served.
TEST_F(evacuation, jobs_of_an_evacuated_zone_run_in_the_others) {
  set_evacuated({"kranj"});
  run_for(200);
  submit(1, "kranj-host", 4);
  run_for(400);
  EXPECT_EQ(outcome(1), caller_outcome::completed);
  EXPECT_EQ(starts("kranj"), 0U);
  EXPECT_EQ(starts("vic"), 4U);
  EXPECT_TRUE(has_note("evacuation_in_force", "zones=kranj revision=1"));
}

// A run was stopped by the evacuation, or its answer was not delivered.
TEST_F(evacuation, runs_in_progress_end_and_are_answered) {
  submit(1, "kranj-host", 4);
  run_for(20);
  EXPECT_EQ(starts("kranj"), 4U);
  set_evacuated({"kranj"});
  run_for(400);
  EXPECT_EQ(outcome(1), caller_outcome::completed);
  EXPECT_EQ(starts("vic"), 0U);
}

// The entry host of another zone had not heard of the evacuation: its tasks
// were refused instead of being run in another zone, or ran twice.
TEST_F(evacuation, tasks_of_a_host_without_the_list_return_to_it) {
  cut_off = {"vic-host"};
  set_evacuated({"kranj"});
  run_for(100);
  // Wider than the own zone; its view of the other pool may be old.
  submit(1, "vic-host", 6);
  run_for(600);
  EXPECT_EQ(outcome(1), caller_outcome::completed);
  EXPECT_EQ(starts("kranj"), 0U);
  EXPECT_EQ(starts("vic"), 6U);
}

// The request was on its way when the list arrived at the owner.
TEST_F(evacuation, a_returned_task_runs_in_another_zone_once) {
  cut_off = {"vic-host"};
  submit(1, "vic-host", 6);
  set_evacuated({"kranj"});
  send("kranj-host", host_received{now, make_news("kranj")});
  run_for(1'000);
  EXPECT_EQ(outcome(1), caller_outcome::completed);
  EXPECT_EQ(starts("kranj"), 0U);
  EXPECT_EQ(starts("vic"), 6U);
  EXPECT_TRUE(has_note("tasks_moved_by_evacuation", "returned=2 ended=0"));
}

// Callers waited for their deadline though nothing could serve the job.
TEST_F(evacuation, a_job_that_no_zone_can_serve_is_refused_at_once) {
  set_evacuated({"kranj", "vic"});
  run_for(100);
  submit(1, "kranj-host", 1);
  EXPECT_EQ(outcome(1), caller_outcome::refused);
  EXPECT_TRUE(has_note("job_ended", "reason=zone_evacuated"));
  run_for(2'000);
  submit(2, "vic-host", 1);
  EXPECT_EQ(outcome(2), caller_outcome::refused);
  EXPECT_EQ(starts("kranj") + starts("vic"), 0U);
  set_evacuated({"kranj"});
  run_for(RESTORE_MS + 300);
  submit(3, "kranj-host", 1);
  run_for(300);
  EXPECT_EQ(outcome(3), caller_outcome::completed);
  EXPECT_EQ(starts("kranj"), 0U);
}

// A queued job was held until its deadline, or a run was stopped.
TEST_F(evacuation, a_waiting_job_is_refused_when_the_last_zone_is_evacuated) {
  set_evacuated({"vic"});
  run_for(100);
  for (int i = 0; i < 2; ++i)
    upstreams[i].set_run_ms(1'000);
  submit(1, "vic-host", 4);
  run_for(50);
  submit(2, "vic-host", 1);
  run_for(50);
  set_evacuated({"kranj", "vic"});
  run_for(400);
  EXPECT_EQ(outcome(2), caller_outcome::refused);
  run_for(1'000);
  EXPECT_EQ(outcome(1), caller_outcome::completed);
  EXPECT_EQ(starts("kranj"), 4U);
}

// A job was refused before the pools of the other zone had reported anything.
TEST_F(evacuation, a_restarted_host_waits_for_the_first_reports) {
  set_evacuated({"kranj"});
  run_for(300);
  start_host("kranj");
  send("kranj-host", host_received{now, make_news("kranj")});
  submit(1, "kranj-host", 2);
  run_for(500);
  EXPECT_EQ(outcome(1), caller_outcome::completed);
  EXPECT_EQ(starts("kranj"), 0U);
}

// The list and the grant are in one message; the grant was applied first.
TEST_F(evacuation, a_restarted_owner_starts_nothing) {
  set_evacuated({"kranj"});
  start_host("kranj");
  grant("kranj");
  run_for(300);
  EXPECT_TRUE(hosts.at("kranj-host").pools.at("kranj").evacuated);
  submit(1, "kranj-host", 2);
  submit(2, "vic-host", 6);
  run_for(600);
  EXPECT_EQ(starts("kranj"), 0U);
  EXPECT_EQ(outcome(1), caller_outcome::completed);
  EXPECT_EQ(outcome(2), caller_outcome::completed);
}

// A partitioned owner started tasks after the partition had healed.
TEST_F(evacuation, a_partitioned_owner_follows_when_it_is_in_contact_again) {
  cut_off = {"kranj-host"};
  set_evacuated({"kranj"});
  run_for(2'000);
  cut_off.clear();
  run_for(100);
  uint64_t before = starts("kranj");
  submit(1, "kranj-host", 2);
  run_for(400);
  EXPECT_EQ(starts("kranj"), before);
  EXPECT_EQ(outcome(1), caller_outcome::completed);
}

// No replica reaches the owner, but an entry host that has the list does.
TEST_F(evacuation, the_list_arrives_from_another_entry_host) {
  cut_off = {"kranj-host"};
  wire::envelope peers;
  peers.set_from("control");
  peers.mutable_peer_list()->add_entry_hosts("kranj-host");
  peers.mutable_peer_list()->add_entry_hosts("vic-host");
  send("vic-host", host_received{now, peers});
  set_evacuated({"kranj"});
  run_for(1'300);
  EXPECT_TRUE(hosts.at("kranj-host").pools.at("kranj").evacuated);
}

// The host with the list has the older configuration; each needs the other's.
TEST_F(evacuation, hosts_exchange_what_each_of_them_lacks) {
  host_entry& first = hosts.at("kranj-host");
  host_entry& second = hosts.at("vic-host");
  cut_off = {"kranj-host", "vic-host"};
  first.callers.evacuations.revision = 3;
  first.callers.evacuations.zones = {"kranj"};
  second.latest.set_version(9);
  wire::envelope hello;
  hello.set_from("vic-host");
  hello.mutable_peer_hello()->set_have_version(9);
  send("kranj-host", host_received{now, hello});
  run_for(50);
  EXPECT_EQ(second.callers.evacuations.revision, 3U);
  EXPECT_TRUE(is_evacuated(second.callers.evacuations, "kranj"));
  EXPECT_EQ(first.latest.version(), 9U);
  EXPECT_TRUE(std::none_of(inbox.begin(), inbox.end(), [](const auto& message) {
    return message.second.has_peer_hello() || message.second.has_peer_news();
  }));
}

// A begin repeated after a finish, and a list that arrives after a newer one.
TEST_F(evacuation, an_older_list_changes_nothing) {
  set_evacuated({"kranj"});
  run_for(100);
  wire::envelope begin = make_news("kranj");
  set_evacuated({});
  run_for(100);
  wire::envelope finish = make_news("kranj");
  const pool& owned = hosts.at("kranj-host").pools.at("kranj");
  EXPECT_FALSE(owned.evacuated);
  send("kranj-host", host_received{now, begin});
  EXPECT_FALSE(owned.evacuated);
  set_evacuated({"kranj"});
  run_for(100);
  EXPECT_TRUE(owned.evacuated);
  send("kranj-host", host_received{now, finish});
  EXPECT_TRUE(owned.evacuated);
  EXPECT_EQ(hosts.at("kranj-host").callers.evacuations.revision, 3U);
}

// A new owner during the ramp gave the whole zone's load to cold upstreams.
TEST_F(evacuation, a_new_owner_continues_the_ramp) {
  set_evacuated({"kranj"});
  run_for(200);
  set_evacuated({});
  run_for(200);
  grant("kranj");
  run_for(200);
  const pool& owned = hosts.at("kranj-host").pools.at("kranj");
  EXPECT_NE(owned.restored_ms, 0);
  submit(1, "kranj-host", 1);
  run_for(RESTORE_MS);
  EXPECT_EQ(outcome(1), caller_outcome::completed);
  EXPECT_EQ(starts("kranj"), 0U);
  submit(2, "kranj-host", 4);
  run_for(20);
  EXPECT_EQ(starts("kranj"), 4U);
}

// The ramp delayed an owner that heard of an end that was long past.
TEST_F(evacuation, an_owner_that_hears_of_an_old_end_serves_at_once) {
  set_evacuated({"kranj"});
  run_for(200);
  cut_off = {"kranj-host"};
  set_evacuated({});
  run_for(5'000);
  cut_off.clear();
  grant("kranj");
  // Three hellos with the new owner; the ramp would begin after a second.
  run_for(500);
  submit(1, "kranj-host", 4);
  run_for(20);
  EXPECT_EQ(starts("kranj"), 4U);
}

// A draining host still had jobs when its zone was evacuated.
TEST_F(evacuation, a_draining_owner_starts_nothing) {
  send("kranj-host", host_drain{now, now + 2'000});
  set_evacuated({"kranj"});
  run_for(100);
  submit(1, "kranj-host", 2);
  run_for(400);
  EXPECT_EQ(outcome(1), caller_outcome::completed);
  EXPECT_EQ(starts("kranj"), 0U);
}

std::map<std::string, wire::owner_grant> make_grants(
    const std::vector<std::string>& zones,
    uint32_t shards) {
  std::map<std::string, wire::owner_grant> grants;
  for (const std::string& zone : zones) {
    for (uint32_t shard = 0; shard < shards; ++shard) {
      wire::owner_grant grant;
      grant.set_zone(zone);
      grant.set_host(fmt::format("{}-host-{}", zone, shard));
      grant.set_shard(shard);
      grant.set_shards(shards);
      grants[pool_name(grant)] = grant;
    }
  }
  return grants;
}

// All jobs of a host of an evacuated zone went to the one pool of the other.
TEST(evacuated_neighbours, places_of_the_own_zone_go_to_the_others) {
  for (const std::vector<std::string>& zones :
       {std::vector<std::string>{"a", "b"},
        std::vector<std::string>{"a", "b", "c", "d"}}) {
    auto grants = make_grants(zones, 9);
    std::map<std::string, int> contacted_by;
    for (uint32_t host = 0; host < 9; ++host) {
      std::set<std::string> chosen =
          choose_neighbours(grants, "a", fmt::format("a-host-{}", host), {"a"});
      EXPECT_EQ(chosen.size(), zones.size() - 1 + ZONE_NEIGHBOURS + 1);
      for (const std::string& name : chosen)
        ++contacted_by[name];
    }
    EXPECT_EQ(contacted_by.size(), 9 * (zones.size() - 1));
    for (const auto& [name, hosts] : contacted_by) {
      EXPECT_FALSE(name.starts_with("a/")) << name;
      EXPECT_LE(hosts, 1 + ZONE_NEIGHBOURS + 1) << name;
    }
  }
}

// Hosts planned with pools that start nothing.
TEST(evacuated_neighbours, pools_of_evacuated_zones_are_left_out) {
  auto large = make_grants({"a", "b", "c"}, 9);
  EXPECT_EQ(choose_neighbours(large, "b", "b-host-2", {"a"}).size(),
            1 + ZONE_NEIGHBOURS + 1);
  auto small = make_grants({"a", "b"}, 2);
  EXPECT_EQ(choose_neighbours(small, "a", "a-host-0", {"a"}),
            (std::set<std::string>{"b/0", "b/1"}));
  EXPECT_TRUE(choose_neighbours(small, "a", "a-host-0", {"a", "b"}).empty());
}

}  // namespace
}  // namespace cyclamenwood
