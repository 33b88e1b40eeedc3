// The replica process of a seeded deployment. It answers operators' requests
// and receives the announcements of upstreams over HTTP.
//
// `Adapter` defines the paths and formats of both.
#ifndef CYCLAMENWOOD_CONTROL_DAEMON_H_
#define CYCLAMENWOOD_CONTROL_DAEMON_H_

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "cyclamenwood/host_settings.h"
#include "cyclamenwood/http_server.h"
#include "cyclamenwood/metrics_page.h"
#include "cyclamenwood/replica_runner.h"
#include "cyclamenwood/route_table.h"
#include "cyclamenwood/server_drain.h"
#include "cyclamenwood/settings_watch.h"
#include "cyclamenwood/types.h"
#include "cyclamenwood/util/log.h"
#include "cyclamenwood/util/text.h"

namespace cyclamenwood {

template <typename Adapter>
class control_daemon {
 public:
  control_daemon(const host_settings& settings, const std::string& path)
      : settings_(settings),
        http_(
            loop_,
            limits(),
            [this](const http_request& request) { on_request(request); },
            [this](uint64_t exchange) { paths_.erase(exchange); }),
        metrics_(loop_, [this](exposition& seen) { refresh(seen); }),
        runner_(loop_, options(), raft(settings).heartbeat_interval_ms, {}),
        watch_(loop_,
               path,
               [this](const host_settings& changed) {
                 // The zones of a deployment may change while it runs.
                 settings_.zones = changed.zones;
                 settings_.evacuation_ms = changed.evacuation_ms;
                 feed(replica_seeds{current_time(), changed.seeds});
               }),
        terminate_(loop_, SIGTERM, [this] { drain(); }),
        interrupt_(loop_, SIGINT, [this] { drain(); }),
        server_drain_(loop_, http_) {
    runner_.set_answer_handler(
        [this](const replica_operator_answer& answer) { on_answer(answer); });
    runner_.set_drained_handler([this] { end_service(); });
  }

  result<done> run() {
    result<wal_contents> contents = open_folder();
    if (!ok(contents))
      return failure(contents);
    std::random_device device;
    uint64_t seed = uint64_t{device()} << 32 | device();
    replica_state state =
        make_control_replica(settings_, options(), raft(settings_),
                             value(contents).identity, seed, current_time());
    log_line(log_level::info, "started",
             fmt::format("name={} identity={:016x} rpc={}", settings_.name,
                         value(contents).identity, settings_.rpc));
    if (result<done> up = runner_.start(
            std::move(state), std::move(value(contents).writes), settings_.rpc);
        !ok(up))
      return up;
    if (result<done> up = http_.listen(settings_.control); !ok(up))
      return up;
    if (result<done> up = metrics_.listen(settings_.metrics); !ok(up))
      return up;
    log_line(log_level::info, "serving", "");
    loop_.run();
    log_line(log_level::info, "stopped",
             fmt::format("open_exchanges={} open_connections={}",
                         http_.open_exchanges(), http_.open_connections()));
    http_.close();
    metrics_.close();
    flush_log();
    return runner_.outcome();
  }

 private:
  static constexpr int STATUS_OK = 200;
  static constexpr int STATUS_BAD_REQUEST = 400;
  static constexpr int STATUS_NOT_FOUND = 404;
  static constexpr int STATUS_UNAVAILABLE = 503;
  // Longest time from the end of the drain until all connections are closed.
  static constexpr int64_t CLOSE_TIMEOUT_MS = 500;
  static constexpr size_t MAX_LOGGED_ID_BYTES = 64;

  // The election timeout allows for two lost heartbeats, and for the two syncs
  // of a slow disk that a vote waits for.
  static raft_options raft(const host_settings& settings) {
    raft_options options;
    options.target_voters = target_voters(settings);
    options.election_timeout_ms = 500;
    options.heartbeat_interval_ms = 100;
    options.first_election_timeout_ms = 150;
    options.resend_timeout_ms = 250;
    options.open_membership = true;
    return options;
  }

