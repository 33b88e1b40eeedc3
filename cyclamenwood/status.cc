// Renders the entry host's state as the JSON pages /v1/status and
// /v1/upstreams, which operators read.
#include <nlohmann/json.hpp>

#include "cyclamenwood/entry.h"

namespace cyclamenwood {
namespace {

using json = nlohmann::json;

std::string_view state_name(const entry_state& state,
                            const upstream_view& upstream,
                            unix_ms now) {
  if (upstream.record.state() == wire::UPSTREAM_LEAVING)
    return "leaving";
  if (!registry_usable(state.upstreams, upstream, now))
    return "silent";
  auto health = state.health.upstreams.find(upstream.record.id());
  bool ejected = health != state.health.upstreams.end() &&
                 health->second.ejected_until_ms > now;
  return ejected ? "ejected" : "ready";
}

}  // namespace

std::string describe_status(const entry_state& state, unix_ms now) {
  json page;
  page["host"] = state.host;
  page["zone"] = state.zone;
  page["incarnation"] = state.incarnation;
  page["serving"] = is_serving(state);
  page["draining"] = state.draining;
  page["config_confirmed"] = state.config.confirmed;
  page["bundle_version"] = version_in_force(state);
  page["queued_tasks"] = state.queued_tasks;
  page["running_tasks"] = state.attempts.size();
  page["jobs_held"] = state.jobs.size();
  page["claims_pending"] = state.claims.size();
  page["queries_pending"] = state.queries.size();
  page["upstreams_known"] = state.upstreams.upstreams.size();
  json peers = json::object();
  for (const auto& [host, holder] : state.upstreams.holders) {
    peers[host]["reachable"] = now < holder.usable_until_ms;
    peers[host]["draining"] = holder.draining;
  }
  page["entry_hosts"] = peers;
  json groups = json::object();
  for (const auto& [group, replicas] : state.group_replicas) {
    auto leader = state.group_leader.find(group);
    groups[group]["last_answered_by"] =
        leader == state.group_leader.end() ? "" : replicas[leader->second];
  }
  page["groups"] = groups;
  return page.dump();
}

std::string describe_upstreams(const entry_state& state, unix_ms now) {
  json list = json::array();
  for (const auto& [id, upstream] : state.upstreams.upstreams) {
    json item;
    item["id"] = id;
    item["incarnation"] = upstream.record.incarnation();
    item["service"] = upstream.record.service();
    item["zone"] = upstream.record.zone();
    item["address"] = upstream.record.address();
    item["slots"] = upstream.record.slots();
    item["holder"] = upstream.holder;
    item["state"] = state_name(state, upstream, now);
    auto health = state.health.upstreams.find(id);
    if (health != state.health.upstreams.end()) {
      item["running"] = health->second.running;
      item["failure_rate"] = health->second.failure_rate;
    }
    list.push_back(item);
  }
  json page;
  page["upstreams"] = list;
  page["bundle_version"] = version_in_force(state);
  return page.dump();
}

}  // namespace cyclamenwood
