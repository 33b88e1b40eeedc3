// The pool of an owner: the upstreams of an availability zone, or of a shard of
// it, and the tasks that run on them. The pool is a reducer without I/O.
//
// A pool receives requests for tasks from entry hosts, queues the tasks, places
// them on upstreams with enough free resources, starts them under leases and
// reports their outcomes.
//
//   pool state;
//   acquire_ownership(state, token, now, out);                 // on a grant
//   request_runs(state, "10.1.0.13:7720", request, now, out);
//   order_replied(state, order, reply, now, out);
//   tick_pool(state, now, out);
//   ... after each series of changes: place_tasks(state, now, out);
//
// Each function appends to `out` what the daemon has to do. Times are in ms on
// the clock of this process unless said otherwise; `now` is the current time.
//
// A task has at most one unsettled run. A run is settled when its end is known,
// or when it is certain that it neither runs nor will: its end was listed, its
// stop was acknowledged and a later list lacks it, or every lease that was ever
// requested for its upstream has expired.
//
// A run ends before the caller of its job may submit that again elsewhere, even
// if its owner and its entry host fail (pool_leases.cc).
//
// A task that was lost with several upstreams (loss_history.h) is not started
// again, since it may have crashed them.
//
// A new owner first reads the lists of all upstreams. It adopts the runs that
// it finds there when an entry host requests them, and stops the others after
// ADOPTION_WINDOW_MS.
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
#include "cyclamenwood/loss_history.h"
#include "cyclamenwood/order.h"
#include "cyclamenwood/run_times.h"
#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

// The jobs of an entry host that has been silent for this long are dropped;
// three consecutive hellos are then missing. Together with the time to stop the
// runs this is less than the time after which callers submit a job again.
constexpr int64_t PEER_TIMEOUT_MS = 600;
// How long a new owner waits for entry hosts to request the runs that it has
// found.
constexpr int64_t ADOPTION_WINDOW_MS = 400;

// The time over which the upstreams of an evacuated zone return to service.
constexpr int64_t RESTORE_MS = 2'000;

// How long an upstream may delay its reply to a renewal until a run ends. Each
// lease is renewed more than twice before it expires.
constexpr int64_t RENEWAL_WAIT_MS = 300;

enum class run_state {
  // Ordered, but not confirmed to run.
  starting,
  running,
  // The stop is ordered; the resources are still reserved.
  stopping,
};

// One attempt of a task on an upstream.
struct leased_run {
  // 0: found on the upstream and not requested by any entry host so far.
  uint64_t submission = 0;
  uint32_t step = 0;
  uint32_t task = 0;
  uint32_t attempt = 0;
  wire::room need;
  run_state state = run_state::starting;
  // Start orders of this attempt that remained unanswered.
  int unanswered_starts = 0;
  int unanswered_stops = 0;
  // When the current order is to be sent again.
  unix_ms resend_ms = INT64_MAX;
  // A list that was requested after this time and lacks the run proves that the
  // run is over.
  unix_ms absence_valid_from_ms = INT64_MAX;
  unix_ms discovered_ms = 0;
  // 0 if unknown.
  unix_ms started_ms = 0;
  // The progress as of the latest list, and the time of its last increase.
  int64_t percent = 0;
  unix_ms last_progress_ms = 0;
  // The incarnation of the upstream before the present one, if the run may
  // belong to it; otherwise 0.
  uint64_t past_incarnation = 0;
  // When the entry host that had requested the run was last known to want it,
  // if it does not any more; otherwise 0.
  unix_ms orphaned_ms = 0;
};

// A start order that was not answered.
struct unanswered_start {
  uint32_t attempt = 0;
  // The incarnation that rejects the order if it arrives now: the one that it
  // was sent to, where its lease expires, or one that has confirmed a stop.
  uint64_t barred_in = 0;
  // The order may be carried out until then.
  unix_ms expires_ms = 0;
};

