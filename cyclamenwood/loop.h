// The event loop of a daemon, on libev. All state of a daemon belongs to the
// thread that runs the loop.
//
//   event_loop loop;
//   periodic_timer tick(loop, 20, [&] { ... });
//   loop.run();
//
// `event_loop::post` is the only function that other threads may call.
#ifndef CYCLAMENWOOD_LOOP_H_
#define CYCLAMENWOOD_LOOP_H_

#include <ev.h>

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "cyclamenwood/types.h"

namespace cyclamenwood {

// The wall-clock time at the first call plus the time elapsed since, including
// time during which the host was suspended. Never goes back while a process
// runs.
unix_ms current_time();

// The monotonic clock in microseconds, for measuring durations.
int64_t monotonic_us();

class event_loop {
 public:
  event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;
  ~event_loop();

  // Runs until `stop` is called. Returns at once if that was before the call.
  void run();
  // Ends the current run after its iteration, or the next one before it begins.
  void stop();
  // The libev loop, for watchers of other modules. Owned by this object.
  struct ev_loop* raw() {
    return loop_;
  }

  // Queues `task` to run on the loop's thread. Thread-safe.
  void post(std::function<void()> task);

  // Called on the loop's thread after each batch of posted tasks.
  void set_batch_handler(std::function<void()> callback);

 private:
  static void on_async(struct ev_loop* loop, ev_async* watcher, int events);
  // Runs before the loop blocks; writes the log lines of the iteration in one
  // batch.
  static void on_prepare(struct ev_loop* loop, ev_prepare* watcher, int events);
  void run_posted();

  struct ev_loop* loop_;
  ev_async async_{};
  ev_prepare prepare_{};
  std::mutex mutex_;
  // Guarded by mutex_.
  std::vector<std::function<void()>> posted_;
  std::function<void()> batch_handler_;
  bool is_stopped_ = false;
};

// Calls `callback` every `interval_ms` until destroyed.
class periodic_timer {
 public:
  periodic_timer(event_loop& loop,
                 int64_t interval_ms,
                 std::function<void()> callback);
  periodic_timer(const periodic_timer&) = delete;
  periodic_timer& operator=(const periodic_timer&) = delete;
  ~periodic_timer();

  // Changes the interval and restarts it. No effect if it is unchanged.
  void set_interval(int64_t interval_ms);

 private:
  static void on_timer(struct ev_loop* loop, ev_timer* watcher, int events);

  event_loop& loop_;
  ev_timer timer_{};
  int64_t interval_ms_;
  std::function<void()> callback_;
};

// Calls `callback` on the loop's thread when the process receives `signal`.
// Once the watcher is destroyed the signal is ignored.
class signal_watcher {
 public:
  signal_watcher(event_loop& loop, int signal, std::function<void()> callback);
  signal_watcher(const signal_watcher&) = delete;
  signal_watcher& operator=(const signal_watcher&) = delete;
  ~signal_watcher();

 private:
  static void on_signal(struct ev_loop* loop, ev_signal* watcher, int events);

  event_loop& loop_;
  ev_signal signal_{};
  std::function<void()> callback_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_LOOP_H_
