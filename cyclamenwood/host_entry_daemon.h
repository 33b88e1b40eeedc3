// The daemon of an entry host of a seeded deployment: the I/O layer with
// sockets, timers and signals around the reducer in host_entry.h.
//
// `Adapter` implements the formats of callers and upstreams: it parses
// requests, writes answers, reads the configuration and sends orders to
// upstreams.
//
//   host_entry_daemon<adapter> daemon(settings, path);
//   result<done> ended = daemon.run();  // returns after SIGTERM or SIGINT
#ifndef CYCLAMENWOOD_HOST_ENTRY_DAEMON_H_
#define CYCLAMENWOOD_HOST_ENTRY_DAEMON_H_

#include <fmt/format.h>

#include <csignal>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "cyclamenwood/admission.h"
#include "cyclamenwood/host_entry.h"
#include "cyclamenwood/host_metrics.h"
#include "cyclamenwood/http_server.h"
#include "cyclamenwood/load_report.h"
#include "cyclamenwood/loop.h"
#include "cyclamenwood/metrics_page.h"
#include "cyclamenwood/rpc.h"
#include "cyclamenwood/settings_watch.h"
#include "cyclamenwood/util/log.h"

namespace cyclamenwood {

template <typename Adapter>
class host_entry_daemon {
 public:
  host_entry_daemon(const host_settings& settings, const std::string& path)
      : callers_(
            loop_,
            limits(),
            [this](const http_request& request) {
              load_.count_call();
              handle(host_call{current_time(), Adapter::read_call(request)});
            },
            [this](uint64_t exchange) {
              handle(host_caller_disconnected{current_time(), exchange});
            }),
        readiness_(
            loop_,
            limits(),
            [this](const http_request& request) { on_readiness(request); },
            [](uint64_t /*exchange*/) {}),
        metrics_(loop_, [this](exposition& seen) { refresh(seen); }),
        upstreams_(
            loop_,
            [this](uint64_t order, order_reply reply) {
              load_.count_reply(reply);
              metrics_.collector().count(
                  "order_replies_total",
                  fmt::format("outcome=\"{}\"", to_string(reply.outcome)));
              handle(
                  host_order_replied{current_time(), order, std::move(reply)});
            }),
        rpc_({},
             [this](wire::envelope envelope) {
               loop_.post([this, envelope = std::move(envelope)]() mutable {
                 load_.count_received(envelope);
                 handle(host_received{current_time(), std::move(envelope)});
               });
             }),
        state_(make_host_entry(settings,
                               draw_incarnation(),
                               &Adapter::read_routes)),
        tick_(loop_, HOST_TICK_INTERVAL_MS, [this] { on_tick(); }),
        watch_(loop_,
               path,
               [this](const host_settings& changed) {
                 handle(host_seeds_changed{current_time(), changed.seeds});
               }),
        terminate_(loop_, SIGTERM, [this] { drain(); }),
        interrupt_(loop_, SIGINT, [this] { drain(); }) {}

  // Listens on all addresses and serves until the process has drained. Fails
  // when an address cannot be bound.
  result<done> run() {
    const host_settings& settings = state_.settings;
    callers_.capture_headers(Adapter::caller_headers());
    if (result<done> up = rpc_.listen(settings.rpc); !ok(up))
      return up;
    if (result<done> up = callers_.listen(settings.callers); !ok(up))
      return up;
    if (result<done> up = readiness_.listen(settings.readiness); !ok(up))
      return up;
    if (result<done> up = metrics_.listen(settings.metrics); !ok(up))
      return up;
    log_line(
        log_level::info, "started",
        fmt::format("name={} zone={} rpc={} incarnation={:016x}", settings.name,
                    settings.zone, settings.rpc, state_.incarnation));
    on_tick();
    loop_.run();
    log_line(log_level::info, "stopped", describe_connections());
    callers_.close();
    readiness_.close();
    metrics_.close();
    flush_log();
    return done{};
  }

 private:
  // The load balancer checks the readiness each second and removes a host after
  // two failures; new connections may arrive until then.
  static constexpr int64_t BALANCER_NOTICE_MS = 2'500;
  // Part of the stop grace that is reserved for the exit itself.
  static constexpr int64_t EXIT_RESERVE_MS = 500;
  // Time between the last answers and the exit, so that they are sent
  // completely.
  static constexpr int64_t LAST_ANSWERS_MS = 100;
  static constexpr int STATUS_OK = 200;
  static constexpr int STATUS_UNAVAILABLE = 503;

  static http_settings limits() {
    http_settings limits;
    limits.max_body_bytes = 1 << 20;
    limits.max_connections = 3'000;
    limits.max_connections_per_ip = 3'000;
    return limits;
  }

