// The I/O around the replica reducer: a replica_runner for the log and the
// messages, and an HTTP server for status, health checks and drain requests.
#include "cyclamenwood/replica_daemon.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <random>

#include "cyclamenwood/http_server.h"
#include "cyclamenwood/loop.h"
#include "cyclamenwood/replica_runner.h"
#include "cyclamenwood/server_drain.h"
#include "cyclamenwood/util/log.h"

namespace cyclamenwood {
namespace {

constexpr int STATUS_OK = 200;
constexpr int STATUS_UNAVAILABLE = 503;
// Longest time from the end of the drain until all connections are closed.
constexpr int64_t CLOSE_TIMEOUT_MS = 500;

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
        runner_(loop_,
                all.replica,
                all.raft.heartbeat_interval_ms,
                peer_addresses(all, name)),
        terminate_(loop_, SIGTERM, [this] { drain(); }),
        interrupt_(loop_, SIGINT, [this] { drain(); }),
        server_drain_(loop_, http_) {
    runner_.set_drained_handler(
        [this] { server_drain_.begin(current_time() + CLOSE_TIMEOUT_MS); });
  }

  result<done> run(const std::string& folder) {
    result<wal_contents> contents = runner_.open(folder);
    if (!ok(contents))
      return failure(contents);
    const replica_settings& self = *find_replica(all_, name_);
    if (result<done> fits = check_folder(value(contents), folder); !ok(fits))
      return fits;
    std::random_device device;
    replica_state state = make_replica(all_, name_, value(contents).identity,
                                       device(), current_time());
    if (!self.http.empty()) {
      if (result<done> listening = http_.listen(self.http); !ok(listening))
        return listening;
    }
    log_line(log_level::info, "started",
             fmt::format("name={} identity={:016x} rpc={}", name_,
                         value(contents).identity, self.rpc));
    if (result<done> started = runner_.start(
            std::move(state), std::move(value(contents).writes), self.rpc);
        !ok(started))
      return started;
    log_line(log_level::info, "serving", "");
    loop_.run();
    log_line(log_level::info, "stopped", "");
    http_.close();
    flush_log();
    return runner_.outcome();
  }

 private:
  result<done> check_folder(const wal_contents& log,
                            const std::string& folder) const {
    if (log.host != name_)
      return error{error_code::settings_invalid,
                   fmt::format("{} was formatted for {}", folder, log.host)};
    if (log.identity != find_replica(all_, name_)->identity)
      log_line(
          log_level::warning, "new_identity",
          fmt::format("identity={:016x} joins as a replacement", log.identity));
    return done{};
  }

  void drain() {
    http_.drain();
    runner_.drain();
  }

  void on_request(const http_request& request) {
    if (request.path == "/healthz") {
      http_.respond(
          request.exchange,
          {runner_.state().draining ? STATUS_UNAVAILABLE : STATUS_OK, "{}"});
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
    const replica_state& state = runner_.state();
    nlohmann::json page;
    page["name"] = name_;
    page["identity"] = fmt::format("{:016x}", state.identity);
    page["draining"] = state.draining;
    page["log_bytes"] = runner_.log_bytes();
    page["last_sync_us"] = state.last_sync_us;
    rpc_counts counts = runner_.counts();
    page["rpc_sent_messages"] = counts.sent_messages;
    page["rpc_sent_bytes"] = counts.sent_bytes;
    for (const auto& [name, group] : state.groups) {
      nlohmann::json& item = page["groups"][name];
      item["role"] = role_name(group.raft.role);
      item["leader"] = raft_leader_host(group.raft);
      item["term"] = group.raft.term;
      item["commit_index"] = group.raft.commit_index;
      item["last_index"] = raft_last_index(group.raft);
      item["voter"] = raft_is_voter(group.raft, state.identity);
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
  http_server http_;
  replica_runner runner_;
  signal_watcher terminate_;
  signal_watcher interrupt_;
  server_drain server_drain_;
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
