// The owner's part of an entry host: one pool of upstreams, which are those of
// an availability zone or of a shard of it, and the tasks that run on them.
//
// A pool takes requests for tasks from entry hosts, queues them, places them
// where there is room, starts them under leases and reports how they ended.
//
//   pool_state pool;
//   own_pool(pool, token, now, out);                 // a grant came
//   request_runs(pool, "10.1.0.13:7720", request, now, out);
//   order_replied(pool, order, reply, now, out);
//   tick_pool(pool, now, out);
//   ... every change ends with: place_tasks(pool, now, out);
//
// A task has at most one unsettled run. A run is settled when its end is
// listed, when its stop is acknowledged and a later list lacks it, or when
// every lease that was ever asked for its upstream has run out.
//
// A new owner reads the lists first. What runs there is adopted when an entry
// host asks for it, or stopped after ADOPTION_MS.
#ifndef CYCLAMENWOOD_POOL_H_
#define CYCLAMENWOOD_POOL_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "cyclamenwood/health.h"
#include "cyclamenwood/order.h"
#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

// An entry host that is silent for this long has lost its jobs here: three of
// its hellos are missing. Together with a stop it stays under the time after
// which callers send a job again.
constexpr int64_t PEER_SILENCE_MS = 600;
// How long a new owner waits for entry hosts to ask for what runs.
constexpr int64_t ADOPTION_MS = 400;

enum class run_state {
  // Ordered; not known to run.
  starting,
  running,
  // Its stop is ordered; the room is not free yet.
  stopping,
};

// One attempt of a task on an upstream.
struct leased_run {
  // 0: found on the upstream, asked for by nobody so far.
  uint64_t submission = 0;
  uint32_t step = 0;
  uint32_t task = 0;
  uint32_t attempt = 0;
  wire::room need;
  run_state state = run_state::starting;
  // Starts sent for this attempt without an answer.
  int unanswered_starts = 0;
  // When the current order is sent again.
  unix_ms resend_ms = INT64_MAX;
  // From then on a list that lacks the run says that it is over.
  unix_ms listed_from_ms = INT64_MAX;
  unix_ms found_ms = 0;
  // When it began; 0: not known.
  unix_ms began_ms = 0;
  // What the lists last told of its progress, and since when that stands.
  int64_t percent = 0;
  unix_ms percent_since_ms = 0;
};

// An amount of room; may exceed what there is.
struct room_sum {
  int64_t cpu_milli = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
};

struct leased_upstream {
  wire::upstream info;
  // Invariant: the sum of `need` over `runs`.
  room_sum used;
  // The version of the list of upstreams that named it first. Tasks run only
  // where their entry host knows that the owner has this upstream: if the owner
  // is lost, the next one must look there.
  uint64_t listed_since = 0;
  // A list was read under the current token.
  bool listed = false;
  // Upstream's clock less ours.
  std::optional<int64_t> clock_offset_ms;
  unix_ms clock_read_ms = 0;
  // Our time by which every lease that was asked for has run out.
  unix_ms leases_over_ms = 0;
  uint64_t last_seen = 0;
  // The hold under way; 0: none.
  uint64_t hold_order = 0;
  unix_ms hold_sent_ms = 0;
  // The last hold was answered. Until then no lease is renewed, so that its
  // runs come to an end if the upstream is cut off.
  bool reachable = true;
  unix_ms next_hold_ms = 0;
  unix_ms heard_ms = 0;
  // No new work before this time.
  unix_ms rest_until_ms = 0;
  // It was ejected: after its rest it gets one task at a time until one ends
  // well.
  bool on_probation = false;
  // By task name.
  std::map<std::string, leased_run> runs;
};

struct pool_task {
  bool queued = true;
  uint32_t failures = 0;
  uint32_t next_attempt = 1;
  // Upstreams where an attempt failed or made too little progress.
  std::set<std::string> failed_on;
  // Attempts that were stopped to run elsewhere.
  int moves = 0;
  wire::run_outcome outcome = wire::RUN_UNSPECIFIED;
};

// Tasks of one step that one entry host asked for.
struct pool_job {
  std::string from;
  wire::run_request request;
  unix_ms deadline_ms = 0;
  unix_ms aim_ms = 0;
  // Where a former owner may have started its tasks.
  std::vector<std::string> former_upstreams;
  // A task was ordered, so that one may have begun.
  bool started = false;
  // The objective can't be met any more.
  bool late = false;
  // The longest run of a task that ended well; 0: none has.
  int64_t longest_run_ms = 0;
  std::map<uint32_t, pool_task> tasks;
};

