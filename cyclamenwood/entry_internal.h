// Functions shared by the source files of the entry reducer; not part of its
// public interface.
#ifndef CYCLAMENWOOD_ENTRY_INTERNAL_H_
#define CYCLAMENWOOD_ENTRY_INTERNAL_H_

#include <string>
#include <string_view>
#include <utility>

#include "cyclamenwood/entry.h"

namespace cyclamenwood {

// The context of one call of `reduce`: the state, the time of the event and
// the effects emitted so far.
struct reduction {
  entry_state& state;
  unix_ms now = 0;
  entry_effects effects;
};

template <typename Effect>
void emit(reduction& r, Effect effect) {
  r.effects.push_back(std::move(effect));
}

// Shorthands that emit one effect each.
void send(reduction& r, const std::string& host, wire::envelope envelope);
void count(reduction& r, counter kind);
void log_event(reduction& r, std::string name, std::string detail);
void answer(reduction& r, uint64_t caller, api_answer reply);
// Answers the caller with a failure.
void refuse(reduction& r,
            uint64_t caller,
            const error& reason,
            execution executed);
// Returns an id that is unique among the ids of this incarnation.
uint64_t new_id(entry_state& state);

// ---- jobs.cc: states of a job ---------------------------------------------

void submit(reduction& r, uint64_t caller, submission request);
// Returns whether a finished job can be submitted again: it failed without any
// start, and it was not cancelled.
bool may_run_again(const job& ended);
// Submits a job again that was refused and has not run, for a caller at another
// entry host.
void resubmit_for_peer(reduction& r,
                       job& refused,
                       submission request,
                       const remote_waiter& waiter);
void job_command(reduction& r, const entry_job_command& command);
void caller_disconnected(reduction& r, uint64_t caller);
job* find_job(entry_state& state, const job_id& id);
job* find_job(entry_state& state, uint64_t sequence);
// Finishes a job: cancels its remaining tasks and sends `reply` to everyone
// who waits for it. May erase the job.
void finish_job(reduction& r,
                job& ended,
                api_answer reply,
                std::string_view outcome);
// Finishes a job with a failure; without `executed`, the execution state is
// derived from the state of the job's tasks.
void fail_job(reduction& r, job& failed, const error& reason);
void fail_job(reduction& r,
              job& failed,
              const error& reason,
              execution executed);
// Waits for the answer of the owner, or fails the job if the owner is this host
// (under another claim id or incarnation).
void attach(reduction& r, job& waiting, const entry_instance& owner);
// Queues the tasks of a job whose claim was granted, or which needs none.
void activate(reduction& r, job& owned);
// Returns the job's answer, or its current state if it has none yet.
api_answer describe_job(const entry_state& state, const job& shown);
void expire_jobs(reduction& r);
// Erases finished jobs, oldest first, after the retention period or while their
// answers exceed the size limit.
void evict_finished(reduction& r);

// ---- dispatch.cc: tasks ---------------------------------------------------

void enqueue_tasks(reduction& r, job& owned);
// Removes the job's waiting tasks from the queues and cancels its running
// attempts.
void cancel_tasks(reduction& r, job& ended);
// Starts queued tasks while there are upstreams with free slots.
void dispatch(reduction& r);
// Lets `dispatch` consider all services again; called whenever an upstream may
// have become available.
void unblock(entry_state& state);
void task_ended(reduction& r, const entry_task_ended& event);
void time_out_attempts(reduction& r);
// Returns the expected execution time of a task: the observed average, or the
// service's default before the first observation.
double estimate_ms(const entry_state& state,
                   std::string_view service,
                   std::string_view class_name);

// ---- claim_client.cc: requests to claims groups ---------------------------

// Requests a claim for the job, or only looks up its key.
void request_claim(reduction& r, const job& claiming, bool lookup);
// Returns a time that is not later than the submission's arrival by the clock
// of any host: the local arrival time less the allowed clock skew.
unix_ms arrival_lower_bound(const entry_state& state, const job& submitted);
void look_up_for_command(reduction& r, const entry_job_command& command);
void receive_claim_reply(reduction& r, const wire::claim_reply& reply);
void resend_claims(reduction& r);

// Creates a request to a group's leader. Its first target is the replica that
// last answered as leader.
leader_request start_leader_request(const entry_state& state,
                                    std::string_view group,
                                    unix_ms now,
                                    int64_t timeout_ms);
// Returns the replica to which the request is to be sent.
const std::string& target_of(const entry_state& state,
                             const leader_request& route);
// Handles a reply of a replica that is not the leader. Returns true if the
// request should be sent again at once.
bool redirect(entry_state& state,
              leader_request& route,
              std::string_view leader_host,
              unix_ms now);
// Returns true if the request should be sent again, after selecting the next
// replica as its target.
bool resend_due(const entry_state& state, leader_request& route, unix_ms now);
void remember_leader(entry_state& state, const leader_request& route);

// ---- job_query.cc: queries between entry hosts ----------------------------

// Sends a query about a job to its owner. `attached` is the local job that
// waits for the answer; if it is null, the answer goes to `caller`.
void query_owner(reduction& r,
                 wire::job_operation operation,
                 const job_id& id,
                 const entry_instance& owner,
                 const job* attached,
                 uint64_t caller);
void receive_query(reduction& r,
                   const std::string& from,
                   const wire::job_query& query);
void receive_job_answer(reduction& r, const wire::job_answer& reply);
void send_job_answer(reduction& r,
                     const remote_waiter& waiter,
                     const api_answer& reply);
void resend_queries(reduction& r);

// ---- config_follow.cc: the bundle in force --------------------------------

void read_config(reduction& r);
void receive_config(reduction& r,
                    const std::string& from,
                    const wire::config_state& state);
void roll_out(reduction& r, const entry_roll_out& event);
void receive_roll_out_reply(reduction& r, const wire::roll_out_reply& reply);
void resend_roll_outs(reduction& r);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ENTRY_INTERNAL_H_
