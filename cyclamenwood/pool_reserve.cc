#include "cyclamenwood/pool_reserve.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {
namespace {

// The times when runs release their resources.
using release_times = std::vector<std::pair<unix_ms, const wire::room*>>;

unix_ms forecast_end_ms(const pool& pool,
                        const leased_upstream& upstream,
                        const leased_run& run,
                        unix_ms now) {
  unix_ms end_ms = expected_end_ms(pool, upstream, run, now);
  if (end_ms > now)
    return end_ms;
  if (run.started_ms == 0)
    return now + 1;
  // An overdue run has a job and a start: its expected end is in the past.
  const pool_job& job = pool.jobs.at({run.submission, run.step});
  unix_ms due_ms =
      run.started_ms + expected_run_ms(pool, upstream, job.request);
  return now + std::max<int64_t>(now - due_ms, 1);
}

release_times list_release_times(const pool& pool,
                                 const leased_upstream& upstream,
                                 unix_ms now) {
  release_times times;
  times.reserve(upstream.runs.size());
  for (const auto& [name, run] : upstream.runs)
    times.emplace_back(forecast_end_ms(pool, upstream, run, now), &run.need);
  std::sort(times.begin(), times.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  return times;
}

// Below zero if the upstream has become smaller than its runs.
resource_amount unused_resources(const leased_upstream& upstream) {
  const wire::room& capacity = upstream.info.capacity();
  return {capacity.cpu_milli() - upstream.used.cpu_milli,
          capacity.memory_mb() - upstream.used.memory_mb,
          capacity.accelerators() - upstream.used.accelerators};
}

// The last time when a start lets the job meet its deadline.
unix_ms last_useful_start_ms(const pool& pool,
                             const leased_upstream& upstream,
                             const pool_job& job) {
  return job.deadline_ms - expected_run_ms(pool, upstream, job.request);
}

}  // namespace

std::optional<expected_fit> find_expected_fit(const pool& pool,
                                              const leased_upstream& upstream,
                                              const wire::room& need,
                                              bool alone,
                                              unix_ms now) {
  resource_amount free = unused_resources(upstream);
  release_times times = list_release_times(pool, upstream, now);
  unix_ms at_ms = now;
  size_t released = 0;
  while (!fits(need, free) || (alone && released < times.size())) {
    if (released == times.size() || times[released].first == INT64_MAX)
      return std::nullopt;
    // Runs that end at the same time release their resources together.
    at_ms = times[released].first;
    for (; released < times.size() && times[released].first == at_ms;
         ++released)
      add_resources(free, *times[released].second);
  }
  subtract_resources(free, need);
  return expected_fit{at_ms, alone ? resource_amount{} : free};
}

const upstream_reservation* find_reservation(const pool& pool,
                                             std::string_view upstream) {
  const auto& current = pool.reservations.current;
  auto found = std::find_if(
      current.begin(), current.end(),
      [upstream](const auto& item) { return item.upstream == upstream; });
  return found == current.end() ? nullptr : &*found;
}

reservation_plan::reservation_plan(pool& pool, unix_ms now)
    : pool_(pool), now_(now), enabled_(pool.options.reserve_for_waiting) {
  for (const upstream_reservation& reserved : pool.reservations.current) {
    auto found = pool.upstreams.find(reserved.upstream);
    if (found != pool.upstreams.end())
      previous_.push_back(&found->second);
  }
}

const reservation_plan::entry* reservation_plan::find_entry(
    const leased_upstream& upstream) const {
  for (const entry& reserved : entries_) {
    if (reserved.upstream == &upstream)
      return &reserved;
  }
  return nullptr;
}

bool reservation_plan::ends_before(const entry& reserved,
                                   const wire::run_request& request) const {
  int64_t run_ms = expected_run_ms(pool_, *reserved.upstream, request);
  // An estimate of 0 means that nothing is known of the run time.
  return run_ms > 0 && now_ + run_ms <= reserved.fit.at_ms;
}

bool reservation_plan::delays(const entry& reserved,
                              const wire::run_request& request) const {
  return !ends_before(reserved, request) &&
         !fits(request.need(), reserved.fit.spare);
}

bool reservation_plan::allows(const leased_upstream& upstream,
                              const wire::run_request& request) const {
  const entry* reserved = find_entry(upstream);
  return reserved == nullptr || !delays(*reserved, request);
}

bool reservation_plan::is_reserved(const leased_upstream& upstream) const {
  return find_entry(upstream) != nullptr;
}

bool reservation_plan::was_reserved(const leased_upstream& upstream) const {
  return std::find(previous_.begin(), previous_.end(), &upstream) !=
         previous_.end();
}

bool reservation_plan::may_backfill(const wire::run_request& request) const {
  if (request.need().cpu_milli() > largest_free_milli_)
    return false;
  return std::any_of(
      entries_.begin(), entries_.end(), [&](const entry& reserved) {
        return reserved.upstream->info.service() == request.service() &&
               fits(request.need(), free_resources(*reserved.upstream)) &&
               !delays(reserved, request);
      });
}

void reservation_plan::task_started(const leased_upstream& upstream,
                                    const wire::run_request& request) {
  for (entry& reserved : entries_) {
    if (reserved.upstream == &upstream && !ends_before(reserved, request))
      subtract_resources(reserved.fit.spare, request.need());
  }
  update_largest_free();
}

void reservation_plan::update_largest_free() {
  largest_free_milli_ = -1;
  for (const entry& reserved : entries_)
    largest_free_milli_ = std::max(
        largest_free_milli_, free_resources(*reserved.upstream).cpu_milli);
}

bool reservation_plan::fits_reserved(const pool_job& job) {
  if (job.request.need().cpu_milli() > largest_free_milli_)
    return false;
  auto waiting =
      std::count_if(job.tasks.begin(), job.tasks.end(), [](const auto& item) {
        return item.second.queued && !item.second.returnable;
      });
  bool fits_any = false;
  for (entry& reserved : entries_) {
    const leased_upstream& upstream = *reserved.upstream;
    if (upstream.info.service() != job.request.service() ||
        !has_label(upstream.info, job.request.label()) ||
        !fits(job.request.need(), free_resources(upstream)))
      continue;
    fits_any = true;
    reserved.holds =
        reserved.holds || (waiting > 0 && delays(reserved, job.request));
  }
  return fits_any;
}

void reservation_plan::count_held_back(pool_job& job) {
  for (auto& [index, task] : job.tasks) {
    if (task.queued && !task.returnable && !std::exchange(task.held_back, true))
      ++pool_.reservations.tasks_held_back;
  }
}

bool reservation_plan::is_full(std::string_view service) const {
  return std::any_of(searches_.begin(), searches_.end(),
                     [service](const auto& item) {
                       return item.is_full && item.service == service;
                     });
}

bool reservation_plan::may_search(const wire::run_request& request) {
  const std::string& service = request.service();
  auto found = std::find_if(
      searches_.begin(), searches_.end(),
      [&service](const auto& item) { return item.service == service; });
  if (found == searches_.end())
    found = searches_.insert(found, {service, 0, false});
  if (found->is_full)
    return false;
  auto made = std::count_if(
      entries_.begin(), entries_.end(), [&service](const entry& reserved) {
        return reserved.upstream->info.service() == service;
      });
  found->is_full = made >= static_cast<std::ptrdiff_t>(MAX_RESERVATIONS) ||
                   found->count++ >= MAX_RESERVATION_SEARCHES;
  return !found->is_full;
}

int64_t reservation_plan::job_waits(pool_job& job, pool_output& out) {
  if (!enabled_)
    return 0;
  if (fits_reserved(job)) {
    count_held_back(job);
    return 0;
  }
  // Most jobs of a long queue end here.
  if (is_full(job.request.service()))
    return 0;
  size_t before = entries_.size();
  for (const auto& [index, task] : job.tasks) {
    if (!task.queued || task.returnable)
      continue;
    if (!may_search(job.request))
      break;
    // The other tasks of the job are of the same size and kind.
    if (!reserve_for_task(job, index, out))
      break;
  }
  int64_t largest = 0;
  for (size_t i = before; i < entries_.size(); ++i)
    largest =
        std::max(largest, free_resources(*entries_[i].upstream).cpu_milli);
  return largest;
}

bool reservation_plan::reserve_for_task(pool_job& job,
                                        uint32_t index,
                                        pool_output& out) {
  pool_task& task = job.tasks.at(index);
  std::string name = task_name(job.request, index);
  auto peer = pool_.peers.find(job.from);
  if (peer == pool_.peers.end() || pool_.placed.contains(name))
    return false;
  if (is_dropped(task, name, out))
    return false;
  uint64_t known_version = peer->second.known_upstreams_version;
  candidate found = keep_previous(job, index, known_version);
  if (found.upstream == nullptr) {
    if (now_ < task.searched_ms + SEARCH_INTERVAL_MS && !task.has_upstream)
      return false;
    task.searched_ms = now_;
    found = find_first_fit(job, task, known_version);
    task.has_upstream = found.upstream != nullptr;
  }
  if (found.upstream == nullptr)
    return false;
  entries_.push_back({&job, index, found.upstream, found.fit, false});
  update_largest_free();
  if (!std::exchange(task.reserved, true)) {
    ++pool_.reservations.made;
    out.events.push_back(
        {"reservation_made",
         fmt::format("task={} upstream={} expected_ms={}", name,
                     found.upstream->info.id(), found.fit.at_ms - now_)});
  }
  return true;
}

bool reservation_plan::is_dropped(pool_task& task,
                                  const std::string& name,
                                  pool_output& out) {
  if (task.holding_since_ms == 0 ||
      now_ < task.holding_since_ms + HOLD_LIMIT_MS)
    return false;
  if (!std::exchange(task.reservation_dropped, true)) {
    ++pool_.reservations.dropped;
    out.events.push_back(
        {"reservation_dropped", fmt::format("task={} held_ms={}", name,
                                            now_ - task.holding_since_ms)});
  }
  return true;
}

bool reservation_plan::may_take(const leased_upstream& upstream,
                                const pool_job& job,
                                uint64_t known_version) const {
  return may_take_work(pool_, upstream, now_) && !is_reserved(upstream) &&
         upstream.first_listed_version <= known_version &&
         upstream.info.service() == job.request.service() &&
         has_label(upstream.info, job.request.label());
}

reservation_plan::candidate reservation_plan::keep_previous(
    const pool_job& job,
    uint32_t index,
    uint64_t known_version) const {
  const pool_task& task = job.tasks.at(index);
  if (now_ >= task.searched_ms + SEARCH_INTERVAL_MS)
    return {};
  pool_job_id id{job.request.submission(), job.request.step()};
  for (const upstream_reservation& previous : pool_.reservations.current) {
    if (previous.job != id || previous.task != index)
      continue;
    auto found = pool_.upstreams.find(previous.upstream);
    if (found == pool_.upstreams.end() ||
        !may_take(found->second, job, known_version))
      return {};
    std::optional<expected_fit> fit = find_expected_fit(
        pool_, found->second, job.request.need(), task.suspect, now_);
    // The expected end of a run moves with the time until its start is
    // confirmed.
    if (!fit || fit->at_ms > previous.expected_ms + SEARCH_INTERVAL_MS ||
        fit->at_ms <= now_)
      return {};
    return {&found->second, *fit};
  }
  return {};
}

reservation_plan::candidate reservation_plan::find_first_fit(
    const pool_job& job,
    const pool_task& task,
    uint64_t known_version) const {
  const wire::run_request& request = job.request;
  candidate best;
  for (const auto& [id, upstream] : pool_.upstreams) {
    if (!may_take(upstream, job, known_version))
      continue;
    std::optional<expected_fit> fit =
        find_expected_fit(pool_, upstream, request.need(), task.suspect, now_);
    if (!fit || fit->at_ms > last_useful_start_ms(pool_, upstream, job))
      continue;
    // It waits for something other than capacity, such as a lease.
    if (fit->at_ms <= now_)
      return {};
    if (best.upstream == nullptr ||
        std::pair(fit->at_ms, fit->spare.cpu_milli) <
            std::pair(best.fit.at_ms, best.fit.spare.cpu_milli))
      best = {&upstream, *fit};
  }
  return best;
}

void reservation_plan::finish() {
  if (!enabled_)
    return;
  pool_.reservations.current.clear();
  for (const entry& reserved : entries_) {
    pool_.reservations.current.push_back(
        {{reserved.job->request.submission(), reserved.job->request.step()},
         reserved.task,
         reserved.upstream->info.id(),
         reserved.fit.at_ms,
         reserved.fit.spare});
    pool_task& task = reserved.job->tasks.at(reserved.task);
    if (reserved.holds && task.holding_since_ms == 0)
      task.holding_since_ms = now_;
  }
}

}  // namespace cyclamenwood
