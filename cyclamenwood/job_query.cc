// Queries between entry hosts about a job that one of them owns. A query is
// resent until its answer is received, so that a lost answer costs one more
// round trip. While the job is unfinished, the owner acknowledges each query
// as pending; if no acknowledgment is received in time, the query fails and
// the execution state of the job is reported as unknown.
#include "cyclamenwood/entry_internal.h"

namespace cyclamenwood {
namespace {

constexpr int64_t QUERY_INTERVAL_MS = 1000;
constexpr int64_t FIRST_RESEND_MS = 300;
constexpr int STATUS_OK = 200;

void send_query(reduction& r, const pending_query& pending) {
  wire::envelope envelope;
  *envelope.mutable_job_query() = pending.query;
  send(r, pending.owner_host, std::move(envelope));
  count(r, counter::attach_queries);
}

void end_query(reduction& r,
               const pending_query& pending,
               api_answer reply,
               std::string_view outcome) {
  if (pending.job == 0) {
    // The caller that cancels the job receives a success status; callers that
    // wait for the job receive the failure.
    bool cancelled = pending.query.operation() == wire::JOB_CANCEL &&
                     reply.status == http_status(error_code::cancelled);
    if (cancelled)
      reply.status = STATUS_OK;
    answer(r, pending.caller, std::move(reply));
    return;
  }
  if (job* attached = find_job(r.state, pending.job))
    finish_job(r, *attached, std::move(reply), outcome);
}

api_answer unknown_answer(const entry_state& state, error_code code) {
  return failure_answer(error{code, state.host}, execution::unknown,
                        version_in_force(state));
}

void send_pending(reduction& r, const std::string& to, uint64_t query_id) {
  wire::envelope envelope;
  envelope.mutable_job_answer()->set_query_id(query_id);
  envelope.mutable_job_answer()->set_pending(true);
  send(r, to, std::move(envelope));
}

void receive_attach(reduction& r,
                    job& owned,
                    const remote_waiter& waiter,
                    const wire::job_query& query) {
  if (owned.digest != query.digest()) {
    send_job_answer(
        r, waiter,
        failure_answer(error{error_code::key_conflict, query.key()},
                       execution::not_run, version_in_force(r.state)));
    return;
  }
  bool arrived_later = query.submitted_ms() > owned.finished_ms;
  if (may_run_again(owned) && arrived_later) {
    result<submission> request =
        query.service().empty()
            ? parse_job(query.submission(), r.state.options.http)
            : parse_request(query.service(), query.submission(),
                            r.state.options.http);
    bool usable =
        ok(request) && submission_digest(value(request)) == owned.digest;
    if (usable) {
      send_pending(r, waiter.host, waiter.query_id);
      resubmit_for_peer(r, owned, std::move(value(request)), waiter);
      return;
    }
  }
  if (owned.phase == job_phase::finished) {
    send_job_answer(r, waiter, *owned.answer);
    return;
  }
  owned.remote_waiters.insert(waiter);
  send_pending(r, waiter.host, waiter.query_id);
}

}  // namespace

void query_owner(reduction& r,
                 wire::job_operation operation,
                 const job_id& id,
                 const entry_instance& owner,
                 const job* attached,
                 uint64_t caller) {
  uint64_t query_id = new_id(r.state);
  pending_query& pending = r.state.queries[query_id];
  pending.owner_host = owner.host;
  pending.caller = caller;
  pending.resend_at_ms = r.now + FIRST_RESEND_MS;
  pending.give_up_at_ms = r.now + r.state.options.dispatch.owner_timeout_ms;
  wire::job_query& query = pending.query;
  query.set_query_id(query_id);
  query.set_operation(operation);
  query.set_tenant(id.tenant);
  query.set_key(id.key);
  query.set_owner_incarnation(owner.incarnation);
  if (attached != nullptr) {
    pending.job = attached->sequence;
    query.set_digest(attached->digest);
    query.set_submitted_ms(arrival_lower_bound(r.state, *attached));
    query.set_submission(attached->request.body);
    if (attached->request.single)
      query.set_service(attached->request.tasks.front().service);
  }
  send_query(r, pending);
}

void receive_query(reduction& r,
                   const std::string& from,
                   const wire::job_query& query) {
  remote_waiter waiter{from, query.query_id()};
  if (query.owner_incarnation() != r.state.incarnation) {
    send_job_answer(r, waiter,
                    unknown_answer(r.state, error_code::owner_unreachable));
    return;
  }
  job* owned = find_job(r.state, job_id{query.tenant(), query.key()});
  if (owned == nullptr) {
    send_job_answer(r, waiter,
                    unknown_answer(r.state, error_code::answer_not_held));
    return;
  }
  if (query.operation() == wire::JOB_ATTACH) {
    receive_attach(r, *owned, waiter, query);
    return;
  }
  if (query.operation() == wire::JOB_CANCEL &&
      owned->phase != job_phase::finished) {
    owned->remote_waiters.insert(waiter);
    fail_job(r, *owned, error{error_code::cancelled, query.key()});
    return;
  }
  send_job_answer(r, waiter, describe_job(r.state, *owned));
}

void receive_job_answer(reduction& r, const wire::job_answer& reply) {
  auto found = r.state.queries.find(reply.query_id());
  if (found == r.state.queries.end())
    return;
  if (reply.pending()) {
    found->second.resend_at_ms = r.now + QUERY_INTERVAL_MS;
    found->second.give_up_at_ms =
        r.now + QUERY_INTERVAL_MS + r.state.options.dispatch.owner_timeout_ms;
    return;
  }
  pending_query pending = std::move(found->second);
  r.state.queries.erase(found);
  api_answer whole{static_cast<int>(reply.status()), reply.body()};
  end_query(r, pending, std::move(whole), "attached");
}

void send_job_answer(reduction& r,
                     const remote_waiter& waiter,
                     const api_answer& reply) {
  wire::envelope envelope;
  wire::job_answer& body = *envelope.mutable_job_answer();
  body.set_query_id(waiter.query_id);
  body.set_status(reply.status);
  body.set_body(reply.body);
  send(r, waiter.host, std::move(envelope));
}

void resend_queries(reduction& r) {
  std::vector<uint64_t> given_up;
  for (auto& [query_id, pending] : r.state.queries) {
    if (r.now >= pending.give_up_at_ms) {
      given_up.push_back(query_id);
    } else if (r.now >= pending.resend_at_ms) {
      pending.resend_at_ms = r.now + FIRST_RESEND_MS;
      send_query(r, pending);
    }
  }
  for (uint64_t query_id : given_up) {
    auto found = r.state.queries.find(query_id);
    if (found == r.state.queries.end())
      continue;
    pending_query pending = std::move(found->second);
    r.state.queries.erase(found);
    end_query(
        r, pending,
        failure_answer(error{error_code::owner_unreachable, pending.owner_host},
                       execution::unknown, version_in_force(r.state)),
        to_string(error_code::owner_unreachable));
  }
}

}  // namespace cyclamenwood
