// Events that arrive while a sync is under way wait in the loop's inbox; the
// next batch runs through the reducer and one sync covers all its writes.
// A write that fails stops the process: what is on disk is then unknown, and
// a restart reads what really is.
#include "cyclamenwood/replica_daemon.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <random>
#include <thread>

#include "cyclamenwood/http_server.h"
#include "cyclamenwood/loop.h"
#include "cyclamenwood/replica.h"
#include "cyclamenwood/rpc.h"
#include "cyclamenwood/util/log.h"
#include "cyclamenwood/wal.h"

namespace cyclamenwood {
namespace {

constexpr int64_t MIN_TICK_INTERVAL_MS = 5;
constexpr int64_t TICKS_A_HEARTBEAT = 5;
constexpr int STATUS_OK = 200;
constexpr int STATUS_UNAVAILABLE = 503;

int64_t tick_interval(const settings& all) {
  return std::max(MIN_TICK_INTERVAL_MS,
                  all.raft.heartbeat_interval_ms / TICKS_A_HEARTBEAT);
}

std::map<std::string, std::string> peer_addresses(const settings& all,
                                                  const std::string& name) {
  std::map<std::string, std::string> addresses;
  for (const replica_settings& replica : all.replicas) {
    if (replica.name != name)
      addresses[replica.name] = link_address(all, name, replica.name);
  }
  return addresses;
}

std::string_view role_name(raft_role role) {
  switch (role) {
    case raft_role::follower:
      return "follower";
    case raft_role::pre_candidate:
    case raft_role::candidate:
      return "candidate";
    case raft_role::leader:
      return "leader";
  }
  return "follower";
}

class replica_daemon {
 public:
  replica_daemon(const settings& all, const std::string& name)
      : all_(all),
        name_(name),
        http_(
            loop_,
            all.http,
            [this](const http_request& request) { on_request(request); },
            [](uint64_t /*exchange*/) {}),
        rpc_(peer_addresses(all, name),
             [this](wire::envelope envelope) {
               loop_.post([this, envelope = std::move(envelope)] {
                 handle(replica_received{current_time(), envelope});
               });
             }),
        tick_(loop_,
              tick_interval(all),
              [this] {
                handle(replica_tick{current_time()});
                sync_writes();
              }),
        terminate_(loop_, SIGTERM, [this] { drain(); }),
        interrupt_(loop_, SIGINT, [this] { drain(); }) {
    loop_.set_after_batch([this] { sync_writes(); });
  }

  result<done> run(const std::string& folder) {
    if (result<done> loaded = load(folder); !ok(loaded))
      return loaded;
    const replica_settings& self = *find_replica(all_, name_);
    if (result<done> listening = rpc_.listen(self.rpc); !ok(listening))
      return listening;
    if (!self.http.empty()) {
      if (result<done> listening = http_.listen(self.http); !ok(listening))
        return listening;
    }
    log_line(log_level::info, "started",
             fmt::format("name={} identity={:016x} rpc={}", name_,
                         state_.identity, self.rpc));
    handle(replica_started{current_time()});
    sync_writes();
    loop_.run();
    log_line(log_level::info, "stopped", "");
    if (failed_)
      return *failed_;
    return done{};
  }

 private:
  result<done> load(const std::string& folder) {
    result<wal_contents> contents = folder_.open(folder);
    if (!ok(contents))
      return failure(contents);
    const wal_contents& log = value(contents);
    if (log.host != name_)
      return error{error_code::settings_invalid,
                   fmt::format("{} was formatted for {}", folder, log.host)};
    if (log.torn_tail)
      log_line(log_level::warning, "torn_tail_cut",
               fmt::format("bytes={}", log.good_bytes));
    if (log.identity != find_replica(all_, name_)->identity)
      log_line(
          log_level::warning, "new_identity",
          fmt::format("identity={:016x} joins as a replacement", log.identity));
    std::random_device device;
    state_ = make_replica(all_, name_, log.identity, device(), current_time());
    for (const wire::wal_write& write : log.writes)
      replay_write(state_, write);
    return done{};
  }

  void handle(const replica_event& event) {
    if (failed_)
      return;
    replica_effects effects = reduce(state_, event);
    for (const replica_effect& effect : effects)
      std::visit([this](const auto& kind) { execute(kind); }, effect);
  }

