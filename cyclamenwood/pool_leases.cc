// How long a run may last that nobody wants any more.
//
// A caller whose entry host fails, or answers that the outcome is not known,
// submits its job again after `resubmission_ms`, at any entry host, and its
// tasks may then go to any pool. No process knows of both submissions, so that
// the runs of the first one must be over by then.
//
// Stops can't ensure that. They may be lost or carried out late, and an owner
// may fail before it sends them. The lease of the upstream can, as it ends
// whatever happens. Each run therefore has a limit, beyond which no owner
// extends the lease of its upstream:
//
// - Requested by an entry host: the time when that was last known to be alive,
//   plus the time until callers submit their jobs again. A host that exchanges
//   hellos moves the limit ahead of the lease, but not while it has sent a
//   release that was not confirmed.
// - Not wanted any more, but its stop was not acknowledged: the same, from the
//   time when it was last known to be wanted.
// - Found by a new owner and not requested so far: no extension. That of the
//   former owner obeyed the limit.
//
// A start can't shorten the lease that its upstream already has. A task is
// therefore started only where that lease ends in time too.
//
// The price: if stops remain unanswered for as long, the other runs on the
// upstream end with the lease.
#include <algorithm>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {
namespace {

// An upstream's clock may be 2% slow; the margin covers the error in reading
// it.
constexpr double SLOWEST_CLOCK = 0.98;
constexpr int64_t LEASE_MARGIN_MS = 30;
// The time by which runs end before their job may be submitted again.
constexpr int64_t RESUBMISSION_MARGIN_MS = 100;
// The part of that margin that a new run needs.
constexpr int64_t START_MARGIN_MS = 30;
// The longest lease is shorter than the time until resubmission by this much,
// so that it keeps away no task of an entry host that exchanges hellos, even if
// both hosts are slow.
constexpr int64_t LEASE_RESERVE_MS = 400;
// A task whose lease may be no longer than this would hardly outlive the next
// two renewals.
constexpr int64_t MIN_START_LEASE_MS = 2 * RENEWAL_WAIT_MS;

unix_ms limit_of_contact(const pool& pool, unix_ms contact_ms) {
  return contact_ms + pool.options.resubmission_ms - RESUBMISSION_MARGIN_MS;
}

// INT64_MAX: none; 0: the lease must not be extended.
unix_ms limit_of_run(const pool& pool, const leased_run& run) {
  if (is_stopped(run) || is_barred_start(run))
    return INT64_MAX;
  if (run.orphaned_ms != 0)
    return limit_of_contact(pool, run.orphaned_ms);
  auto job = pool.jobs.find({run.submission, run.step});
  if (job == pool.jobs.end())
    return 0;
  auto peer = pool.peers.find(job->second.from);
  if (peer == pool.peers.end())
    return 0;
  return limit_of_contact(pool, last_wanted_ms(peer->second));
}

int64_t usual_lease_ms(const pool& pool) {
  return std::min(pool.options.lease_ms,
                  pool.options.resubmission_ms - LEASE_RESERVE_MS);
}

int64_t longest_lease(int64_t length_ms) {
  return static_cast<int64_t>(static_cast<double>(length_ms) / SLOWEST_CLOCK) +
         LEASE_MARGIN_MS;
}

}  // namespace

unix_ms last_wanted_ms(const pool_peer& peer) {
  return std::min(peer.last_contact_ms, peer.unconfirmed_release_ms);
}

unix_ms lease_limit(const pool& pool, const leased_upstream& upstream) {
  unix_ms limit_ms = INT64_MAX;
  for (const auto& [name, run] : upstream.runs)
    limit_ms = std::min(limit_ms, limit_of_run(pool, run));
  return limit_ms;
}

bool may_start_under_lease(const pool& pool,
                           const leased_upstream& upstream,
                           unix_ms wanted_ms,
                           unix_ms now) {
  return upstream.leases_expire_ms <=
             wanted_ms + pool.options.resubmission_ms - START_MARGIN_MS &&
         lease_limit(pool, upstream) >= now + MIN_START_LEASE_MS;
}

int64_t extend_lease(const pool& pool, leased_upstream& upstream, unix_ms now) {
  int64_t left_ms = lease_limit(pool, upstream) - now;
  if (!upstream.clock_offset_ms || left_ms <= LEASE_MARGIN_MS)
    return 0;
  int64_t length_ms = std::min(
      usual_lease_ms(pool),
      static_cast<int64_t>(static_cast<double>(left_ms - LEASE_MARGIN_MS) *
                           SLOWEST_CLOCK));
  upstream.leases_expire_ms =
      std::max(upstream.leases_expire_ms, now + longest_lease(length_ms));
  return now + *upstream.clock_offset_ms + length_ms;
}

void assume_longest_lease(const pool& pool,
                          leased_upstream& upstream,
                          unix_ms now) {
  upstream.leases_expire_ms = std::max(
      upstream.leases_expire_ms, now + longest_lease(usual_lease_ms(pool)));
}

}  // namespace cyclamenwood