  static uint64_t draw_incarnation() {
    std::random_device device;
    // Leaves the upper half of the range free for the submissions, which are
    // numbered from here.
    return (uint64_t{device()} << 32 | device()) >> 1;
  }

  std::string describe_connections() const {
    return fmt::format("open_exchanges={} open_connections={} unread={}",
                       callers_.open_exchanges(), callers_.open_connections(),
                       callers_.unread_connections());
  }

  void on_readiness(const http_request& request) {
    bool ready = request.path == Adapter::READY_PATH && is_ready(state_);
    readiness_.respond(request.exchange,
                       {ready ? STATUS_OK : STATUS_UNAVAILABLE, "{}"});
  }

  void on_tick() {
    unix_ms now = current_time();
    report_load(now);
    handle(host_tick{now});
    if (!state_.draining)
      return;
    if (now >= close_at_ms_ && callers_.phase() == http_phase::draining) {
      log_line(log_level::info, "quiesced", describe_connections());
      callers_.quiesce();
    }
    bool idle = now >= close_at_ms_ && callers_.open_connections() == 0 &&
                !is_owner(state_);
    if (idle || now >= exit_by_ms_)
      loop_.stop();
  }

  // A timer that is due while the loop is busy runs late by that time.
  void report_load(unix_ms now) {
    if (last_tick_ms_ != 0)
      load_.loop_delayed(now - last_tick_ms_ - HOST_TICK_INTERVAL_MS);
    last_tick_ms_ = now;
    if (std::optional<std::string> line = load_.tick(now, process_cpu_us()))
      log_line(log_level::info, "load", *line);
  }

  void drain() {
    if (state_.draining)
      return;
    unix_ms now = current_time();
    close_at_ms_ = now + BALANCER_NOTICE_MS;
    exit_by_ms_ = now + state_.settings.stop_grace_ms - EXIT_RESERVE_MS;
    log_line(log_level::info, "draining", describe_connections());
    callers_.drain();
    handle(host_drain{now, exit_by_ms_ - LAST_ANSWERS_MS});
  }

  void handle(const host_event& event) {
    host_effects effects = reduce(state_, event);
    for (host_effect& effect : effects)
      std::visit([this](auto& kind) { this->execute(std::move(kind)); },
                 effect);
  }

  void execute(const caller_answer& effect) {
    metrics_.collector().count(
        "answers_total",
        fmt::format("outcome=\"{}\"", to_string(effect.outcome)));
    if (!effect.queue.empty()) {
      metrics_.collector().observe_ms(
          "job_duration_ms",
          fmt::format("queue=\"{}\",outcome=\"{}\"", effect.queue,
                      to_string(effect.outcome)),
          effect.elapsed_ms);
    }
    callers_.respond(effect.exchange, Adapter::write_answer(effect));
  }

  void execute(const run_order& effect) {
    load_.count_order(effect);
    upstreams_.send(effect);
  }

  void execute(host_send&& effect) {
    bool is_reply = effect.envelope.has_run_results() ||
                    effect.envelope.has_pool_state() ||
                    effect.envelope.has_run_released();
    // Replies are sent on the stream that the other process opened.
    if (!is_reply)
      rpc_.add_peer(effect.host, effect.host);
    load_.count_sent(effect.envelope);
    rpc_.send(effect.host, std::move(effect.envelope));
  }

  // Sets the gauges to their current values.
  void refresh(exposition& seen) {
    write_host_gauges(state_, current_time(), seen);
    load_.write(seen);
    rpc_counts sent = rpc_.counts();
    seen.set("rpc_sent_messages", "", static_cast<double>(sent.sent_messages));
    seen.set("rpc_written_messages", "",
             static_cast<double>(sent.written_messages));
    seen.set("rpc_sent_bytes", "", static_cast<double>(sent.sent_bytes));
    seen.set("rpc_dropped_messages", "",
             static_cast<double>(sent.dropped_messages));
  }

  void execute(const log_event& effect) {
    metrics_.collector().count("events_total",
                               fmt::format("event=\"{}\"", effect.event));
    log_line(log_level::info, effect.event, effect.details);
  }

  event_loop loop_;
  http_server callers_;
  http_server readiness_;
  metrics_page metrics_;
  typename Adapter::upstream_client upstreams_;
  rpc_node rpc_;
  host_entry state_;
  periodic_timer tick_;
  settings_watch watch_;
  signal_watcher terminate_;
  signal_watcher interrupt_;
  load_report load_;
  unix_ms last_tick_ms_ = 0;
  unix_ms close_at_ms_ = 0;
  unix_ms exit_by_ms_ = 0;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_HOST_ENTRY_DAEMON_H_