  void drain() {
    handle(replica_drain{current_time()});
    sync_writes();
  }

  // Syncs until no write is left: what a sync releases may write again.
  void sync_writes() {
    while (unsynced_ && !failed_) {
      handle(replica_flush{current_time()});
      unsynced_ = false;
      int64_t started_us = monotonic_us();
      if (all_.replica.added_sync_delay_ms > 0)
        std::this_thread::sleep_for(
            std::chrono::milliseconds(all_.replica.added_sync_delay_ms));
      check(folder_.sync());
      handle(replica_synced{current_time(), monotonic_us() - started_us});
    }
    bool grown =
        folder_.size() > static_cast<uint64_t>(all_.replica.max_log_bytes) &&
        folder_.size() > 2 * rewritten_bytes_;
    if (grown && !failed_) {
      check(folder_.rewrite(dump_writes(state_)));
      rewritten_bytes_ = folder_.size();
      log_line(log_level::info, "log_rewritten",
               fmt::format("bytes={}", rewritten_bytes_));
    }
  }

  void check(const result<done>& attempt) {
    if (ok(attempt) || failed_)
      return;
    failed_ = std::get<error>(attempt);
    log_line(log_level::error, "write_failed", to_string(*failed_));
    loop_.stop();
  }

  void execute(const replica_persist& effect) {
    unsynced_ = true;
    check(folder_.append(effect.write));
  }

  void execute(const replica_send& effect) {
    if (!failed_)
      rpc_.send(effect.host, effect.envelope);
  }

  void execute(const replica_note& effect) {
    log_line(log_level::info, effect.name,
             fmt::format("group={} {}", effect.group, effect.detail));
  }

  void execute(const replica_drained& /*effect*/) { loop_.stop(); }

  void on_request(const http_request& request) {
    if (request.path == "/healthz") {
      http_.respond(request.exchange,
                    {state_.draining ? STATUS_UNAVAILABLE : STATUS_OK, "{}"});
    } else if (request.path == "/v1/status") {
      http_.respond(request.exchange, {STATUS_OK, status_page()});
    } else if (request.path == "/v1/drain" && request.method == "POST") {
      http_.respond(request.exchange, {STATUS_OK, R"({"draining":true})"});
      drain();
    } else {
      http_.respond(request.exchange,
                    failure_answer(error{error_code::not_found, request.path},
                                   execution::not_run, 0));
    }
  }

  std::string status_page() const {
    nlohmann::json page;
    page["name"] = name_;
    page["identity"] = fmt::format("{:016x}", state_.identity);
    page["draining"] = state_.draining;
    page["log_bytes"] = folder_.size();
    page["last_sync_us"] = state_.last_sync_us;
    rpc_counts counts = rpc_.counts();
    page["rpc_sent_messages"] = counts.sent_messages;
    page["rpc_sent_bytes"] = counts.sent_bytes;
    for (const auto& [name, group] : state_.groups) {
      nlohmann::json& item = page["groups"][name];
      item["role"] = role_name(group.raft.role);
      item["leader"] = raft_leader_host(group.raft);
      item["term"] = group.raft.term;
      item["commit_index"] = group.raft.commit_index;
      item["last_index"] = raft_last_index(group.raft);
      item["voter"] = raft_is_voter(group.raft, state_.identity);
      item["voters"] = group.raft.members.voters_size();
      if (const auto* claims = std::get_if<claim_table>(&group.machine))
        item["records"] = claims->records.size();
      else
        item["bundle_version"] =
            newest_version(std::get<config_log>(group.machine));
    }
    return page.dump();
  }

  event_loop loop_;
  settings all_;
  std::string name_;
  replica_state state_;
  data_folder folder_;
  http_server http_;
  rpc_node rpc_;
  periodic_timer tick_;
  signal_watcher terminate_;
  signal_watcher interrupt_;
  bool unsynced_ = false;
  uint64_t rewritten_bytes_ = 0;
  std::optional<error> failed_;
};

}  // namespace

result<done> run_replica_daemon(const settings& all,
                                const std::string& name,
                                const std::string& folder) {
  if (find_replica(all, name) == nullptr)
    return error{error_code::settings_invalid,
                 fmt::format("replicas: no replica is named {}", name)};
  auto daemon = std::make_unique<replica_daemon>(all, name);
  return daemon->run(folder);
}

}  // namespace cyclamenwood