// A request that names (submission, step).
using pool_job_id = std::pair<uint64_t, uint32_t>;

struct pool_peer {
  // The newest time of this process that the peer is known to have seen. A
  // message that waited while this process stood still proves nothing newer.
  unix_ms heard_ms = 0;
  uint64_t incarnation = 0;
  // Messages in both directions; what the two sides count differs when some
  // were lost.
  uint64_t requests_received = 0;
  uint64_t results_sent = 0;
  // The list of upstreams that it has.
  uint64_t has_upstreams = 0;
};

// Order of service: those that can still meet their objective before those
// that can't, then priority, then the latest useful start, then arrival.
using queue_key = std::tuple<bool, uint32_t, unix_ms, pool_job_id>;

struct pool_options {
  int64_t lease_ms = 1000;
};

// Work that was asked for lately: processor room (thousandths of a core) times
// estimated time (ms), faded.
struct load_meter {
  double work = 0;
  unix_ms read_ms = 0;
};

struct pool {
  // See pool_name.h.
  std::string name;
  pool_options options;
  // 0: not the owner.
  uint64_t token = 0;
  // The highest token ever held: one that was lost is never used again.
  uint64_t highest_token = 0;
  unix_ms owned_since_ms = 0;
  // Numbers hold the token in their upper half, so that those of different
  // pools and of former grants are told apart.
  uint64_t next_order = 1;
  // Orders under way: the upstream and, but for holds, the task.
  std::map<uint64_t, run_order> orders;
  std::map<std::string, leased_upstream> upstreams;
  // Rises when an upstream comes or goes.
  uint64_t upstreams_version = 1;
  // Three failures in a row are a share of 0.49. Tasks come one by one to an
  // upstream, and each failure uses up an attempt of a job.
  health_table health{{}, {3, 0.45}, {}};
  std::map<pool_job_id, pool_job> jobs;
  // Submissions that were released, and when: a request that comes after its
  // release was overtaken by it and must start nothing.
  std::map<uint64_t, unix_ms> released;
  std::map<std::string, pool_peer> peers;
  std::set<queue_key> queue;
  // By service.
  std::map<std::string, load_meter> load;
  // Task names with an unsettled run, and where it is.
  std::map<std::string, std::string> placed;
  // Ends that a new owner found and that nobody has asked for yet.
  std::map<std::string, std::pair<run_end, unix_ms>> found_ends;
  // Until then found runs may be adopted.
  unix_ms adoptable_until_ms = 0;
  // Something changed that may let a queued task start.
  bool may_place = false;
};

// What the pool wants done.
struct pool_output {
  std::vector<run_order> orders;
  std::vector<std::pair<std::string, wire::run_results>> results;
  std::vector<log_event> notes;
  // A fence rejected an order: this process owns nothing any more.
  bool lost = false;
};

void own_pool(pool& pool, uint64_t token, unix_ms now, pool_output& out);
// The token under which an order was numbered.
uint64_t token_of_order(uint64_t order);
// Forgets all: another process owns the upstreams.
void disown_pool(pool& pool);

// An upstream appeared or changed.
void learn_upstream(pool& pool,
                    const wire::upstream& heard,
                    unix_ms now,
                    pool_output& out);

void request_runs(pool& pool,
                  const std::string& from,
                  const wire::run_request& request,
                  unix_ms now,
                  pool_output& out);
void release_runs(pool& pool,
                  uint64_t submission,
                  unix_ms now,
                  pool_output& out);
// An entry host was alive when this process's clock showed `echo_ms`. Returns
// whether that is recent; what comes with an older echo must not be obeyed,
// since its sender may be gone and its callers elsewhere.
bool hear_peer(pool& pool,
               const std::string& host,
               uint64_t incarnation,
               unix_ms echo_ms,
               unix_ms now,
               pool_output& out);

// The answer to an entry host's hello: room and queue, and what was lost on the
// way between the two.
wire::pool_state answer_hello(pool& pool,
                              const std::string& host,
                              const wire::pool_hello& hello,
                              unix_ms now);

void order_replied(pool& pool,
                   uint64_t order,
                   const order_reply& reply,
                   unix_ms now,
                   pool_output& out);

void tick_pool(pool& pool, unix_ms now, pool_output& out);

// Starts what can be started. Ends each series of changes; does nothing unless
// one of them may let a queued task start.
void place_tasks(pool& pool, unix_ms now, pool_output& out);

// Free and queued room by service, for the choice of a zone.
wire::pool_state describe_pool(const pool& pool, unix_ms now);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_POOL_H_
