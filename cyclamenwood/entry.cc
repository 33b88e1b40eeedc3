// Constructs the reducer's state, routes the events, exchanges the set of known
// upstreams with the other entry hosts and drains the host. Jobs, tasks,
// claims, queries and the bundle are implemented in jobs.cc, dispatch.cc,
// claim_client.cc, job_query.cc and config_follow.cc.
#include "cyclamenwood/entry.h"

#include <fmt/format.h>

#include <algorithm>

#include "cyclamenwood/entry_internal.h"

namespace cyclamenwood {
namespace {

constexpr int STATUS_OK = 200;
// Additional time, after this host has begun to refuse submissions, for pending
// exchanges with other processes.
constexpr int64_t DRAIN_LINGER_MS = 100;

// ---- Upstreams ------------------------------------------------------------

void broadcast(reduction& r, const wire::envelope& envelope) {
  for (const std::string& peer : r.state.peers)
    send(r, peer, envelope);
}

void flush_changes(reduction& r) {
  wire::upstream_delta delta = registry_take_outgoing(r.state.upstreams);
  if (delta.upstreams_size() == 0 && delta.dropped_size() == 0)
    return;
  wire::envelope envelope;
  *envelope.mutable_upstream_delta() = std::move(delta);
  broadcast(r, envelope);
}

wire::envelope make_digest_message(const reduction& r) {
  wire::envelope envelope;
  wire::vouch& vouch = *envelope.mutable_vouch();
  vouch = registry_make_digest(r.state.upstreams);
  vouch.set_draining(r.state.draining);
  for (const auto& [service, load] : r.state.services) {
    int64_t demand = load.queued + load.running;
    if (demand == 0)
      continue;
    wire::service_load& entry = *vouch.add_loads();
    entry.set_service(service);
    entry.set_demand(demand);
  }
  return envelope;
}

void send_digest_when_due(reduction& r) {
  registry& upstreams = r.state.upstreams;
  if (r.now < upstreams.next_digest_ms)
    return;
  upstreams.next_digest_ms = r.now + upstreams.options.vouch_interval_ms;
  broadcast(r, make_digest_message(r));
  health_forget(r.state.health, upstreams.upstreams);
}

void receive_digest(reduction& r, const wire::envelope& envelope) {
  std::optional<wire::sync_request> differing =
      registry_receive_digest(r.state.upstreams, envelope.from(),
                              envelope.incarnation(), envelope.vouch(), r.now);
  if (!differing)
    return;
  wire::envelope request;
  *request.mutable_sync_request() = std::move(*differing);
  send(r, envelope.from(), std::move(request));
}

void receive_sync_request(reduction& r, const wire::envelope& envelope) {
  wire::envelope delta;
  *delta.mutable_upstream_delta() =
      registry_answer_sync(r.state.upstreams, envelope.sync_request());
  send(r, envelope.from(), std::move(delta));
  // Send a digest message at once, so that the peer can verify the repaired
  // copy.
  send(r, envelope.from(), make_digest_message(r));
}

void announce(reduction& r, const entry_announce& event) {
  bool known_zone =
      std::find(r.state.options.zones.begin(), r.state.options.zones.end(),
                event.upstream.zone()) != r.state.options.zones.end();
  if (!known_zone) {
    refuse(r, event.caller,
           error{error_code::malformed_request, "zone: is not known"},
           execution::not_run);
    return;
  }
  announce_result outcome =
      registry_announce(r.state.upstreams, event.upstream, r.now);
  if (outcome == announce_result::changed) {
    log_event(r, "upstream_changed",
              fmt::format("id={} state={}", event.upstream.id(),
                          event.upstream.state() == wire::UPSTREAM_READY
                              ? "ready"
                              : "leaving"));
  }
  flush_changes(r);
  answer(r, event.caller,
         {STATUS_OK,
          fmt::format(R"({{"lease_ms":{},"draining":{},"outdated":{},)"
                      R"("bundle_version":{}}})",
                      r.state.options.membership.upstream_lease_ms,
                      r.state.draining, outcome == announce_result::outdated,
                      version_in_force(r.state))});
  if (outcome == announce_result::changed) {
    unblock(r.state);
    dispatch(r);
  }
}

// ---- Drain ----------------------------------------------------------------

bool has_open_work(const entry_state& state) {
  bool open_job =
      std::any_of(state.jobs.begin(), state.jobs.end(), [](const auto& item) {
        return item.second.phase != job_phase::finished;
      });
  return open_job || !state.roll_outs.empty() || !state.queries.empty() ||
         !state.claims.empty();
}

void start_drain(reduction& r) {
  if (r.state.draining)
    return;
  r.state.draining = true;
  r.state.refuse_at_ms = r.now + r.state.options.drain.notice_ms;
  r.state.drain_limit_ms = r.now + r.state.options.drain.limit_ms;
  log_event(r, "draining", "");
  // Notify the other entry hosts at once that this host no longer needs a share
  // of the slots.
  broadcast(r, make_digest_message(r));
}

void fail_open_jobs(reduction& r) {
  std::vector<uint64_t> open;
  for (const auto& [sequence, owned] : r.state.jobs) {
    if (owned.phase != job_phase::finished)
      open.push_back(sequence);
  }
  for (uint64_t sequence : open) {
    if (job* owned = find_job(r.state, sequence))
      fail_job(r, *owned,
               error{error_code::draining, "drain time limit reached"});
  }
}

void advance_drain(reduction& r) {
  if (!r.state.draining)
    return;
  r.state.refusing = r.state.refusing || r.now >= r.state.refuse_at_ms;
  if (r.now >= r.state.drain_limit_ms)
    fail_open_jobs(r);
  bool linger_elapsed = r.now >= r.state.refuse_at_ms + DRAIN_LINGER_MS;
  bool over = r.now >= r.state.drain_limit_ms;
  if (linger_elapsed && (over || !has_open_work(r.state)))
    emit(r, entry_drained{});
}

// ---- Events ---------------------------------------------------------------

void on_event(reduction& r, const entry_tick& /*event*/) {
  read_config(r);
  registry_expire(r.state.upstreams, r.now);
  flush_changes(r);
  send_digest_when_due(r);
  resend_claims(r);
  resend_queries(r);
  resend_roll_outs(r);
  expire_jobs(r);
  time_out_attempts(r);
  evict_finished(r);
  unblock(r.state);
  dispatch(r);
  advance_drain(r);
}

void on_event(reduction& r, const entry_submit& event) {
  submit(r, event.caller, event.request);
}

void on_event(reduction& r, const entry_job_command& event) {
  job_command(r, event);
}

void on_event(reduction& r, const entry_caller_disconnected& event) {
  caller_disconnected(r, event.caller);
}

void on_event(reduction& r, const entry_announce& event) {
  announce(r, event);
}

void on_event(reduction& r, const entry_task_ended& event) {
  task_ended(r, event);
}

void on_event(reduction& r, const entry_roll_out& event) {
  roll_out(r, event);
}

void on_event(reduction& r, const entry_drain& /*event*/) {
  start_drain(r);
}

void on_event(reduction& r, const entry_received& event) {
  const wire::envelope& envelope = event.envelope;
  switch (envelope.body_case()) {
    case wire::envelope::kClaimReply:
      receive_claim_reply(r, envelope.claim_reply());
      break;
    case wire::envelope::kRollOutReply:
      receive_roll_out_reply(r, envelope.roll_out_reply());
      break;
    case wire::envelope::kConfigState:
      receive_config(r, envelope.from(), envelope.config_state());
      break;
    case wire::envelope::kUpstreamDelta:
      registry_receive_delta(r.state.upstreams, envelope.from(),
                             envelope.upstream_delta(), r.now);
      unblock(r.state);
      dispatch(r);
      break;
    case wire::envelope::kVouch:
      receive_digest(r, envelope);
      break;
    case wire::envelope::kSyncRequest:
      receive_sync_request(r, envelope);
      break;
    case wire::envelope::kJobQuery:
      receive_query(r, envelope.from(), envelope.job_query());
      break;
    case wire::envelope::kJobAnswer:
      receive_job_answer(r, envelope.job_answer());
      break;
    default:
      break;
  }
}

// Returns the names with the replicas of the own zone first.
std::vector<std::string> order_replicas(const settings& all,
                                        const std::vector<std::string>& names,
                                        std::string_view zone) {
  std::vector<std::string> ordered = names;
  std::stable_partition(
      ordered.begin(), ordered.end(), [&](const std::string& name) {
        const replica_settings* found = find_replica(all, name);
        return found != nullptr && found->zone == zone;
      });
  return ordered;
}

}  // namespace

void send(reduction& r, const std::string& host, wire::envelope envelope) {
  envelope.set_from(r.state.host);
  envelope.set_incarnation(r.state.incarnation);
  emit(r, entry_send{host, std::move(envelope)});
}

void count(reduction& r, counter kind) {
  emit(r, entry_count{kind});
}

void log_event(reduction& r, std::string name, std::string detail) {
  emit(r, entry_log_event{std::move(name), std::move(detail)});
}

void answer(reduction& r, uint64_t caller, api_answer reply) {
  emit(r, entry_answer{caller, std::move(reply)});
}

void refuse(reduction& r,
            uint64_t caller,
            const error& reason,
            execution executed) {
  answer(r, caller,
         failure_answer(reason, executed, version_in_force(r.state)));
}

uint64_t new_id(entry_state& state) {
  return state.next_id++;
}

entry_state make_entry(const settings& all,
                       std::string_view host,
                       uint64_t incarnation,
                       uint64_t seed,
                       unix_ms now) {
  entry_state state;
  state.host = host;
  state.incarnation = incarnation;
  state.options = all;
  // Request ids of different incarnations must differ, because a reply to an
  // earlier process of this host may still be in transit.
  state.next_id = stable_hash(fmt::format("{}/{}", host, incarnation));
  state.random.seed(seed);
  const entry_host_settings* self = find_entry_host(all, host);
  if (self != nullptr)
    state.zone = self->zone;
  for (const entry_host_settings& other : all.entry_hosts) {
    if (other.name != host)
      state.peers.push_back(other.name);
  }
  for (const auto& [group, replicas] : all_groups(all))
    state.group_replicas[group] = order_replicas(all, replicas, state.zone);
  state.upstreams.self = host;
  state.upstreams.options = all.membership;
  state.upstreams.next_digest_ms = now;
  state.health.options = all.dispatch;
  state.config.read_at_ms = now;
  return state;
}

entry_effects reduce(entry_state& state, const entry_event& event) {
  unix_ms now = std::visit([](const auto& kind) { return kind.now; }, event);
  reduction r{state, now, {}};
  std::visit([&r](const auto& kind) { on_event(r, kind); }, event);
  return std::move(r.effects);
}

uint64_t version_in_force(const entry_state& state) {
  return state.config.in_force ? state.config.in_force->version : 0;
}

bool is_serving(const entry_state& state) {
  return state.config.in_force.has_value() && !state.draining;
}

std::string_view to_string(counter kind) {
  switch (kind) {
    case counter::task_starts:
      return "task_starts";
    case counter::task_retries:
      return "task_retries";
    case counter::task_cancels:
      return "task_cancels";
    case counter::claim_requests:
      return "claim_requests";
    case counter::claim_resends:
      return "claim_resends";
    case counter::attach_queries:
      return "attach_queries";
    case counter::late_answers:
      return "late_answers";
    case counter::mismatched_answers:
      return "mismatched_answers";
    case counter::duplicate_submissions:
      return "duplicate_submissions";
    case counter::upstream_ejections:
      return "upstream_ejections";
  }
  return "unknown";
}

}  // namespace cyclamenwood
