// Events that arrive during a sync are queued in the loop. The next batch is
// handled by the reducer, and one sync covers all its writes. A failed write
// stops the process: the contents of the disk are then unknown, and a restart
// reads the actual contents.
#include "cyclamenwood/replica_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "cyclamenwood/util/log.h"

namespace cyclamenwood {
namespace {

constexpr int64_t MIN_TICK_INTERVAL_MS = 5;
constexpr int64_t TICKS_PER_HEARTBEAT = 5;

}  // namespace

replica_runner::replica_runner(event_loop& loop,
                               const replica_options& options,
                               int64_t heartbeat_interval_ms,
                               const std::map<std::string, std::string>& peers)
    : loop_(loop),
      options_(options),
      rpc_(peers,
           [this](wire::envelope envelope) {
             loop_.post([this, envelope = std::move(envelope)] {
               handle(replica_received{current_time(), envelope});
             });
           }),
      tick_interval_ms_(std::max(MIN_TICK_INTERVAL_MS,
                                 heartbeat_interval_ms / TICKS_PER_HEARTBEAT)) {
}

result<wal_contents> replica_runner::open(const std::string& folder) {
  result<wal_contents> contents = folder_.open(folder);
  if (ok(contents) && value(contents).torn_tail)
    log_line(log_level::warning, "torn_tail_cut",
             fmt::format("bytes={}", value(contents).valid_bytes));
  return contents;
}

result<done> replica_runner::start(replica_state state,
                                   std::vector<wire::wal_write> writes,
                                   const std::string& rpc_address) {
  state_ = std::move(state);
  for (wire::wal_write& write : writes) {
    replay_write(state_, write);
    write = {};
  }
  if (result<done> listening = rpc_.listen(rpc_address); !ok(listening))
    return listening;
  loop_.set_batch_handler([this] { sync(); });
  tick_ = std::make_unique<periodic_timer>(loop_, tick_interval_ms_, [this] {
    handle(replica_tick{current_time()});
    sync();
  });
  handle(replica_started{current_time()});
  sync();
  return outcome();
}

void replica_runner::set_answer_handler(answer_handler handler) {
  answer_ = std::move(handler);
}

void replica_runner::set_drained_handler(drained_handler handler) {
  drained_ = std::move(handler);
}

void replica_runner::handle(const replica_event& event) {
  if (failed_) {
    if (!std::exchange(has_dropped_events_, true))
      log_line(log_level::warning, "events_dropped", "reason=write_failed");
    return;
  }
  replica_effects effects = reduce(state_, event);
  for (const replica_effect& effect : effects)
    std::visit([this](const auto& kind) { execute(kind); }, effect);
}

void replica_runner::sync() {
  while (unsynced_ && !failed_) {
    handle(replica_flush{current_time()});
    unsynced_ = false;
    int64_t started_us = monotonic_us();
    if (options_.added_sync_delay_ms > 0)
      std::this_thread::sleep_for(
          std::chrono::milliseconds(options_.added_sync_delay_ms));
    check(folder_.sync());
    if (!failed_)
      handle(replica_synced{current_time(), monotonic_us() - started_us});
  }
  rewrite_log_if_large();
}

void replica_runner::rewrite_log_if_large() {
  bool grown = folder_.size() > static_cast<uint64_t>(options_.max_log_bytes) &&
               folder_.size() > 2 * rewritten_bytes_;
  if (!grown || failed_)
    return;
  check(folder_.rewrite(dump_writes(state_)));
  if (failed_)
    return;
  rewritten_bytes_ = folder_.size();
  log_line(log_level::info, "log_rewritten",
           fmt::format("bytes={}", rewritten_bytes_));
}

void replica_runner::drain() {
  handle(replica_drain{current_time()});
  sync();
}

result<done> replica_runner::outcome() const {
  if (failed_)
    return *failed_;
  return done{};
}

void replica_runner::check(const result<done>& attempt) {
  if (ok(attempt) || failed_)
    return;
  failed_ = std::get<error>(attempt);
  log_line(log_level::error, "write_failed", to_string(*failed_));
  loop_.stop();
}

void replica_runner::execute(const replica_persist& effect) {
  unsynced_ = true;
  check(folder_.append(effect.write));
}

void replica_runner::execute(const replica_send& effect) {
  if (failed_)
    return;
  bool is_peer = std::find(state_.peers.begin(), state_.peers.end(),
                           effect.host) != state_.peers.end();
  if (is_peer && state_.control)
    rpc_.add_peer(effect.host, effect.host);
  rpc_.send(effect.host, effect.envelope);
}

void replica_runner::execute(const replica_log_event& effect) {
  log_line(log_level::info, effect.name,
           fmt::format("group={} {}", effect.group, effect.detail));
}

void replica_runner::execute(const replica_drained& /*effect*/) {
  if (drained_)
    drained_();
  else
    loop_.stop();
}

void replica_runner::execute(const replica_operator_answer& effect) {
  if (answer_)
    answer_(effect);
}

}  // namespace cyclamenwood
