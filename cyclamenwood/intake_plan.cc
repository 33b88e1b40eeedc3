// Chooses the pools for the unassigned tasks of jobs. Pools of evacuated zones
// are left out, also when their owners do not know of the evacuation yet.
#include <algorithm>
#include <set>
#include <utility>

#include "cyclamenwood/intake_internal.h"
#include "cyclamenwood/neighbours.h"

namespace cyclamenwood {
namespace {

// A pool gets no new job when its last message is older than this: three
// replies to hellos are missing.
constexpr int64_t POOL_TIMEOUT_MS = 600;
// A task is queued after its return by this many pools. By then the states of
// most neighbours are as recent as those returns.
constexpr uint32_t MAX_RETURNS = 4;

bool is_unassigned(const intake_task& task) {
  return task.pool.empty();
}

pool_distance distance_to(const intake& intake, const std::string& name) {
  const wire::owner_grant& grant = intake.grants.at(name);
  if (grant.host() == intake.host)
    return pool_distance::own_host;
  return grant.zone() == intake.zone ? pool_distance::own_zone
                                     : pool_distance::other_zone;
}

bool is_in_evacuated_zone(const intake& intake, const std::string& pool) {
  if (intake.evacuations.zones.empty())
    return false;
  auto grant = intake.grants.find(pool);
  return grant != intake.grants.end() &&
         is_evacuated(intake.evacuations, grant->second.zone());
}

// Whether the first report of a pool of another zone is still to come. Hellos
// may have begun with the evacuation.
bool awaits_report(const intake& intake, unix_ms now) {
  bool hellos_are_new = now - intake.evacuations.received_ms <= POOL_TIMEOUT_MS;
  std::set<std::string> pools = choose_neighbours(
      intake.grants, intake.zone, intake.host, intake.evacuations.zones);
  return std::any_of(pools.begin(), pools.end(), [&](const auto& name) {
    return !is_fresh(intake, name, now) &&
           (hellos_are_new || find_current_pool(intake, name) == nullptr);
  });
}

bool has_evacuated_pool(const intake& intake) {
  return !intake.evacuations.zones.empty() &&
         std::any_of(intake.grants.begin(), intake.grants.end(),
                     [&intake](const auto& item) {
                       return is_evacuated(intake.evacuations,
                                           item.second.zone());
                     });
}

}  // namespace

const pool_view* find_current_pool(const intake& intake,
                                   const std::string& name) {
  auto pool = intake.pools.find(name);
  auto grant = intake.grants.find(name);
  bool current = pool != intake.pools.end() && grant != intake.grants.end() &&
                 pool->second.token == grant->second.token();
  return current ? &pool->second : nullptr;
}

bool is_fresh(const intake& intake, const std::string& name, unix_ms now) {
  const pool_view* pool = find_current_pool(intake, name);
  return pool != nullptr && now - pool->last_contact_ms <= POOL_TIMEOUT_MS;
}

step_plan plan_step(const intake& intake,
                    const intake_job& job,
                    uint32_t index,
                    unix_ms now) {
  step_plan planned;
  for (const auto& [name, pool] : intake.pools) {
    auto room = pool.rooms.find(job.queue.service);
    if (room == pool.rooms.end() || !is_fresh(intake, name, now) ||
        is_in_evacuated_zone(intake, name))
      continue;
    planned.rooms[name] = room->second;
    planned.rooms[name].distance = distance_to(intake, name);
  }
  const step_spec& step = job.job.steps[index];
  const std::vector<intake_task>& tasks = job.steps[index].tasks;
  planned.pools = choose_pools(
      planned.rooms,
      {step.need.cpu_milli(), step.estimate_ms, job.queue.priority},
      std::count_if(tasks.begin(), tasks.end(), is_unassigned));
  return planned;
}

void apply_plan(intake& intake,
                intake_job& job,
                uint32_t index,
                step_plan&& planned) {
  const pool_plan& plan = planned.pools;
  size_t next = 0;
  for (intake_task& task : job.steps[index].tasks) {
    if (!is_unassigned(task) || next == plan.pools.size())
      continue;
    task.pool = plan.pools[next];
    task.returnable = !plan.queued[next] && task.returns < MAX_RETURNS;
    ++next;
  }
  for (auto& [name, room] : planned.rooms)
    intake.pools[name].rooms[job.queue.service] = std::move(room);
}

bool cannot_finish_in_time(const intake_job& job,
                           const pool_plan& plan,
                           unix_ms now) {
  unix_ms ends_ms = now + plan.wait_ms + critical_path_ms(job.job);
  bool too_late = ends_ms > job.deadline_ms;
  bool past_objective = ends_ms > job.objective_ms;
  return plan.wait_ms > 0 && (too_late || (plan.overloaded && past_objective));
}

bool is_runnable(const intake_job& job, uint32_t index) {
  if (job.steps[index].unfinished == 0)
    return false;
  const step_spec& step = job.job.steps[index];
  return std::all_of(
      step.depends_on.begin(), step.depends_on.end(),
      [&job](uint32_t earlier) { return job.steps[earlier].unfinished == 0; });
}

bool has_unassigned(const intake_step& step) {
  return std::any_of(step.tasks.begin(), step.tasks.end(), is_unassigned);
}

bool has_unassigned_tasks(const intake_job& job) {
  for (uint32_t index = 0; index < job.steps.size(); ++index) {
    if (is_runnable(job, index) && has_unassigned(job.steps[index]))
      return true;
  }
  return false;
}

bool is_unservable_by_evacuation(const intake& intake,
                                 const intake_job& job,
                                 const pool_plan& plan,
                                 unix_ms now) {
  return plan.pools.empty() && job.pools.empty() && !job.started &&
         has_evacuated_pool(intake) && !awaits_report(intake, now);
}

void unassign_evacuated_tasks(intake& intake) {
  for (auto& [submission, job] : intake.jobs) {
    for (intake_step& step : job.steps) {
      for (intake_task& task : step.tasks) {
        bool is_waiting = !task.ended && !task.sent && !task.pool.empty();
        if (!is_waiting || !is_in_evacuated_zone(intake, task.pool))
          continue;
        task.pool.clear();
        task.returnable = false;
      }
    }
  }
}

}  // namespace cyclamenwood