// An amount of resources; may exceed the capacity of an upstream.
struct resource_amount {
  int64_t cpu_milli = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
};

struct leased_upstream {
  wire::upstream info;
  // Invariant: the sum of `need` over `runs`.
  resource_amount used;
  // The first version of the list of upstreams that contains this one. A task
  // runs here only if its entry host has that version: if the owner fails, the
  // entry host tells the next owner on which upstreams to look for the task.
  uint64_t first_listed_version = 0;
  // A list was received under the current token.
  bool listed = false;
  // The upstream's clock minus the clock of this process.
  std::optional<int64_t> clock_offset_ms;
  unix_ms clock_read_ms = 0;
  // When every lease that was ever requested has expired, on the clock of this
  // process.
  unix_ms leases_expire_ms = 0;
  uint64_t last_end_number = 0;
  // The renewal in progress; 0: none.
  uint64_t renewal_order = 0;
  unix_ms renewal_sent_ms = 0;
  // Whether the last renewal was answered. If not, renewal orders ask for the
  // lists without extending the lease, so that the runs end if the upstream is
  // partitioned from its owner.
  bool reachable = true;
  // An order was unanswered since no process listens at the address, and no
  // list was received since.
  bool connection_refused = false;
  unix_ms next_renewal_ms = 0;
  unix_ms last_contact_ms = 0;
  // No task is started there before this time.
  unix_ms backoff_until_ms = 0;
  // After an evacuation of the zone, no task is started there before this time.
  unix_ms accepts_work_from_ms = 0;
  // A task that may have crashed another upstream runs there alone.
  bool isolated = false;
  // It was ejected: after the back-off it gets one task at a time until one
  // succeeds.
  bool on_probation = false;
  // Learned in this incarnation, if the pool learns speeds.
  upstream_speed speed;
  // By task name.
  std::map<std::string, leased_run> runs;
  // By task name; also of runs that are settled. Another incarnation would
  // carry out such an order, since it knows neither the stop nor the end.
  std::map<std::string, unanswered_start> unanswered_starts;
};

struct pool_task {
  bool queued = true;
  // To be returned to the entry host if it can't start at once. Only a task
  // that was never placed has this set.
  bool returnable = false;
  // It may have crashed an upstream, and runs alone from now on.
  bool suspect = false;
  uint32_t failures = 0;
  uint32_t next_attempt = 1;
  // Upstreams where an attempt failed or progressed too slowly.
  std::set<std::string> failed_on;
  // Attempts that were stopped in order to run elsewhere.
  int moves = 0;
  // The time that it takes at speed 1, as its progress showed when it was
  // moved; 0: not known.
  double size_ms = 0;
  // A reservation was made for it, or is not made any more because it kept
  // other tasks waiting for too long.
  bool reserved = false;
  bool reservation_dropped = false;
  // When an upstream was searched for it last, and whether one was found.
  unix_ms searched_ms = 0;
  bool has_upstream = false;
  // The reservation of another task has kept it from starting.
  bool held_back = false;
  // When its reservation first kept another task from starting; 0: it did not.
  unix_ms holding_since_ms = 0;
  wire::run_outcome outcome = wire::RUN_UNSPECIFIED;
};

// The tasks of one step that an entry host requested.
struct pool_job {
  std::string from;
  wire::run_request request;
  unix_ms deadline_ms = 0;
  unix_ms objective_ms = 0;
  // When it was first requested here.
  unix_ms requested_ms = 0;
  // Upstreams where a previous owner may have started tasks of the job.
  std::vector<std::string> former_upstreams;
  // One of the tasks may have run: its start was ordered, perhaps by a previous
  // owner.
  bool started = false;
  // The objective can no longer be met.
  bool late = false;
  // The longest run of a successful task of the job; 0: none succeeded so far.
  int64_t longest_run_ms = 0;
  std::map<uint32_t, pool_task> tasks;
};

// Identifies a request: (submission, step).
using pool_job_id = std::pair<uint64_t, uint32_t>;

