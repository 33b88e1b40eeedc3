// Functions that the entry reducer's files share; not part of the interface.
#ifndef CYCLAMENWOOD_ENTRY_INTERNAL_H_
#define CYCLAMENWOOD_ENTRY_INTERNAL_H_

#include <string>
#include <string_view>
#include <utility>

#include "cyclamenwood/entry.h"

namespace cyclamenwood {

// One reduction: the state, the time of the event and the effects so far.
struct reduction {
  entry_state& state;
  unix_ms now = 0;
  entry_effects effects;
};

template <typename Effect>
void emit(reduction& r, Effect effect) {
  r.effects.push_back(std::move(effect));
}

void send(reduction& r, const std::string& host, wire::envelope envelope);
void count(reduction& r, counter kind);
void note(reduction& r, std::string name, std::string detail);
void answer(reduction& r, uint64_t caller, api_answer reply);
void refuse(reduction& r,
            uint64_t caller,
            const error& reason,
            execution executed);
uint64_t new_id(entry_state& state);

// ---- jobs.cc: the life of a job -------------------------------------------

void submit(reduction& r, uint64_t caller, submission request);
// Finished without any start, and not by a cancellation.
bool may_run_again(const job& ended);
// Takes up a job that was refused unrun, for another entry host's caller.
void resubmit_for_peer(reduction& r,
                       job& refused,
                       submission request,
                       const remote_waiter& waiter);
void job_command(reduction& r, const entry_job_command& command);
void caller_gone(reduction& r, uint64_t caller);
job* find_job(entry_state& state, const job_id& id);
job* find_job(entry_state& state, uint64_t sequence);
// Ends a job with its whole answer, or with a failure and what is known of
// its tasks.
void finish_job(reduction& r,
                job& ended,
                api_answer reply,
                std::string_view outcome);
void fail_job(reduction& r, job& failed, const error& reason);
void fail_job(reduction& r,
              job& failed,
              const error& reason,
              execution executed);
void attach(reduction& r, job& waiting, const entry_instance& owner);
void activate(reduction& r, job& owned);
api_answer describe_job(const entry_state& state, const job& shown);
void expire_jobs(reduction& r);
void forget_finished(reduction& r);

// ---- dispatch.cc: tasks ---------------------------------------------------

void enqueue_tasks(reduction& r, job& owned);
// Removes waiting tasks from the queues and cancels running attempts.
void withdraw_tasks(reduction& r, job& ended);
void dispatch(reduction& r);
// Some upstream may have become free: queued work is looked at again.
void unblock(entry_state& state);
void task_ended(reduction& r, const entry_task_ended& event);
void time_out_attempts(reduction& r);
double estimate_ms(const entry_state& state,
                   std::string_view service,
                   std::string_view class_name);

// ---- claim_client.cc: requests to claims groups ---------------------------

void request_claim(reduction& r, const job& claiming, bool lookup);
// When a submission arrived, as others may rely on it: less the allowed
// difference of clocks.
unix_ms certain_arrival(const entry_state& state, const job& submitted);
void look_up_for_command(reduction& r, const entry_job_command& command);
void receive_claim_reply(reduction& r, const wire::claim_reply& reply);
void resend_claims(reduction& r);

// Starts, redirects and rotates a request to a group's leader.
leader_request start_leader_request(const entry_state& state,
                                    std::string_view group,
                                    unix_ms now,
                                    int64_t timeout_ms);
const std::string& target_of(const entry_state& state,
                             const leader_request& route);
// True when the request should be sent again at once.
bool redirect(entry_state& state,
              leader_request& route,
              std::string_view leader_host,
              unix_ms now);
// True when it is time to send again; moves on to the next replica.
bool resend_due(const entry_state& state, leader_request& route, unix_ms now);
void remember_leader(entry_state& state, const leader_request& route);

// ---- job_query.cc: questions between entry hosts --------------------------

void ask_owner(reduction& r,
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
