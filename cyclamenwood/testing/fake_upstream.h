// An in-process leased upstream for tests. It carries out orders as the
// platform's upstreams do, on its own clock, and counts what tests check.
#ifndef CYCLAMENWOOD_TESTING_FAKE_UPSTREAM_H_
#define CYCLAMENWOOD_TESTING_FAKE_UPSTREAM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cyclamenwood/order.h"
#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

struct fake_run {
  uint32_t attempt = 0;
  uint32_t cpu_milli = 0;
  unix_ms started_ms = 0;
  unix_ms ends_ms = 0;
};

class fake_upstream {
 public:
  // The upstream's clock is `clock_offset_ms` ahead of the test's clock. Each
  // run takes `run_ms`.
  fake_upstream(const std::string& id,
                const std::string& zone,
                uint32_t cpu_milli,
                int64_t clock_offset_ms,
                int64_t run_ms);

  // Returns the processor capacity that a task needs, which the order does not
  // contain.
  std::function<uint32_t(const std::string& task)> cpu_of =
      [](const std::string&) { return 1000; };

  // Returns the time that a run of the task takes; `run_ms` if it is not set.
  std::function<int64_t(const std::string& task)> run_ms_of;

  // Returns whether a start of the task crashes the upstream.
  std::function<bool(const std::string& task)> crashes_on =
      [](const std::string&) { return false; };

  // How long the upstream is down after a crash; it then restarts.
  int64_t down_ms = 3000;

  // Whether its clock starts again at zero when it restarts.
  bool restarts_clock = false;

  // The speed of its clock; 0.98: 2% slow.
  double clock_rate = 1;

  order_reply carry_out(const run_order& order, unix_ms now);

  // Ends the runs that are complete at this time, or whose lease has expired,
  // and restarts the upstream if it is due.
  void advance(unix_ms now);

  // Replaces the process by a new incarnation under the same id.
  void restart(unix_ms now);

  // Changes its capacity; the next announcement shows it.
  void set_capacity(uint32_t cpu_milli);

  const wire::upstream& info() const { return info_; }
  const std::map<std::string, fake_run>& runs() const { return runs_; }
  uint32_t used_cpu_milli() const;
  uint64_t starts() const { return starts_; }
  // The tasks whose start crashed it, in order.
  const std::vector<std::string>& crashed_by() const { return crashed_by_; }
  // The time that stopped runs had taken.
  int64_t stopped_run_ms() const { return stopped_run_ms_; }
  uint64_t rejected_no_room() const { return rejected_no_room_; }
  void set_run_ms(int64_t run_ms) { run_ms_ = run_ms; }
  // If set, every run that starts fails at once.
  void set_failing(bool failing) { failing_ = failing; }

 private:
  order_outcome start(const run_order& order, unix_ms now);
  void end(const std::string& task, run_end how);
  int64_t clock(unix_ms now) const {
    return static_cast<int64_t>(static_cast<double>(now) * clock_rate) +
           clock_offset_ms_;
  }

  wire::upstream info_;
  int64_t clock_offset_ms_;
  int64_t run_ms_;
  bool failing_ = false;
  uint64_t highest_token_ = 0;
  int64_t lease_until_ms_ = 0;
  std::map<std::string, fake_run> runs_;
  // The highest attempt of each task that was stopped or has ended.
  std::map<std::string, uint32_t> highest_ended_attempts_;
  std::vector<listed_end> ends_;
  uint64_t next_end_ = 1;
  uint64_t starts_ = 0;
  int64_t stopped_run_ms_ = 0;
  uint64_t rejected_no_room_ = 0;
  std::vector<std::string> crashed_by_;
  // 0: it is running.
  unix_ms restart_at_ms_ = 0;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_FAKE_UPSTREAM_H_
