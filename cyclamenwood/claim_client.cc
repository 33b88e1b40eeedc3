// The client of the claims groups. A request is sent to the replica that last
// answered as leader. A replica that is not the leader replies with the leader
// it knows of, and a request without a reply is sent to the next replica.
// Resending a claim is safe, because a claim is granted again to the same
// owner, incarnation and claim id.
#include <algorithm>

#include "cyclamenwood/entry_internal.h"

namespace cyclamenwood {
namespace {

// Number of redirects that are followed at once. After that, the client pauses
// so that the replicas have time to elect a leader.
constexpr int64_t MAX_REDIRECTS = 2;
constexpr int64_t REDIRECT_PAUSE_MS = 50;

void send_claim(reduction& r, const pending_claim& pending) {
  wire::envelope envelope;
  *envelope.mutable_claim_request() = pending.request;
  send(r, target_of(r.state, pending.route), std::move(envelope));
  count(r, counter::claim_requests);
}

void start_claim(reduction& r, const job_id& id, pending_claim pending) {
  parsed_key key = parse_key(id.tenant, id.key, r.state.config.in_force->zones);
  const dispatch_settings& options = r.state.options.dispatch;
  pending.route =
      start_leader_request(r.state, claims_group_name(key.home_zone), r.now,
                           options.claim_timeout_ms);
  uint64_t request_id = new_id(r.state);
  wire::claim_request& request = pending.request;
  request.set_group(pending.route.group);
  request.set_request_id(request_id);
  wire::claim& claim = *request.mutable_claim();
  claim.set_tenant(id.tenant);
  claim.set_key(id.key);
  claim.set_owner_host(r.state.host);
  claim.set_owner_incarnation(r.state.incarnation);
  claim.set_key_expiry_ms(key.expiry_ms);
  const bundle& config = *r.state.config.in_force;
  claim.set_keep_until_ms(
      key.expiry_ms != 0 ? key.expiry_ms + config.clock_skew_s * MS_PER_SECOND
                         : r.now + config.claim_retention_s * MS_PER_SECOND);
  if (r.state.group_replicas[pending.route.group].empty())
    return;
  send_claim(r, pending);
  r.state.claims.emplace(request_id, std::move(pending));
}

void answer_command(reduction& r,
                    const entry_job_command& command,
                    const wire::claim_reply& reply) {
  if (reply.result() == wire::CLAIM_ABSENT) {
    refuse(r, command.caller, error{error_code::not_found, command.id.key},
           execution::unknown);
    return;
  }
  entry_instance owner{reply.owner_host(), reply.owner_incarnation()};
  bool own = owner.host == r.state.host;
  if (own) {
    refuse(r, command.caller,
           error{error_code::answer_not_held, command.id.key},
           execution::unknown);
    return;
  }
  wire::job_operation operation =
      command.verb == job_verb::cancel ? wire::JOB_CANCEL : wire::JOB_SHOW;
  query_owner(r, operation, command.id, owner, nullptr, command.caller);
}

void decide_claim(reduction& r, job& claiming, const wire::claim_reply& reply) {
  const std::string& key = claiming.request.id.key;
  switch (reply.result()) {
    case wire::CLAIM_GRANTED:
      activate(r, claiming);
      return;
    case wire::CLAIM_CONFLICT:
      fail_job(r, claiming, error{error_code::key_conflict, key},
               execution::not_run);
      return;
    case wire::CLAIM_EXPIRED:
      fail_job(r, claiming, error{error_code::key_expired, key},
               execution::unknown);
      return;
    case wire::CLAIM_FULL:
      fail_job(r, claiming, error{error_code::claim_table_full, key},
               execution::not_run);
      return;
    default:
      attach(r, claiming, {reply.owner_host(), reply.owner_incarnation()});
      return;
  }
}

// Handles the group's reply for a job that failed admission. The refusal
// stands, as `not_run`, only if the reply proves that the key is unclaimed or
// claimed by this host. Any other reply is handled as for an admitted job.
void decide_refusal(reduction& r,
                    job& checked,
                    const wire::claim_reply& reply) {
  error refusal = *checked.refusal;
  switch (reply.result()) {
    case wire::CLAIM_ABSENT:
      // The job is kept if an earlier claim of this host may still be
      // committed.
      if (checked.claim_sent)
        checked.phase = job_phase::claiming;
      fail_job(r, checked, refusal, execution::not_run);
      return;
    case wire::CLAIM_GRANTED:
      // Claimed by this host, which has started no task of it.
      checked.phase = job_phase::claiming;
      fail_job(r, checked, refusal, execution::not_run);
      return;
    case wire::CLAIM_FULL:
      fail_job(r, checked, refusal, execution::not_run);
      return;
    default:
      decide_claim(r, checked, reply);
      return;
  }
}

void give_up(reduction& r, const pending_claim& pending) {
  error reason{error_code::claim_unavailable, pending.route.group};
  if (pending.command) {
    refuse(r, pending.command->caller, reason, execution::unknown);
    return;
  }
  job* waiting = find_job(r.state, pending.job);
  if (waiting == nullptr)
    return;
  // A refusal keeps its own reason, but it cannot report `not_run`.
  if (waiting->phase == job_phase::checking)
    reason = *waiting->refusal;
  if (waiting->claim_sent)
    waiting->phase = job_phase::claiming;
  fail_job(r, *waiting, reason, execution::unknown);
}

}  // namespace

leader_request start_leader_request(const entry_state& state,
                                    std::string_view group,
                                    unix_ms now,
                                    int64_t timeout_ms) {
  leader_request route;
  route.group = group;
  auto leader = state.group_leader.find(group);
  route.target = leader == state.group_leader.end() ? 0 : leader->second;
  route.resend_at_ms = now + state.options.dispatch.claim_resend_ms;
  route.give_up_at_ms = now + timeout_ms;
  return route;
}

const std::string& target_of(const entry_state& state,
                             const leader_request& route) {
  const std::vector<std::string>& replicas =
      state.group_replicas.find(route.group)->second;
  return replicas[route.target % replicas.size()];
}

bool redirect(entry_state& state,
              leader_request& route,
              std::string_view leader_host,
              unix_ms now) {
  const std::vector<std::string>& replicas =
      state.group_replicas.find(route.group)->second;
  auto leader = std::find(replicas.begin(), replicas.end(), leader_host);
  bool known = leader != replicas.end();
  if (known)
    route.target = leader - replicas.begin();
  if (known && route.redirects < MAX_REDIRECTS) {
    ++route.redirects;
    route.resend_at_ms = now + state.options.dispatch.claim_resend_ms;
    return true;
  }
  // resend_due() selects the next replica; step back by one so that it selects
  // the leader named in the reply.
  if (known)
    route.target += replicas.size() - 1;
  route.resend_at_ms = now + REDIRECT_PAUSE_MS;
  return false;
}

bool resend_due(const entry_state& state, leader_request& route, unix_ms now) {
  if (now < route.resend_at_ms)
    return false;
  const std::vector<std::string>& replicas =
      state.group_replicas.find(route.group)->second;
  route.target = (route.target + 1) % replicas.size();
  route.redirects = 0;
  route.resend_at_ms = now + state.options.dispatch.claim_resend_ms;
  return true;
}

void remember_leader(entry_state& state, const leader_request& route) {
  const std::vector<std::string>& replicas =
      state.group_replicas.find(route.group)->second;
  state.group_leader[route.group] = route.target % replicas.size();
}

void request_claim(reduction& r, const job& claiming, bool lookup) {
  pending_claim pending;
  pending.job = claiming.sequence;
  pending.request.set_lookup(lookup);
  wire::claim& claim = *pending.request.mutable_claim();
  claim.set_digest(claiming.digest);
  claim.set_claim_id(claiming.claim_id);
  claim.set_deadline_ms(claiming.request.deadline_ms);
  claim.set_submitted_ms(arrival_lower_bound(r.state, claiming));
  if (!lookup)
    find_job(r.state, claiming.sequence)->claim_sent = true;
  start_claim(r, claiming.request.id, std::move(pending));
}

unix_ms arrival_lower_bound(const entry_state& state, const job& submitted) {
  int64_t skew_ms = state.config.in_force->clock_skew_s * MS_PER_SECOND;
  return submitted.submitted_ms - skew_ms;
}

void look_up_for_command(reduction& r, const entry_job_command& command) {
  pending_claim pending;
  pending.command = command;
  pending.request.set_lookup(true);
  start_claim(r, command.id, std::move(pending));
}

void receive_claim_reply(reduction& r, const wire::claim_reply& reply) {
  auto found = r.state.claims.find(reply.request_id());
  if (found == r.state.claims.end())
    return;
  if (reply.result() == wire::CLAIM_NOT_LEADER) {
    if (redirect(r.state, found->second.route, reply.leader_host(), r.now))
      send_claim(r, found->second);
    return;
  }
  pending_claim pending = std::move(found->second);
  r.state.claims.erase(found);
  remember_leader(r.state, pending.route);
  if (pending.command) {
    answer_command(r, *pending.command, reply);
    return;
  }
  job* waiting = find_job(r.state, pending.job);
  if (waiting == nullptr)
    return;
  waiting->digest_confirmed = reply.result() == wire::CLAIM_GRANTED ||
                              reply.result() == wire::CLAIM_OWNED;
  if (waiting->phase == job_phase::checking)
    decide_refusal(r, *waiting, reply);
  else if (waiting->phase == job_phase::claiming)
    decide_claim(r, *waiting, reply);
}

void resend_claims(reduction& r) {
  std::vector<uint64_t> given_up;
  for (auto& [request_id, pending] : r.state.claims) {
    if (r.now >= pending.route.give_up_at_ms) {
      given_up.push_back(request_id);
    } else if (resend_due(r.state, pending.route, r.now)) {
      count(r, counter::claim_resends);
      send_claim(r, pending);
    }
  }
  for (uint64_t request_id : given_up) {
    auto found = r.state.claims.find(request_id);
    if (found == r.state.claims.end())
      continue;
    pending_claim pending = std::move(found->second);
    r.state.claims.erase(found);
    give_up(r, pending);
  }
}

}  // namespace cyclamenwood
