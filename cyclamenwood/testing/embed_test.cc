// The example of cyclamenwood.h as a program: one replica and one entry host in
// one process, with a queue as the network and a vector as the disk.
#include <gtest/gtest.h>

#include <deque>
#include <nlohmann/json.hpp>

#include "cyclamenwood/cyclamenwood.h"

namespace cyclamenwood {
namespace {

constexpr const char* SETTINGS = R"({
  "cluster": "embedded", "zones": ["a"],
  "entry_hosts": [
    {"name": "a-1", "zone": "a", "http": "127.0.0.1:1", "rpc": "127.0.0.1:2"}],
  "replicas": [
    {"name": "a-r1", "zone": "a", "rpc": "127.0.0.1:3",
     "identity": "00000000000000aa"}],
  "groups": {"config": ["a-r1"], "claims": {"a": ["a-r1"]}}
})";

constexpr const char* BUNDLE = R"({
  "version": 1, "replaces": 0, "zones": ["a"],
  "services": {"dentmap": {}}, "classes": {"quick": {}}, "tenants": {"fvt": {}}
})";

// Passes events to the reducers and executes their effects.
class driver {
 public:
  driver()
      : all_(value(parsed_)),
        replica_(make_replica(all_, "a-r1", 0xaa, 1, now_)),
        entry_(make_entry(all_, "a-1", 1, 2, now_)) {
    run(replica_started{now_});
  }

  void run(const replica_event& event) {
    for (const replica_effect& effect : reduce(replica_, event)) {
      if (const auto* write = std::get_if<replica_persist>(&effect))
        disk_.push_back(write->write);
      else if (const auto* sent = std::get_if<replica_send>(&effect))
        network_.push_back({sent->host, sent->envelope});
    }
  }

  void run(const entry_event& event) {
    for (const entry_effect& effect : reduce(entry_, event)) {
      if (const auto* sent = std::get_if<entry_send>(&effect))
        network_.push_back({sent->host, sent->envelope});
      else if (const auto* start = std::get_if<entry_start_task>(&effect))
        started_.push_back(*start);
      else if (const auto* answer = std::get_if<entry_answer>(&effect))
        answers_[answer->caller] = answer->answer;
    }
  }

  // Advances the time tick by tick, syncing writes and delivering messages.
  void advance(int64_t ms) {
    for (int64_t end = now_ + ms; now_ < end; now_ += TICK_INTERVAL_MS) {
      run(replica_tick{now_});
      run(entry_event(entry_tick{now_}));
      run(replica_synced{now_, 0});
      while (!network_.empty()) {
        auto [to, envelope] = network_.front();
        network_.pop_front();
        if (to == "a-r1")
          run(replica_received{now_, envelope});
        else
          run(entry_event(entry_received{now_, envelope}));
        run(replica_synced{now_, 0});
      }
    }
  }

  result<settings> parsed_ = parse_settings(SETTINGS);
  settings all_;
  unix_ms now_ = 1'000'000;
  replica_state replica_;
  entry_state entry_;
  std::vector<wire::wal_write> disk_;
  std::deque<std::pair<std::string, wire::envelope>> network_;
  std::vector<entry_start_task> started_;
  std::map<uint64_t, api_answer> answers_;
};

TEST(embed, the_example_of_the_header_runs) {
  driver site;
  site.advance(4000);
  site.run(entry_event(entry_roll_out{site.now_, 1, BUNDLE}));
  site.advance(1000);
  ASSERT_EQ(site.answers_[1].status, 200) << site.answers_[1].body;

  wire::upstream upstream;
  upstream.set_id("u");
  upstream.set_incarnation(1);
  upstream.set_service("dentmap");
  upstream.set_address("127.0.0.1:9");
  upstream.set_zone("a");
  upstream.set_slots(1);
  upstream.set_state(wire::UPSTREAM_READY);
  site.run(entry_event(entry_announce{site.now_, 2, upstream}));

  submission request;
  request.id = {"fvt", "a:cup-17"};
  request.class_name = "quick";
  request.deadline_ms = site.now_ + 5000;
  request.tasks = {{"dentmap", "dents?", 0}};
  site.run(entry_event(entry_submit{site.now_, 3, request}));
  site.advance(200);
  ASSERT_EQ(site.started_.size(), 1U);
  EXPECT_EQ(site.started_[0].payload, "dents?");
  site.run(entry_event(entry_task_ended{site.now_, site.started_[0].attempt_id,
                                        task_outcome::completed,
                                        site.started_[0].identity, "two"}));
  ASSERT_TRUE(site.answers_.contains(3));
  EXPECT_EQ(nlohmann::json::parse(site.answers_[3].body)["results"][0], "two");
  EXPECT_FALSE(site.disk_.empty());
}

}  // namespace
}  // namespace cyclamenwood
