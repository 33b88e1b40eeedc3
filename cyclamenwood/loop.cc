// Thin wrappers over libev. Posted tasks are swapped out under the lock and
// run without it, so that a task may call `post` itself.
#include "cyclamenwood/loop.h"

#include <time.h>

#include <chrono>
#include <csignal>
#include <utility>

#include "cyclamenwood/util/log.h"

namespace cyclamenwood {
namespace {

constexpr double MS = 1000.0;
constexpr int64_t NS_PER_MS = 1'000'000;

// Time since boot, including suspends: a lease must also expire while its host
// is suspended.
int64_t monotonic_ms() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<int64_t>(now.tv_sec) * MS_PER_SECOND +
         now.tv_nsec / NS_PER_MS;
}

int64_t wall_ms() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

unix_ms current_time() {
  static const int64_t offset = wall_ms() - monotonic_ms();
  return offset + monotonic_ms();
}

int64_t monotonic_us() {
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

event_loop::event_loop() : loop_(ev_loop_new(EVFLAG_AUTO)) {
  ev_async_init(&async_, on_async);
  async_.data = this;
  ev_async_start(loop_, &async_);
  ev_prepare_init(&prepare_, on_prepare);
  ev_prepare_start(loop_, &prepare_);
}

void event_loop::on_prepare(struct ev_loop* /*loop*/,
                            ev_prepare* /*watcher*/,
                            int /*events*/) {
  flush_log();
}

event_loop::~event_loop() {
  ev_async_stop(loop_, &async_);
  ev_prepare_stop(loop_, &prepare_);
  ev_loop_destroy(loop_);
}

// ev_run clears an ev_break that came before it.
void event_loop::run() {
  if (!is_stopped_)
    ev_run(loop_, 0);
  is_stopped_ = false;
}

void event_loop::stop() {
  is_stopped_ = true;
  ev_break(loop_, EVBREAK_ALL);
}

void event_loop::post(std::function<void()> task) {
  bool first = false;
  {
    std::lock_guard lock(mutex_);
    first = posted_.empty();
    posted_.push_back(std::move(task));
  }
  if (first)
    ev_async_send(loop_, &async_);
}

void event_loop::set_batch_handler(std::function<void()> callback) {
  batch_handler_ = std::move(callback);
}

void event_loop::on_async(struct ev_loop* /*loop*/,
                          ev_async* watcher,
                          int /*events*/) {
  static_cast<event_loop*>(watcher->data)->run_posted();
}

void event_loop::run_posted() {
  std::vector<std::function<void()>> batch;
  {
    std::lock_guard lock(mutex_);
    batch.swap(posted_);
  }
  for (const std::function<void()>& task : batch)
    task();
  if (batch_handler_)
    batch_handler_();
}

periodic_timer::periodic_timer(event_loop& loop,
                               int64_t interval_ms,
                               std::function<void()> callback)
    : loop_(loop), interval_ms_(interval_ms), callback_(std::move(callback)) {
  double seconds = static_cast<double>(interval_ms) / MS;
  ev_timer_init(&timer_, on_timer, seconds, seconds);
  timer_.data = this;
  ev_timer_start(loop_.raw(), &timer_);
}

periodic_timer::~periodic_timer() {
  ev_timer_stop(loop_.raw(), &timer_);
}

void periodic_timer::set_interval(int64_t interval_ms) {
  if (interval_ms == interval_ms_)
    return;
  interval_ms_ = interval_ms;
  timer_.repeat = static_cast<double>(interval_ms) / MS;
  ev_timer_again(loop_.raw(), &timer_);
}

void periodic_timer::on_timer(struct ev_loop* /*loop*/,
                              ev_timer* watcher,
                              int /*events*/) {
  static_cast<periodic_timer*>(watcher->data)->callback_();
}

signal_watcher::signal_watcher(event_loop& loop,
                               int signal,
                               std::function<void()> callback)
    : loop_(loop), callback_(std::move(callback)) {
  ev_signal_init(&signal_, on_signal, signal);
  signal_.data = this;
  ev_signal_start(loop_.raw(), &signal_);
}

signal_watcher::~signal_watcher() {
  ev_signal_stop(loop_.raw(), &signal_);
  // libev has restored the default action, which would end the process while
  // it is being torn down.
  std::signal(signal_.signum, SIG_IGN);
}

void signal_watcher::on_signal(struct ev_loop* /*loop*/,
                               ev_signal* watcher,
                               int /*events*/) {
  static_cast<signal_watcher*>(watcher->data)->callback_();
}

}  // namespace cyclamenwood
