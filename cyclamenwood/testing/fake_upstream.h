// A leased upstream without a network: it carries orders out as the platform's
// upstreams do, on its own clock, and keeps what tests want to check.
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
  unix_ms began_ms = 0;
  unix_ms ends_ms = 0;
};

class fake_upstream {
 public:
  // The upstream's clock shows `clock_offset_ms` more than ours. Each run
  // takes `run_ms`.
  fake_upstream(const std::string& id,
                const std::string& zone,
                uint32_t cpu_milli,
                int64_t clock_offset_ms,
                int64_t run_ms);

  // What a task takes; the order itself does not say.
  std::function<uint32_t(const std::string& task)> cpu_of =
      [](const std::string&) { return 1000; };

  order_reply carry_out(const run_order& order, unix_ms now);

  // Ends what is over by now: leases and runs.
  void advance(unix_ms now);

  // The process ends and another begins under the same id.
  void restart(unix_ms now);

  const wire::upstream& info() const { return info_; }
  const std::map<std::string, fake_run>& runs() const { return runs_; }
  uint32_t used_cpu_milli() const;
  uint64_t starts() const { return starts_; }
  uint64_t rejected_for_room() const { return rejected_for_room_; }
  void set_run_ms(int64_t run_ms) { run_ms_ = run_ms; }
  // All that it starts fails at once.
  void set_failing(bool failing) { failing_ = failing; }

 private:
  order_outcome start(const run_order& order, unix_ms now);
  void end(const std::string& task, run_end how);
  int64_t clock(unix_ms now) const { return now + clock_offset_ms_; }

  wire::upstream info_;
  int64_t clock_offset_ms_;
  int64_t run_ms_;
  bool failing_ = false;
  uint64_t highest_token_ = 0;
  int64_t lease_until_ms_ = 0;
  std::map<std::string, fake_run> runs_;
  // Highest attempt that was stopped or ended.
  std::map<std::string, uint32_t> over_;
  std::vector<listed_end> ends_;
  uint64_t next_end_ = 1;
  uint64_t starts_ = 0;
  uint64_t rejected_for_room_ = 0;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_FAKE_UPSTREAM_H_
