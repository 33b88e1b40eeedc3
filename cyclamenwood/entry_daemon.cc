// Events come from the HTTP server, the HTTP client, the RPC node, a timer and
// signals, and are handled on the thread of the event loop; effects are
// executed in the order given. The time is read for each event, so that a
// process that was suspended does not act on an outdated time.
#include "cyclamenwood/entry_daemon.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <random>

#include "cyclamenwood/entry.h"
#include "cyclamenwood/entry_http.h"
#include "cyclamenwood/http_client.h"
#include "cyclamenwood/http_server.h"
#include "cyclamenwood/loop.h"
#include "cyclamenwood/metrics.h"
#include "cyclamenwood/rpc.h"
#include "cyclamenwood/server_drain.h"
#include "cyclamenwood/util/log.h"

namespace cyclamenwood {
namespace {

constexpr int64_t IDLE_TICK_INTERVAL_MS = 100;
// Longest time from the end of the drain until all connections are closed.
constexpr int64_t CLOSE_TIMEOUT_MS = 2'000;
constexpr int STATUS_OK = 200;
constexpr int STATUS_UNAVAILABLE = 503;

std::map<std::string, std::string> peer_addresses(const settings& all,
                                                  const std::string& name) {
  std::map<std::string, std::string> addresses;
  for (const entry_host_settings& host : all.entry_hosts) {
    if (host.name != name)
      addresses[host.name] = link_address(all, name, host.name);
  }
  for (const replica_settings& replica : all.replicas)
    addresses[replica.name] = link_address(all, name, replica.name);
  return addresses;
}

// Returns an incarnation that differs from that of any earlier process. The
// random part keeps it different if the clock was set back.
uint64_t new_incarnation() {
  constexpr int RANDOM_BITS = 16;
  std::random_device device;
  uint64_t random = device() & ((1U << RANDOM_BITS) - 1);
  return static_cast<uint64_t>(current_time()) << RANDOM_BITS | random;
}

uint64_t random_seed() {
  std::random_device device;
  return uint64_t{device()} << 32 | device();
}

class entry_daemon {
 public:
  entry_daemon(const settings& all, const std::string& name)
      : state_(make_entry(all,
                          name,
                          new_incarnation(),
                          random_seed(),
                          current_time())),
        http_(
            loop_,
            all.http,
            [this](const http_request& request) { on_request(request); },
            [this](uint64_t exchange) {
              handle(entry_caller_disconnected{current_time(), exchange});
            }),
        tasks_(loop_,
               all.dispatch,
               [this](uint64_t attempt_id,
                      task_outcome outcome,
                      std::string identity,
                      std::string body) {
                 handle(entry_task_ended{current_time(), attempt_id, outcome,
                                         std::move(identity), std::move(body)});
               }),
        rpc_(peer_addresses(all, name),
             [this](wire::envelope envelope) {
               loop_.post([this, envelope = std::move(envelope)] {
                 handle(entry_received{current_time(), envelope});
               });
             }),
        tick_(loop_, TICK_INTERVAL_MS, [this] { on_tick(); }),
        terminate_(loop_, SIGTERM, [this] { drain(); }),
        interrupt_(loop_, SIGINT, [this] { drain(); }),
        server_drain_(loop_, http_) {}

  result<done> run() {
    const entry_host_settings& self =
        *find_entry_host(state_.options, state_.host);
    if (result<done> listening = rpc_.listen(self.rpc); !ok(listening))
      return listening;
    if (result<done> listening = http_.listen(self.http); !ok(listening))
      return listening;
    log_line(log_level::info, "started",
             fmt::format("name={} zone={} incarnation={} http={} rpc={}",
                         state_.host, state_.zone, state_.incarnation,
                         self.http, self.rpc));
    loop_.run();
    log_line(log_level::info, "stopped", "");
    http_.close();
    flush_log();
    return done{};
  }

 private:
  void handle(const entry_event& event) {
    entry_effects effects = reduce(state_, event);
    for (const entry_effect& effect : effects)
      std::visit([this](const auto& kind) { execute(kind); }, effect);
  }

