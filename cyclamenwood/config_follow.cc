// Determines the bundle in force at this entry host.
//
// The version in force must never decrease, not even across a restart. An entry
// host stores nothing on disk, and the replica that it reaches may be behind
// the version that the host had in force before. Any version in force was
// committed, so a majority of the configuration group has it in the log. After
// a start, the host therefore queries all replicas and puts no bundle in force
// until a majority of the members has answered and the newest version applied
// among the answers is as new as the newest one logged. As a consequence, a
// host that restarts while it is partitioned from the majority does not serve
// until the partition heals; hosts that keep running are not affected.
#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "cyclamenwood/entry_internal.h"

namespace cyclamenwood {
namespace {

constexpr int64_t CONFIRM_INTERVAL_MS = 250;
constexpr int64_t READ_INTERVAL_MS = 2000;
constexpr int64_t OWN_ZONE_TIMEOUT_MS = 5000;
constexpr int64_t ROLL_OUT_TIMEOUT_MS = 5000;
constexpr int STATUS_OK = 200;

void apply_bundle(reduction& r, const wire::roll_out& version) {
  config_follower& config = r.state.config;
  if (version.version() <= version_in_force(r.state))
    return;
  result<bundle> parsed = parse_bundle(version.content());
  if (!ok(parsed)) {
    log_event(r, "bundle_unusable", to_string(failure(parsed)));
    return;
  }
  config.in_force = std::move(value(parsed));
  config.content = version.content();
  log_event(r, "bundle_in_force", fmt::format("version={}", version.version()));
  dispatch(r);
}

// Returns the newest membership among the reports, or null if there are none.
const wire::membership* newest_members(const config_follower& config) {
  const wire::config_state* newest = nullptr;
  for (const auto& [host, report] : config.reports) {
    if (newest == nullptr || report.members_index() > newest->members_index())
      newest = &report;
  }
  return newest == nullptr ? nullptr : &newest->members();
}

// Returns whether the reports prove that no version newer than the candidate
// was ever in force.
bool reports_confirm(const config_follower& config) {
  const wire::membership* members = newest_members(config);
  if (members == nullptr)
    return false;
  std::set<uint64_t> voters;
  for (const wire::member& voter : members->voters())
    voters.insert(voter.identity());
  std::set<uint64_t> answered;
  uint64_t applied = 0;
  uint64_t logged = 0;
  for (const auto& [host, report] : config.reports) {
    if (!voters.contains(report.identity()))
      continue;
    answered.insert(report.identity());
    applied = std::max(applied, report.applied_version());
    logged = std::max(logged, report.logged_version());
  }
  bool majority = answered.size() > voters.size() / 2;
  return majority && applied >= logged && config.candidate.version() >= applied;
}

void confirm(reduction& r) {
  config_follower& config = r.state.config;
  if (config.confirmed || !reports_confirm(config))
    return;
  config.confirmed = true;
  log_event(r, "config_confirmed",
            fmt::format("version={}", config.candidate.version()));
  apply_bundle(r, config.candidate);
}

bool in_own_zone(const entry_state& state, const std::string& replica) {
  const replica_settings* found = find_replica(state.options, replica);
  return found != nullptr && found->zone == state.zone;
}

void send_roll_out(reduction& r,
                   uint64_t request_id,
                   const pending_roll_out& pending) {
  wire::envelope envelope;
  wire::roll_out_request& request = *envelope.mutable_roll_out_request();
  request.set_request_id(request_id);
  *request.mutable_roll_out() = pending.content;
  send(r, target_of(r.state, pending.route), std::move(envelope));
}

api_answer roll_out_answer(const entry_state& state,
                           const wire::roll_out_reply& reply) {
  uint64_t in_force = version_in_force(state);
  uint64_t winner = reply.winner().version();
  switch (reply.result()) {
    case wire::ROLL_OUT_ACCEPTED:
      return {STATUS_OK, fmt::format(R"({{"state":"accepted","version":{},)"
                                     R"("bundle_version":{}}})",
                                     winner, in_force)};
    case wire::ROLL_OUT_CONFLICT:
      return failure_answer(
          error{error_code::bundle_conflict,
                fmt::format("version {} was accepted with other content: {}",
                            winner, reply.winner().content())},
          execution::not_run, in_force);
    case wire::ROLL_OUT_STALE:
      return failure_answer(error{error_code::bundle_stale, reply.detail()},
                            execution::not_run, in_force);
    default:
      return failure_answer(error{error_code::bundle_invalid, reply.detail()},
                            execution::not_run, in_force);
  }
}

}  // namespace

void read_config(reduction& r) {
  config_follower& config = r.state.config;
  if (r.now < config.read_at_ms)
    return;
  config.read_at_ms =
      r.now + (config.confirmed ? READ_INTERVAL_MS : CONFIRM_INTERVAL_MS);
  bool own_zone_only = config.confirmed &&
                       r.now < config.own_zone_contact_ms + OWN_ZONE_TIMEOUT_MS;
  for (const std::string& replica : r.state.options.config_group) {
    if (own_zone_only && !in_own_zone(r.state, replica))
      continue;
    wire::envelope envelope;
    envelope.mutable_config_read()->set_have_version(
        config.confirmed ? version_in_force(r.state) : 0);
    send(r, replica, std::move(envelope));
  }
}

void receive_config(reduction& r,
                    const std::string& from,
                    const wire::config_state& state) {
  config_follower& config = r.state.config;
  if (in_own_zone(r.state, from))
    config.own_zone_contact_ms = r.now;
  for (const wire::roll_out& version : state.versions()) {
    if (version.version() > config.candidate.version())
      config.candidate = version;
  }
  if (config.confirmed) {
    apply_bundle(r, config.candidate);
    return;
  }
  wire::config_state& report = config.reports[from];
  report = state;
  report.clear_versions();
  confirm(r);
}

void roll_out(reduction& r, const entry_roll_out& event) {
  result<wire::roll_out> checked = make_roll_out(event.content);
  if (!ok(checked)) {
    refuse(r, event.caller, failure(checked), execution::not_run);
    return;
  }
  uint64_t request_id = new_id(r.state);
  pending_roll_out& pending = r.state.roll_outs[request_id];
  pending.caller = event.caller;
  pending.content = std::move(value(checked));
  pending.route =
      start_leader_request(r.state, CONFIG_GROUP, r.now, ROLL_OUT_TIMEOUT_MS);
  send_roll_out(r, request_id, pending);
}

void receive_roll_out_reply(reduction& r, const wire::roll_out_reply& reply) {
  auto found = r.state.roll_outs.find(reply.request_id());
  if (found == r.state.roll_outs.end())
    return;
  if (reply.result() == wire::ROLL_OUT_NOT_LEADER) {
    if (redirect(r.state, found->second.route, reply.leader_host(), r.now))
      send_roll_out(r, found->first, found->second);
    return;
  }
  remember_leader(r.state, found->second.route);
  uint64_t caller = found->second.caller;
  r.state.roll_outs.erase(found);
  answer(r, caller, roll_out_answer(r.state, reply));
}

void resend_roll_outs(reduction& r) {
  std::vector<uint64_t> given_up;
  for (auto& [request_id, pending] : r.state.roll_outs) {
    if (r.now >= pending.route.give_up_at_ms)
      given_up.push_back(request_id);
    else if (resend_due(r.state, pending.route, r.now))
      send_roll_out(r, request_id, pending);
  }
  for (uint64_t request_id : given_up) {
    uint64_t caller = r.state.roll_outs.at(request_id).caller;
    r.state.roll_outs.erase(request_id);
    refuse(r, caller,
           error{error_code::bundle_unavailable, std::string(CONFIG_GROUP)},
           execution::unknown);
  }
}

}  // namespace cyclamenwood
