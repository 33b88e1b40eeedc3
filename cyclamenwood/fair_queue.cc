// Empty classes stay in the map, since there are few and their pass must be
// kept. Empty tenants are removed, so that the map contains only queued work.
#include "cyclamenwood/fair_queue.h"

#include <algorithm>
#include <vector>

namespace cyclamenwood {
namespace {

template <typename Flows, typename Active>
double smallest_pass(const Flows& flows, Active active) {
  std::optional<double> smallest;
  for (const auto& [name, flow] : flows) {
    if (active(flow) && (!smallest || flow.pass < *smallest))
      smallest = flow.pass;
  }
  return smallest.value_or(0);
}

bool has_tenants(const class_flow& flow) {
  return !flow.tenants.empty();
}

bool has_jobs(const tenant_flow& flow) {
  return !flow.jobs.empty();
}

// The names of the flows in order of their pass.
template <typename Flows>
std::vector<std::pair<double, std::string_view>> by_pass(const Flows& flows) {
  std::vector<std::pair<double, std::string_view>> order;
  for (const auto& [name, flow] : flows)
    order.emplace_back(flow.pass, name);
  std::sort(order.begin(), order.end());
  return order;
}

}  // namespace

void queue_push(fair_queue& queue,
                std::string_view class_name,
                std::string_view tenant,
                const queue_entry& entry) {
  class_flow& flow = queue.classes[std::string(class_name)];
  if (!has_tenants(flow))
    flow.pass = std::max(flow.pass, smallest_pass(queue.classes, has_tenants));
  auto found = flow.tenants.find(tenant);
  if (found == flow.tenants.end()) {
    double pass = smallest_pass(flow.tenants, has_jobs);
    found = flow.tenants.emplace(tenant, tenant_flow{pass, {}}).first;
  }
  found->second.jobs.insert(entry);
}

void queue_remove(fair_queue& queue,
                  std::string_view class_name,
                  std::string_view tenant,
                  const queue_entry& entry) {
  auto flow = queue.classes.find(class_name);
  if (flow == queue.classes.end())
    return;
  auto found = flow->second.tenants.find(tenant);
  if (found == flow->second.tenants.end())
    return;
  found->second.jobs.erase(entry);
  if (found->second.jobs.empty())
    flow->second.tenants.erase(found);
}

std::optional<queue_pick> queue_next(
    const fair_queue& queue,
    const std::function<bool(std::string_view tenant)>& allowed) {
  for (const auto& [class_pass, class_name] : by_pass(queue.classes)) {
    const class_flow& flow = queue.classes.find(class_name)->second;
    for (const auto& [pass, tenant] : by_pass(flow.tenants)) {
      if (!allowed(tenant))
        continue;
      const tenant_flow& jobs = flow.tenants.find(tenant)->second;
      return queue_pick{std::string(class_name), std::string(tenant),
                        jobs.jobs.begin()->job};
    }
  }
  return std::nullopt;
}

void queue_charge(fair_queue& queue,
                  const queue_pick& pick,
                  double cost,
                  double class_weight,
                  double tenant_weight) {
  auto flow = queue.classes.find(pick.class_name);
  if (flow == queue.classes.end())
    return;
  flow->second.pass += cost / class_weight;
  auto tenant = flow->second.tenants.find(pick.tenant);
  if (tenant != flow->second.tenants.end())
    tenant->second.pass += cost / tenant_weight;
}

bool queue_empty(const fair_queue& queue) {
  return std::none_of(
      queue.classes.begin(), queue.classes.end(),
      [](const auto& item) { return has_tenants(item.second); });
}

}  // namespace cyclamenwood