  // Returns a number of voters such that a majority remains after the loss of
  // `tolerated_hosts` hosts at a time. At most five, since each further voter
  // makes every commit slower.
  static int target_voters(const host_settings& settings) {
    return std::clamp(2 * static_cast<int>(settings.tolerated_hosts) + 1, 3, 5);
  }

  static replica_options options() {
    replica_options options;
    options.snapshot_min_entries = 256;
    options.max_log_bytes = 8 << 20;
    return options;
  }

  static http_settings limits() {
    http_settings limits;
    limits.max_body_bytes = 4 << 20;
    limits.max_connections = 3'000;
    limits.max_connections_per_ip = 3'000;
    return limits;
  }

  // Opens the data folder, and formats it first if necessary. An initial voter
  // gets the identity that the other initial voters expect; any other replica
  // gets a random one.
  result<wal_contents> open_folder() {
    result<wal_contents> contents = runner_.open(settings_.data_folder);
    bool empty = !ok(contents) &&
                 failure(contents).code == error_code::folder_not_formatted;
    if (!empty)
      return contents;
    bool is_initial_voter =
        settings_.bootstrap &&
        std::find(settings_.seeds.begin(), settings_.seeds.end(),
                  settings_.rpc) != settings_.seeds.end();
    std::optional<uint64_t> identity;
    if (is_initial_voter)
      identity = bootstrap_identity(settings_.rpc);
    result<uint64_t> formatted =
        format_folder(settings_.data_folder, settings_.rpc, identity);
    if (!ok(formatted))
      return failure(formatted);
    log_line(log_level::info, "folder_formatted",
             fmt::format("identity={:016x} founds={}", value(formatted),
                         is_initial_voter));
    return runner_.open(settings_.data_folder);
  }

  void drain() {
    http_.drain();
    runner_.drain();
  }

  // This replica may have left the group: what it still accepted would be lost.
  void end_service() {
    server_drain_.begin(current_time() + CLOSE_TIMEOUT_MS);
    for (const auto& [exchange, path] : std::exchange(paths_, {}))
      answer(exchange, STATUS_UNAVAILABLE);
  }

  void answer(uint64_t exchange, int status) {
    http_.respond(exchange, {status, "{}"});
  }

  void on_request(const http_request& request) {
    std::string_view path = request.path;
    if (server_drain_.has_begun() || runner_.has_failed()) {
      answer(request.exchange, STATUS_UNAVAILABLE);
    } else if (request.method == "POST" && path == Adapter::REPLACE_PATH) {
      submit_config(request);
    } else if (request.method == "GET" && path == Adapter::READ_PATH) {
      paths_[request.exchange] = request.path;
      feed(replica_config_requested{current_time(), request.exchange});
    } else if (request.method == "POST" &&
               path.starts_with(Adapter::UPSTREAM_PREFIX)) {
      handle_upstream_request(request);
    } else if (request.method == "POST") {
      order_evacuation(request);
    } else {
      answer(request.exchange, STATUS_NOT_FOUND);
    }
  }

  void submit_config(const http_request& request) {
    result<route_table> table = Adapter::read_routes(request.body);
    if (!ok(table)) {
      log_line(log_level::warning, "config_refused",
               fmt::format("reason={} bytes={}", failure(table).detail,
                           request.body.size()));
      answer(request.exchange, STATUS_BAD_REQUEST);
      return;
    }
    paths_[request.exchange] = request.path;
    replica_config_submitted event{current_time(), request.exchange, {}};
    event.latest.set_version(value(table).version);
    event.latest.set_content(request.body);
    event.latest.set_digest(content_digest(request.body));
    feed(event);
  }

  void order_evacuation(const http_request& request) {
    result<wire::evacuation> order =
        Adapter::read_evacuation(request.path, settings_);
    if (!ok(order)) {
      bool is_path = failure(order).code == error_code::not_found;
      answer(request.exchange, is_path ? STATUS_NOT_FOUND : STATUS_BAD_REQUEST);
      return;
    }
    paths_[request.exchange] = request.path;
    feed(replica_evacuation_ordered{current_time(), request.exchange,
                                    std::move(value(order))});
  }

