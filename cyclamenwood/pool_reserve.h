// Reservations: upstreams that are kept for waiting tasks.
//
// Without them a task that needs much of an upstream starves beside a stream of
// small ones: each part that becomes free is taken before the whole is free.
//
// One object serves one placement, which visits the queue in the order of
// service. The foremost tasks that fit on no upstream each reserve the one
// where they are expected to fit first. Tasks behind may start there only if
// that does not delay the reserved one. Tasks ahead may start anywhere; they
// prefer the upstreams that the placement before did not reserve.
//
// Nothing is reserved unless `pool_options::reserve_for_waiting` is set.
// docs/design/reservations.md has the reasons.
#ifndef CYCLAMENWOOD_POOL_RESERVE_H_
#define CYCLAMENWOOD_POOL_RESERVE_H_

#include <optional>
#include <string_view>
#include <vector>

#include "cyclamenwood/pool.h"

namespace cyclamenwood {

// Reservations of a service at a time.
constexpr size_t MAX_RESERVATIONS = 4;
// Searches of a service in a placement. Tasks that would start too late get no
// reservation, but their searches cost as much.
constexpr size_t MAX_RESERVATION_SEARCHES = 2 * MAX_RESERVATIONS;
// Time between the searches for a task whose reservation is still expected in
// time. A search visits all upstreams and runs; placements are more frequent.
constexpr int64_t SEARCH_INTERVAL_MS = 20;
// How long other tasks are kept waiting for one: longer than the longest task
// that may run before it (900 ms), shorter than callers wait (1,500 ms).
constexpr int64_t HOLD_LIMIT_MS = 1'000;

// When and how a task is expected to fit on an upstream.
struct expected_fit {
  unix_ms at_ms = 0;
  // What remains free beside it at that time.
  resource_amount spare;
};

// Returns nothing if the task does not fit after all runs of known end, either.
// A run beyond its expected end is expected to take as long again as it is
// late. `alone`: the task runs on an upstream of its own.
std::optional<expected_fit> find_expected_fit(const pool& pool,
                                              const leased_upstream& upstream,
                                              const wire::room& need,
                                              bool alone,
                                              unix_ms now);

// Returns the reservation of the upstream as of the last placement, or null.
const upstream_reservation* find_reservation(const pool& pool,
                                             std::string_view upstream);

class reservation_plan {
 public:
  // `pool` must outlive this object.
  reservation_plan(pool& pool, unix_ms now);

  // Whether a task of the request may start there now without a delay of the
  // task for which the upstream is reserved.
  bool allows(const leased_upstream& upstream,
              const wire::run_request& request) const;

  // Whether the upstream is reserved for a task that was visited before.
  bool is_reserved(const leased_upstream& upstream) const;

  // Whether it was reserved at the end of the last placement.
  bool was_reserved(const leased_upstream& upstream) const;

  // Whether a task of the request fits on a reserved upstream and may start.
  bool may_backfill(const wire::run_request& request) const;

  // To be called after the start of a task of the request.
  void task_started(const leased_upstream& upstream,
                    const wire::run_request& request);

  // To be called for a job of which tasks stay queued. Returns the largest free
  // processor capacity of an upstream that was reserved for it; 0 if none was.
  int64_t job_waits(pool_job& job, pool_output& out);

  // Stores the reservations in the pool.
  void finish();

 private:
  struct entry {
    pool_job* job = nullptr;
    uint32_t task = 0;
    const leased_upstream* upstream = nullptr;
    expected_fit fit;
    // It keeps another task from starting.
    bool holds = false;
  };
  struct candidate {
    const leased_upstream* upstream = nullptr;
    expected_fit fit;
  };

  const entry* find_entry(const leased_upstream& upstream) const;
  // Whether a task of the request is expected to end on the reserved upstream
  // before the reserved time.
  bool ends_before(const entry& reserved,
                   const wire::run_request& request) const;
  bool delays(const entry& reserved, const wire::run_request& request) const;
  // Whether a task of the job fits on a reserved upstream at present. Notes
  // which reservations keep it from starting.
  bool fits_reserved(const pool_job& job);
  void count_held_back(pool_job& job);
  // Whether no further task of the service is visited.
  bool is_full(std::string_view service) const;
  bool may_search(const wire::run_request& request);
  bool may_take(const leased_upstream& upstream,
                const pool_job& job,
                uint64_t known_version) const;
  // Returns the upstream that was reserved in the last placement if no search
  // is due.
  candidate keep_previous(const pool_job& job,
                          uint32_t index,
                          uint64_t known_version) const;
  bool is_dropped(pool_task& task, const std::string& name, pool_output& out);
  void update_largest_free();
  bool reserve_for_task(pool_job& job, uint32_t task, pool_output& out);
  candidate find_first_fit(const pool_job& job,
                           const pool_task& task,
                           uint64_t known_version) const;

  pool& pool_;
  unix_ms now_;
  bool enabled_;
  std::vector<entry> entries_;
  // The largest free processor capacity of a reserved upstream, from which most
  // waiting tasks are seen not to fit on any.
  int64_t largest_free_milli_ = -1;
  // Tasks visited by service. A full service has no further reservation.
  struct service_searches {
    std::string_view service;
    size_t count = 0;
    bool is_full = false;
  };
  std::vector<service_searches> searches_;
  // Reserved at the end of the last placement.
  std::vector<const leased_upstream*> previous_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_POOL_RESERVE_H_
