// Sends tasks to upstreams over HTTP, on the event loop.
//
// Task protocol: a task is started by `POST /v1/tasks` with the payload as the
// body and these headers:
//
//   Cyclamenwood-Task: identity of the attempt, echoed in the answer
//   Cyclamenwood-Tenant, Cyclamenwood-Key, Cyclamenwood-Index: the task
//   Cyclamenwood-Deadline-Ms: time after which the answer is not needed
//
// A 2xx answer with a Content-Length or in chunks is the result. 503 with
// `Cyclamenwood-Not-Started: true` guarantees that nothing was started. Any
// other status means that the task failed. `DELETE /v1/tasks` with the header
// Cyclamenwood-Task cancels an attempt: its answer is not needed any more.
//
// This module never sends a request twice, since the task could then be started
// twice. libcurl would repeat a POST on a new connection if a reused one turned
// out to be closed. The body is therefore supplied by a read function that
// can't be rewound, which prevents this, and a POST without a body always uses
// a new connection.
#ifndef CYCLAMENWOOD_HTTP_CLIENT_H_
#define CYCLAMENWOOD_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "cyclamenwood/entry.h"
#include "cyclamenwood/loop.h"

namespace cyclamenwood {

class http_client {
 public:
  // Called once for each started attempt that is not cancelled. The identity is
  // the one in the answer, empty when there was none.
  using outcome_handler = std::function<void(uint64_t attempt_id,
                                             task_outcome outcome,
                                             std::string echoed_identity,
                                             std::string body)>;

  http_client(event_loop& loop,
              const dispatch_settings& options,
              outcome_handler ended);
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  ~http_client();

  // Starts an attempt.
  void start(const entry_start_task& task);
  // Closes the attempt's request, if it is still open, and sends a cancellation
  // to the upstream. The outcome of the cancellation is not reported.
  void cancel(const entry_cancel_task& task);

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_HTTP_CLIENT_H_