// A submission that was released. A request that arrives after its release was
// overtaken by it and must not start anything.
struct released_submission {
  unix_ms released_ms = 0;
  // Its tasks were here when it was released first, and no start had been
  // ordered for any of them.
  bool unstarted = false;
};

struct pool_peer {
  // The latest time of this process's clock that the peer is known to have
  // received. Unlike the time of arrival, it does not make a message look
  // recent that waited while this process was suspended.
  unix_ms last_contact_ms = 0;
  // Some run may not be wanted since then: the peer waits for the confirmation
  // of a release.
  unix_ms unconfirmed_release_ms = INT64_MAX;
  uint64_t incarnation = 0;
  // Counts of messages in each direction. The counts of the two sides differ
  // when messages were lost.
  uint64_t requests_received = 0;
  uint64_t results_sent = 0;
  // The version of the list of upstreams that the peer has.
  uint64_t known_upstreams_version = 0;
};

// Order of service: jobs that can still meet their objective before those that
// can't; then by priority, latest useful start, and arrival.
using queue_key = std::tuple<bool, uint32_t, unix_ms, pool_job_id>;

struct pool_options {
  int64_t lease_ms = 1000;
  // Callers without an answer submit their job again after this time at the
  // earliest.
  int64_t resubmission_ms = 1300;
  // See host_settings.
  bool learn_speeds = false;
  bool reserve_for_waiting = false;
};

// An upstream that is kept for a waiting task (pool_reserve.h).
struct upstream_reservation {
  pool_job_id job;
  uint32_t task = 0;
  std::string upstream;
  // When the task is expected to start there.
  unix_ms expected_ms = 0;
  // What remains free beside it then.
  resource_amount spare;
};

struct reservation_state {
  // Those of the last placement.
  std::vector<upstream_reservation> current;
  // Tasks, each counted once.
  uint64_t made = 0;
  uint64_t dropped = 0;
  uint64_t tasks_held_back = 0;
};

// Recently requested work, exponentially decayed: processor capacity
// (thousandths of a core) times estimated time (ms).
struct load_meter {
  double work = 0;
  unix_ms read_ms = 0;
};

struct pool {
  // See pool_name.h.
  std::string name;
  pool_options options;
  // 0: not owned by this process.
  uint64_t token = 0;
  // The highest token ever held. A token that was lost is never used again.
  uint64_t highest_token = 0;
  unix_ms owned_since_ms = 0;
  // Order numbers contain the token in their upper half, so that orders of
  // different pools and of earlier grants have different numbers.
  uint64_t next_order = 1;
  // Orders in progress, by number. Each names its upstream and, unless it is a
  // renewal, its task.
  std::map<uint64_t, run_order> orders;
  std::map<std::string, leased_upstream> upstreams;
  // Incremented when an upstream is added or removed.
  uint64_t upstreams_version = 1;
  // Three consecutive failures result in a failure rate of 0.49. The limits are
  // that low since an upstream gets its tasks one by one and each failure uses
  // up an attempt of a job.
  health_table health{{}, {3, 0.45}, {}};
  std::map<pool_job_id, pool_job> jobs;
  std::map<uint64_t, released_submission> released;
  std::map<std::string, pool_peer> peers;
  std::set<queue_key> queue;
  // By service.
  std::map<std::string, load_meter> load;
  // Empty unless the pool learns speeds.
  run_times times;
  // The upstream of each unsettled run, by task name.
  std::map<std::string, std::string> placed;
  // Ends that a new owner found, with the times when it found them, and that no
  // entry host has requested so far.
  std::map<std::string, std::pair<run_end, unix_ms>> unclaimed_ends;
  // The runs that were lost with upstreams of this pool.
  loss_history losses;
  reservation_state reservations;
  // Until this time runs that were found may be adopted.
  unix_ms adoptable_until_ms = 0;
  // A change since the last placement may allow a queued task to start.
  bool placement_due = false;
  // The zone is evacuated: no task is started.
  bool evacuated = false;
  // When the last evacuation of the zone ended; 0: it was never evacuated, or
  // no ramp applies under this token.
  unix_ms restored_ms = 0;
};