  void on_tick() {
    handle(entry_tick{current_time()});
    bool idle = state_.attempts.empty() && state_.queued_tasks == 0 &&
                state_.claims.empty() && state_.queries.empty() &&
                state_.roll_outs.empty();
    tick_.set_interval(idle ? IDLE_TICK_INTERVAL_MS : TICK_INTERVAL_MS);
  }

  void drain() {
    http_.drain();
    handle(entry_drain{current_time()});
  }

  void on_request(const http_request& request) {
    unix_ms now = current_time();
    entry_route route = route_request(request, state_.options.http, now);
    if (auto* event = std::get_if<entry_event>(&route)) {
      handle(*event);
      tick_.set_interval(TICK_INTERVAL_MS);
    } else if (auto* page = std::get_if<entry_page>(&route)) {
      http_.respond(request.exchange, make_page(*page, now));
    } else {
      http_.respond(request.exchange,
                    failure_answer(std::get<error>(route), execution::not_run,
                                   version_in_force(state_)));
    }
  }

  api_answer make_page(entry_page page, unix_ms now) {
    switch (page) {
      case entry_page::home:
        return {STATUS_OK, fmt::format(R"({{"zone":"{}","bundle_version":{}}})",
                                       state_.zone, version_in_force(state_))};
      case entry_page::health:
        return {is_serving(state_) ? STATUS_OK : STATUS_UNAVAILABLE,
                fmt::format(R"({{"serving":{}}})", is_serving(state_))};
      case entry_page::status:
        return {STATUS_OK, describe_status(state_, now)};
      case entry_page::metrics:
        return {STATUS_OK, make_metrics_page()};
      case entry_page::upstreams:
        return {STATUS_OK, describe_upstreams(state_, now)};
      case entry_page::bundle:
        return make_bundle_page();
      case entry_page::drain:
        drain();
        return {STATUS_OK, R"({"draining":true})"};
    }
    return {STATUS_UNAVAILABLE, "{}"};
  }

  api_answer make_bundle_page() const {
    if (!state_.config.in_force)
      return failure_answer(error{error_code::bundle_missing, state_.host},
                            execution::not_run, 0);
    nlohmann::json page;
    page["bundle_version"] = version_in_force(state_);
    page["content"] = state_.config.content;
    return {STATUS_OK, page.dump()};
  }

  std::string make_metrics_page() const {
    nlohmann::json page = nlohmann::json::parse(metrics_.to_json());
    rpc_counts counts = rpc_.counts();
    page["counters"]["rpc_sent_messages"] = counts.sent_messages;
    page["counters"]["rpc_sent_bytes"] = counts.sent_bytes;
    page["counters"]["rpc_dropped_messages"] = counts.dropped_messages;
    return page.dump();
  }

  void execute(const entry_answer& effect) {
    http_.respond(effect.caller, effect.answer);
  }

  void execute(const entry_start_task& effect) { tasks_.start(effect); }

  void execute(const entry_cancel_task& effect) { tasks_.cancel(effect); }

  void execute(const entry_send& effect) {
    rpc_.send(effect.host, effect.envelope);
  }

  void execute(const entry_log_event& effect) {
    log_line(log_level::info, effect.name, effect.detail);
  }

  void execute(const entry_job_finished& effect) { metrics_.observe(effect); }

  void execute(const entry_count& effect) { metrics_.count(effect.kind); }

  void execute(const entry_drained& /*effect*/) {
    server_drain_.begin(current_time() + CLOSE_TIMEOUT_MS);
  }

  event_loop loop_;
  entry_state state_;
  metrics metrics_;
  http_server http_;
  http_client tasks_;
  rpc_node rpc_;
  periodic_timer tick_;
  signal_watcher terminate_;
  signal_watcher interrupt_;
  server_drain server_drain_;
};

}  // namespace

result<done> run_entry_daemon(const settings& all, const std::string& name) {
  if (find_entry_host(all, name) == nullptr)
    return error{error_code::settings_invalid,
                 fmt::format("entry_hosts: no host is named {}", name)};
  auto daemon = std::make_unique<entry_daemon>(all, name);
  return daemon->run();
}

}  // namespace cyclamenwood