  void handle_upstream_request(const http_request& request) {
    std::string_view rest = request.path;
    rest.remove_prefix(Adapter::UPSTREAM_PREFIX.size());
    size_t slash = rest.find('/');
    std::string_view id = rest.substr(0, slash);
    std::string_view suffix =
        slash == std::string_view::npos ? "" : rest.substr(slash);
    if (suffix == Adapter::LEAVE_SUFFIX) {
      feed(replica_upstream_leaving{current_time(), std::string(id)});
      answer(request.exchange, STATUS_OK);
      return;
    }
    if (suffix != Adapter::ANNOUNCE_SUFFIX) {
      answer(request.exchange, STATUS_NOT_FOUND);
      return;
    }
    result<wire::upstream> announced =
        Adapter::read_announcement(id, request.body);
    if (!ok(announced)) {
      log_line(log_level::warning, "announcement_refused",
               fmt::format("upstream={} field={} bytes={}",
                           escape_for_log(id, MAX_LOGGED_ID_BYTES),
                           failure(announced).detail, request.body.size()));
      answer(request.exchange, STATUS_BAD_REQUEST);
      return;
    }
    feed(replica_upstream_announced{current_time(),
                                    std::move(value(announced))});
    answer(request.exchange, STATUS_OK);
  }

  // Writes are synced at the end of the current batch of the loop or with the
  // next tick, so that requests that arrive together share a sync.
  void feed(const replica_event& event) {
    runner_.handle(event);
    if (!sync_posted_) {
      sync_posted_ = true;
      loop_.post([this] { sync_posted_ = false; });
    }
  }

  // Updates the gauges from the current state.
  void refresh(exposition& seen) {
    const replica_state& state = runner_.state();
    const raft_group& raft = state.groups.begin()->second.raft;
    seen.set("raft_term", "", static_cast<double>(raft.term));
    seen.set("raft_leads", "", raft.role == raft_role::leader ? 1 : 0);
    seen.set("raft_voters", "", raft.members.voters_size());
    seen.set("raft_commit_index", "", static_cast<double>(raft.commit_index));
    seen.set("raft_log_entries", "", static_cast<double>(raft.log.size()));
    seen.set("raft_log_bytes", "",
             static_cast<double>(raft_log_bytes(raft, raft.snapshot.index() + 1,
                                                raft_last_index(raft))));
    seen.set("wal_bytes", "", static_cast<double>(runner_.log_bytes()));
    seen.set("upstreams_heard", "",
             static_cast<double>(state.control->directory.records.size()));
    seen.set("entry_hosts_heard", "",
             static_cast<double>(state.control->entry_hosts.size()));
    const auto& log =
        std::get<control_log>(state.groups.begin()->second.machine);
    for (const std::string& zone : log.table.evacuations().zones())
      seen.set("evacuated", fmt::format(R"(zone="{}")", zone), 1);
  }

  void on_answer(const replica_operator_answer& answer) {
    metrics_.collector().count(
        "operator_answers_total",
        fmt::format("outcome=\"{}\"", to_string(answer.outcome)));
    auto found = paths_.find(answer.exchange);
    if (found == paths_.end())
      return;
    http_.respond(answer.exchange,
                  Adapter::write_operator_answer(answer, found->second,
                                                 port_of(settings_.control)));
    paths_.erase(found);
  }

  event_loop loop_;
  host_settings settings_;
  http_server http_;
  metrics_page metrics_;
  replica_runner runner_;
  settings_watch watch_;
  signal_watcher terminate_;
  signal_watcher interrupt_;
  server_drain server_drain_;
  // Request paths of operators' requests without an answer yet, by exchange.
  std::map<uint64_t, std::string> paths_;
  bool sync_posted_ = false;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_CONTROL_DAEMON_H_
