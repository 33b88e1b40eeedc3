// Which tasks were lost together with their upstreams.
//
// A task that crashes its upstream would, if it were started again each time,
// crash one upstream after the other. A loss is therefore a fact about the
// task, which is kept wherever the task may be started next: it names the task
// and the incarnation of the upstream, so that the same loss is counted once,
// however often and from however many hosts it is reported.
//
//   loss_history history;
//   record_loss(history, loss, now);
//   if (judge_task(history, "5c0e7a21d94b36f8.0.1.17") != loss_verdict::none)
//     ...
//
// Owners report losses to the entry hosts that exchange hellos with them, which
// pass them on to those that exchange hellos with them. Each request for a run
// contains the losses of its tasks. So the history of a task survives the owner
// of its pool and the entry host of its caller.
//
// Times are in ms; `now` is the current time.
#ifndef CYCLAMENWOOD_LOSS_HISTORY_H_
#define CYCLAMENWOOD_LOSS_HISTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

// A task is given up after this many crashes: a second one, of an upstream that
// had nothing to do with the first, is no coincidence.
constexpr size_t MAX_CRASHES = 2;
// A task is not started again after this many losses of any kind: of an
// upstream that fell silent it is not known whether it crashed.
constexpr size_t MAX_LOSSES = 3;
// Callers submit a job again within seconds.
constexpr int64_t LOSS_RETENTION_MS = 30'000;
// The oldest losses are dropped above this number.
constexpr size_t MAX_RETAINED_LOSSES = 4096;
// Losses in one message: less than a tenth of a link of 2 Mbit/s from each of
// nine neighbours.
constexpr size_t MAX_LOSSES_PER_STATE = 20;

struct known_loss {
  // The upstream is known to have crashed.
  bool crashed = false;
  unix_ms expires_ms = 0;
};

// An incarnation of an upstream: its id, and the incarnation.
using upstream_key = std::pair<std::string, uint64_t>;
// The upstreams that a task was lost with.
using lost_upstreams = std::map<upstream_key, known_loss>;

struct loss_history {
  // By name of the task.
  std::map<std::string, lost_upstreams, std::less<>> tasks;
  // The task and the upstream of each loss in `tasks`, by number, in the order
  // in which they were recorded. One that became known to be a crash later is
  // recorded again.
  std::map<uint64_t, std::pair<std::string, upstream_key>> recent;
  uint64_t next_number = 1;
};

// Adds a loss, to be remembered for its `remaining_ms`. Returns whether it was
// new, or newly known to be a crash.
bool record_loss(loss_history& history,
                 const wire::run_loss& loss,
                 unix_ms now);

// Whether the task may have crashed an upstream: it was lost with one that
// crashed, or with several that fell silent.
bool is_suspect(const loss_history& history, std::string_view task);

// Why a task is not started again.
enum class loss_verdict {
  none,
  // It was lost with several upstreams that are known to have crashed: it has
  // failed.
  crashed,
  // It was lost with several upstreams that fell silent: it may have crashed
  // them, or they may have been cut off.
  lost,
};

loss_verdict judge_task(const loss_history& history, std::string_view task);

// The verdict on the job, which is that on the worst of its tasks.
loss_verdict judge_job(const loss_history& history, std::string_view job);

// Adds the losses of the request's tasks to it.
void add_losses(const loss_history& history,
                unix_ms now,
                wire::run_request& request);

// Adds the losses after the receiver's position to the state, a limited number
// at a time.
void add_losses_after(const loss_history& history,
                      uint64_t have_losses,
                      unix_ms now,
                      wire::pool_state& state);

// Forgets the losses that have expired.
void expire_losses(loss_history& history, unix_ms now);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_LOSS_HISTORY_H_