// The effects that a pool requests from the daemon.
struct pool_output {
  std::vector<run_order> orders;
  std::vector<std::pair<std::string, wire::run_results>> results;
  // Runs that were lost, for the other hosts that may start their tasks.
  std::vector<wire::run_loss> losses;
  std::vector<log_event> events;
  // An upstream rejected an order because of its fencing token: this process is
  // no longer the owner.
  bool ownership_lost = false;
};

// Acquires the ownership under a granted token, discards all state of an
// earlier ownership, and requests the lists of all known upstreams.
void acquire_ownership(pool& pool,
                       uint64_t token,
                       unix_ms now,
                       pool_output& out);
// Returns the token under which the order was issued.
uint64_t token_of_order(uint64_t order);
// Discards the state of all runs and jobs; the upstreams stay known. Called
// when another process has become the owner.
void release_ownership(pool& pool);

// Begins an evacuation: no task is started until `restore_pool`. The next
// placement returns or ends the queued tasks. Runs go on.
void evacuate_pool(pool& pool, unix_ms now);
// Ends an evacuation. The share of the upstreams that take work rises linearly
// over RESTORE_MS from `restored_ms`, in the order of a hash of their ids.
void restore_pool(pool& pool, unix_ms restored_ms);

// Adds an upstream, or updates it from a newer announcement. Announcements of
// earlier incarnations are ignored.
void update_upstream(pool& pool,
                     const wire::upstream& announced,
                     unix_ms now,
                     pool_output& out);

// Queues the tasks of a request, and reports again the outcomes of those that
// are complete. Other submissions of the same job are released. Does nothing if
// the pool is not owned here or the submission was released.
void request_runs(pool& pool,
                  const std::string& from,
                  const wire::run_request& request,
                  unix_ms now,
                  pool_output& out);
// Stops the runs of a submission and drops its jobs. Requests of the submission
// that arrive later are ignored. Returns whether it is certain that no start
// was ordered for it here; a repeated release gets the same result. `echo_ms`:
// the latest time of this process's clock that the entry host had received when
// it released the submission; 0 if unknown.
bool release_runs(pool& pool,
                  uint64_t submission,
                  unix_ms echo_ms,
                  unix_ms now,
                  pool_output& out);
// Records that the entry host has received a message that this process sent at
// `echo_ms`. Returns whether that is recent. If not, the message that contained
// the echo must be ignored: its sender may have failed, and its callers may
// have connected to another entry host. A new incarnation of the entry host
// loses the jobs of the previous one.
bool update_peer(pool& pool,
                 const std::string& host,
                 uint64_t incarnation,
                 unix_ms echo_ms,
                 unix_ms now,
                 pool_output& out);

// Returns the reply to a hello of an entry host: capacity and queue, and
// whether messages between the two were lost.
wire::pool_state answer_hello(pool& pool,
                              const std::string& host,
                              const wire::pool_hello& hello,
                              unix_ms now);

// Processes the reply to an order. A default `order_reply` stands for a
// time-out.
void order_replied(pool& pool,
                   uint64_t order,
                   const order_reply& reply,
                   unix_ms now,
                   pool_output& out);

// Processes what depends on time: renewals and repeated orders that are due,
// expired leases, and upstreams that are to be removed. Called periodically.
void tick_pool(pool& pool, unix_ms now, pool_output& out);

// Starts the queued tasks that can start. Called after each series of changes;
// does nothing unless one of them may allow a queued task to start.
void place_tasks(pool& pool, unix_ms now, pool_output& out);

// Returns the free capacity and the queued work by service, from which entry
// hosts choose a pool.
wire::pool_state describe_pool(const pool& pool, unix_ms now);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_POOL_H_
