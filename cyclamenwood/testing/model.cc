// The fakes inject faults: the network drops, duplicates and reorders messages;
// a crash loses all unsynced writes except for a random prefix; upstreams fail,
// reject or abandon tasks and repeat or misidentify answers; entry hosts
// restart without any state.
#include "cyclamenwood/testing/model.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "cyclamenwood/registry.h"

namespace cyclamenwood {
namespace {

constexpr const char* TENANT = "zupancic";
constexpr const char* SERVICE = "fit-desk";
constexpr int STATUS_OK = 200;
constexpr int64_t SETTLE_STEP_MS = 50;
constexpr int SETTLE_STEPS = 600;

settings make_settings() {
  settings all;
  all.cluster = "model";
  all.zones = {"a", "b"};
  all.entry_hosts = {
      {"a-1", "a", "", ""}, {"a-2", "a", "", ""}, {"b-1", "b", "", ""}};
  all.replicas = {{"a-r1", "a", "", "", 1},
                  {"a-r2", "a", "", "", 2},
                  {"b-r1", "b", "", "", 3}};
  all.config_group = {"a-r1", "a-r2", "b-r1"};
  all.claims_groups["a"] = {"a-r1", "a-r2", "b-r1"};
  all.claims_groups["b"] = {"b-r1", "a-r1", "a-r2"};
  all.raft.election_timeout_ms = 200;
  all.raft.heartbeat_interval_ms = 50;
  all.raft.resend_timeout_ms = 100;
  all.replica.snapshot_min_entries = 12;
  all.dispatch.claim_timeout_ms = 1500;
  return all;
}

std::string bundle_text(uint64_t version, uint64_t replaces, int remark) {
  return fmt::format(
      R"({{"version":{},"replaces":{},"zones":["a","b"],)"
      R"("services":{{"fit-desk":{{"task_timeout_ms":3000}}}},)"
      R"("classes":{{"interactive":{{}}}},"tenants":{{"zupancic":{{}}}},)"
      R"("clock_skew_s":0,"claim_retention_s":{}}})",
      version, replaces, 80'000 + remark);
}

}  // namespace

model::model(uint64_t seed) : all_(make_settings()), random_(seed) {
  for (const replica_settings& planned : all_.replicas) {
    fake_replica& replica = replicas_.emplace_back();
    replica.name = planned.name;
    replica.zone = planned.zone;
    replica.identity = planned.identity;
    zone_of_[planned.name] = planned.zone;
  }
  for (const entry_host_settings& planned : all_.entry_hosts) {
    fake_entry& entry = entries_.emplace_back();
    entry.name = planned.name;
    entry.zone = planned.zone;
    zone_of_[planned.name] = planned.zone;
  }
  for (fake_replica& replica : replicas_)
    start_replica(replica);
  for (fake_entry& entry : entries_)
    restart_entry(entry);
}

uint32_t model::random_below(uint32_t bound) {
  return std::uniform_int_distribution<uint32_t>(0, bound - 1)(random_);
}

void model::report_violation(const std::string& what) {
  violations_.push_back(what);
}

std::string model::payload_of(const std::string& key,
                              int content,
                              size_t task) const {
  return fmt::format("{}/{}/{}", key, content, task);
}

bool model::reachable(const std::string& from, const std::string& to) const {
  const std::string& a = zone_of_.at(from);
  const std::string& b = zone_of_.at(to);
  return a == b ||
         (!partitioned_zones_.contains(a) && !partitioned_zones_.contains(b));
}

// ---- Replicas ---------------------------------------------------------------

void model::start_replica(fake_replica& replica) {
  replica.state =
      make_replica(all_, replica.name, replica.identity, random_(), now_);
  replica.checked_index.clear();
  for (const wire::wal_write& write : replica.disk)
    replay_write(*replica.state, write);
  run_replica(replica, replica_started{now_});
  sync_replica(replica);
}

void model::run_replica(fake_replica& replica, const replica_event& event) {
  if (!replica.state)
    return;
  replica_effects effects = reduce(*replica.state, event);
  for (replica_effect& effect : effects) {
    if (auto* persist = std::get_if<replica_persist>(&effect)) {
      replica.unsynced.push_back(std::move(persist->write));
    } else if (auto* sent = std::get_if<replica_send>(&effect)) {
      in_flight_message message{replica.name, sent->host,
                                std::move(sent->envelope)};
      if (message.envelope.has_claim_reply())
        check_grant(message.envelope.claim_reply(), message);
      network_.push_back(std::move(message));
    }
  }
  check_committed(replica);
}

void model::sync_replica(fake_replica& replica) {
  while (replica.state && !replica.unsynced.empty()) {
    for (wire::wal_write& write : replica.unsynced)
      replica.disk.push_back(std::move(write));
    replica.unsynced.clear();
    run_replica(replica, replica_synced{now_, 100});
  }
}

void model::crash_replica(fake_replica& replica) {
  size_t survived =
      random_below(static_cast<uint32_t>(replica.unsynced.size()) + 1);
  for (size_t i = 0; i < survived; ++i)
    replica.disk.push_back(std::move(replica.unsynced[i]));
  replica.unsynced.clear();
  replica.suspended = false;
  start_replica(replica);
  ++event_counts["replica_crash"];
}

// Returns whether a disk may be lost. That is allowed only while no other disk
// is lost: each group must have three voters, each of them a replica whose disk
// is intact, and its membership must be committed.
bool model::may_wipe() const {
  std::set<uint64_t> alive;
  for (const fake_replica& replica : replicas_)
    alive.insert(replica.identity);
  for (const fake_replica& replica : replicas_) {
    for (const auto& [name, group] : replica.state->groups) {
      if (group.raft.members.voters_size() != 3 ||
          group.raft.members_index > group.raft.commit_index)
        return false;
      for (const wire::member& voter : group.raft.members.voters()) {
        if (!alive.contains(voter.identity()))
          return false;
      }
    }
  }
  return true;
}

void model::wipe_replica(fake_replica& replica) {
  if (!may_wipe())
    return;
  replica.disk.clear();
  replica.unsynced.clear();
  replica.identity = next_identity_++;
  replica.suspended = false;
  start_replica(replica);
  ++event_counts["disk_lost"];
}

void model::check_committed(fake_replica& replica) {
  for (const auto& [name, group] : replica.state->groups) {
    uint64_t& checked = replica.checked_index[name];
    for (const wire::log_entry& entry : group.raft.log) {
      if (entry.index() <= checked || entry.index() > group.raft.commit_index)
        continue;
      std::string bytes = entry.SerializeAsString();
      auto [known, added] = committed_[name].emplace(entry.index(), bytes);
      if (!added && known->second != bytes)
        report_violation(fmt::format(
            "{} index {} was committed with two values", name, entry.index()));
    }
    checked = std::max(checked, group.raft.commit_index);
  }
}

void model::check_grant(const wire::claim_reply& reply,
                        const in_flight_message& sent) {
  if (reply.result() != wire::CLAIM_GRANTED)
    return;
  for (fake_entry& entry : entries_) {
    if (entry.name != sent.to || !entry.state)
      continue;
    auto pending = entry.state->claims.find(reply.request_id());
    if (pending == entry.state->claims.end())
      continue;
    const wire::claim& claim = pending->second.request.claim();
    if (reply.owner_incarnation() != entry.incarnation)
      continue;
    std::string owner =
        fmt::format("{}/{}", reply.owner_host(), reply.owner_incarnation());
    auto [known, added] = granted_.emplace(claim.key(), owner);
    if (!added && known->second != owner)
      report_violation(fmt::format("claim on {} was granted to {} and to {}",
                                   claim.key(), known->second, owner));
    ++event_counts["claim_granted"];
  }
}

// ---- Entry hosts ------------------------------------------------------------

void model::restart_entry(fake_entry& entry) {
  entry.incarnation = next_incarnation_++;
  entry.suspended = false;
  entry.state =
      make_entry(all_, entry.name, entry.incarnation, random_(), now_);
  ++event_counts["entry_restart"];
}

void model::run_entry(fake_entry& entry, const entry_event& event) {
  entry_effects effects = reduce(*entry.state, event);
  for (entry_effect& effect : effects) {
    if (auto* sent = std::get_if<entry_send>(&effect))
      network_.push_back({entry.name, sent->host, std::move(sent->envelope)});
    else if (auto* start = std::get_if<entry_start_task>(&effect))
      on_start(entry, *start);
    else if (auto* answer = std::get_if<entry_answer>(&effect))
      on_answer(entry, *answer);
  }
  uint64_t version = version_in_force(*entry.state);
  if (version == 0)
    return;
  if (version < entry.highest_version)
    report_violation(fmt::format("{}: version in force decreased from {} to {}",
                                 entry.name, entry.highest_version, version));
  entry.highest_version = std::max(entry.highest_version, version);
}

void model::on_start(fake_entry& entry, const entry_start_task& start) {
  running_.push_back({entry.name, entry.incarnation, start});
  ++event_counts["task_start"];
  if (start.id.key.empty())
    return;
  int content = start.payload[start.id.key.size() + 1] - '0';
  int& count = starts_[{start.id.key, content, start.task_index}];
  if (++count > 1)
    report_violation(fmt::format("task {} of {} was started twice",
                                 start.task_index, start.id.key));
  // A `not_run` answer covers its own submission and all earlier copies. After
  // it, only a submission made later than the refused one may start a task.
  uint64_t last_denied = 0;
  uint64_t last_other = 0;
  for (const auto& [caller, submission] : submissions_) {
    if (submission.key != start.id.key || submission.content != content)
      continue;
    uint64_t& last = submission.answered_not_run ? last_denied : last_other;
    last = std::max(last, submission.submitted_at);
  }
  if (last_denied > last_other)
    report_violation(
        fmt::format("{}: task started after a not_run answer", start.id.key));
}

void model::on_answer(fake_entry& /*entry*/, const entry_answer& answer) {
  auto roll_out = roll_outs_.find(answer.caller);
  if (roll_out != roll_outs_.end()) {
    if (answer.answer.status == STATUS_OK) {
      const fake_roll_out& requested = roll_out->second;
      auto [known, added] =
          accepted_.emplace(requested.version, requested.content);
      if (!added && known->second != requested.content)
        report_violation(fmt::format(
            "version {} was accepted with two contents", requested.version));
      newest_accepted_ = std::max(newest_accepted_, requested.version);
      ++event_counts["roll_out_accepted"];
    }
    roll_outs_.erase(roll_out);
    return;
  }
  auto submission = submissions_.find(answer.caller);
  if (submission != submissions_.end())
    check_submission_answer(submission->second, answer.answer);
}

void model::check_submission_answer(fake_submission& submission,
                                    const api_answer& answer) {
  if (submission.answered)
    report_violation("a caller was answered twice");
  submission.answered = true;
  submission.answered_at = ++event_order_;
  nlohmann::json body = nlohmann::json::parse(answer.body);
  int started = 0;
  for (size_t task = 0; task < submission.tasks; ++task) {
    auto found = starts_.find({submission.key, submission.content, task});
    started += found == starts_.end() ? 0 : found->second;
  }
  std::string state = body.value("state", "");
  if (body["execution"] == "not_run") {
    submission.answered_not_run = true;
    ++event_counts["not_run"];
    if (started != 0)
      report_violation(
          fmt::format("not_run answered for {}, but {} tasks had started: {}",
                      submission.key, started, answer.body));
  }
  if (state != "complete") {
    ++event_counts["answer_" + body["error"].value("type", "none")];
    return;
  }
  ++event_counts["complete"];
  if (body["results"].size() != submission.tasks)
    report_violation("a complete answer has a wrong number of results");
  for (size_t task = 0; task < submission.tasks; ++task) {
    std::string wanted =
        "r:" + payload_of(submission.key, submission.content, task);
    if (body["results"][task] != wanted)
      report_violation(fmt::format("{} received a result of another task: {}",
                                   submission.key, answer.body));
  }
}

// ---- Actions ----------------------------------------------------------------

void model::tick_all() {
  for (fake_replica& replica : replicas_) {
    if (replica.suspended)
      continue;
    run_replica(replica, replica_tick{now_});
    sync_replica(replica);
  }
  for (fake_entry& entry : entries_) {
    if (!entry.suspended)
      run_entry(entry, entry_tick{now_});
  }
}

void model::deliver(size_t index) {
  in_flight_message message = std::move(network_[index]);
  network_[index] = std::move(network_.back());
  network_.pop_back();
  if (!reachable(message.from, message.to))
    return;
  for (fake_replica& replica : replicas_) {
    if (replica.name != message.to)
      continue;
    if (replica.suspended) {
      network_.push_back(std::move(message));
      return;
    }
    run_replica(replica, replica_received{now_, message.envelope});
    if (random_below(4) != 0)
      sync_replica(replica);
  }
  for (fake_entry& entry : entries_) {
    if (entry.name != message.to)
      continue;
    if (entry.suspended) {
      network_.push_back(std::move(message));
      return;
    }
    run_entry(entry, entry_received{now_, message.envelope});
  }
}

void model::deliver_some(uint32_t amount, uint32_t drop, uint32_t duplicate) {
  for (uint32_t i = 0; i < amount && !network_.empty(); ++i) {
    size_t index = random_below(static_cast<uint32_t>(network_.size()));
    uint32_t draw = random_below(100);
    if (draw < drop) {
      network_[index] = std::move(network_.back());
      network_.pop_back();
      continue;
    }
    if (draw < drop + duplicate)
      network_.push_back(network_[index]);
    deliver(index);
  }
}

void model::submit_job(uint32_t choice) {
  fake_entry& entry = pick(entries_, choice);
  if (entry.suspended)
    return;
  uint64_t caller = next_caller_++;
  fake_submission& submission = submissions_[caller];
  submission.entry = entry.name;
  submission.incarnation = entry.incarnation;
  uint32_t key = choice / 3 % 8;
  submission.key = fmt::format("{}:k{}", key % 2 == 0 ? "a" : "b", key);
  submission.content = choice / 24 % 10 == 0 ? 1 : 0;
  submission.tasks = 1 + key % 3;
  submission.submitted_at = ++event_order_;
  entry_submit event;
  event.now = now_;
  event.caller = caller;
  event.request.id = {TENANT, submission.key};
  event.request.class_name = "interactive";
  uint32_t deadline_step = choice / 240 % 4;
  event.request.deadline_ms = now_ + 100 + int64_t{800} * deadline_step;
  for (size_t task = 0; task < submission.tasks; ++task)
    event.request.tasks.push_back(
        {SERVICE, payload_of(submission.key, submission.content, task), 0});
  nlohmann::json body;
  body["tenant"] = TENANT;
  body["key"] = submission.key;
  body["class"] = "interactive";
  body["deadline_ms"] = event.request.deadline_ms;
  for (const task_spec& task : event.request.tasks)
    body["tasks"].push_back({{"service", SERVICE}, {"payload", task.payload}});
  event.request.body = body.dump();
  run_entry(entry, event);
}

void model::cancel_job(uint32_t choice) {
  fake_entry& entry = pick(entries_, choice);
  if (entry.suspended)
    return;
  uint32_t key = choice / 3 % 8;
  entry_job_command event;
  event.now = now_;
  event.caller = next_caller_++;
  event.verb = choice / 24 % 2 == 0 ? job_verb::cancel : job_verb::show;
  event.id = {TENANT, fmt::format("{}:k{}", key % 2 == 0 ? "a" : "b", key)};
  run_entry(entry, event);
}

void model::roll_out(uint32_t choice) {
  fake_entry& entry = pick(entries_, choice);
  if (entry.suspended)
    return;
  // Concurrent operators replace the version that they observe.
  uint64_t replaces = version_in_force(*entry.state);
  int remark = static_cast<int>(choice / 3 % 3);
  uint64_t caller = next_caller_++;
  std::string content = bundle_text(replaces + 1, replaces, remark);
  roll_outs_[caller] = {replaces + 1, content};
  run_entry(entry, entry_roll_out{now_, caller, content});
}

void model::announce(uint32_t choice, bool leaving) {
  fake_entry& entry = pick(entries_, choice);
  if (entry.suspended)
    return;
  entry_announce event;
  event.now = now_;
  event.caller = next_caller_++;
  event.upstream.set_id("u" + std::to_string(choice / 3 % 3));
  event.upstream.set_incarnation(1 + now_ / 20'000);
  event.upstream.set_sequence(++upstream_sequence_);
  event.upstream.set_service(SERVICE);
  event.upstream.set_address("127.0.0.1:1");
  event.upstream.set_zone(entry.zone);
  event.upstream.set_slots(2);
  event.upstream.set_state(leaving ? wire::UPSTREAM_LEAVING
                                   : wire::UPSTREAM_READY);
  run_entry(entry, event);
}

void model::end_task(uint32_t choice) {
  if (running_.empty())
    return;
  size_t index = choice % running_.size();
  fake_task ended = running_[index];
  uint32_t draw = choice / 64 % 16;
  // The task stays in the list and is answered once more later.
  bool stays = draw == 0;
  if (!stays)
    running_.erase(running_.begin() + static_cast<int64_t>(index));
  entry_task_ended event;
  event.now = now_;
  event.attempt_id = ended.start.attempt_id;
  event.echoed_identity = ended.start.identity;
  event.outcome = task_outcome::completed;
  event.body = "r:" + ended.start.payload;
  if (draw == 1) {
    event.outcome = task_outcome::incomplete;
  } else if (draw == 2) {
    event.outcome = task_outcome::failed;
  } else if (draw == 3) {
    event.echoed_identity = "someone/1/2/3/4";
    event.body = "r:other";
  } else if (draw == 4 || draw == 5) {
    event.outcome =
        draw == 4 ? task_outcome::not_connected : task_outcome::not_started;
    if (!ended.start.id.key.empty()) {
      int content = ended.start.payload[ended.start.id.key.size() + 1] - '0';
      --starts_[{ended.start.id.key, content, ended.start.task_index}];
    }
  }
  for (fake_entry& entry : entries_) {
    bool same = entry.name == ended.entry &&
                entry.incarnation == ended.incarnation && !entry.suspended;
    if (same)
      run_entry(entry, event);
  }
}

void model::perform_action(uint32_t action) {
  uint32_t kind = action % 64;
  uint32_t choice = action / 64;
  if (kind < 22) {
    deliver_some(1 + choice % 24, choice / 24 % 4 == 0 ? 20 : 0,
                 choice / 96 % 4 == 0 ? 20 : 0);
  } else if (kind < 34) {
    now_ += 5 + choice % 60;
    tick_all();
  } else if (kind < 36) {
    now_ += 100 + choice % 900;
    tick_all();
  } else if (kind < 44) {
    submit_job(choice);
  } else if (kind < 50) {
    end_task(choice);
  } else if (kind < 53) {
    announce(choice, choice / 9 % 12 == 0);
  } else if (kind == 53) {
    crash_replica(pick(replicas_, choice));
  } else if (kind == 54) {
    restart_entry(pick(entries_, choice));
  } else if (kind == 55) {
    wipe_replica(pick(replicas_, choice));
  } else if (kind == 56) {
    fake_replica& replica = pick(replicas_, choice);
    replica.suspended = !replica.suspended;
  } else if (kind == 57) {
    fake_entry& entry = pick(entries_, choice);
    entry.suspended = !entry.suspended;
  } else if (kind == 58) {
    partitioned_zones_.insert(choice % 2 == 0 ? "a" : "b");
  } else if (kind == 59) {
    partitioned_zones_.clear();
  } else if (kind < 62) {
    roll_out(choice);
  } else if (kind == 62) {
    cancel_job(choice);
  } else {
    sync_replica(pick(replicas_, choice));
  }
}

void model::heal_and_check() {
  partitioned_zones_.clear();
  for (fake_replica& replica : replicas_)
    replica.suspended = false;
  for (fake_entry& entry : entries_)
    entry.suspended = false;
  for (int step = 0; step < SETTLE_STEPS; ++step) {
    now_ += SETTLE_STEP_MS;
    tick_all();
    size_t waiting = network_.size() * 2;
    deliver_some(static_cast<uint32_t>(waiting) + 64, 0, 0);
    while (!running_.empty() && step % 2 == 0)
      end_task(64 * 15);
  }
  for (const auto& [caller, submission] : submissions_) {
    bool alive = false;
    for (const fake_entry& entry : entries_)
      alive = alive || (entry.name == submission.entry &&
                        entry.incarnation == submission.incarnation);
    if (alive && !submission.answered)
      report_violation(fmt::format("{} at {} was never answered",
                                   submission.key, submission.entry));
  }
  for (const fake_entry& entry : entries_) {
    if (version_in_force(*entry.state) < newest_accepted_)
      report_violation(
          fmt::format("{} has version {} in force, {} was accepted", entry.name,
                      version_in_force(*entry.state), newest_accepted_));
  }
}

}  // namespace cyclamenwood
