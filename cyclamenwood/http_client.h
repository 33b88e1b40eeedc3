// Tasks to upstreams: libcurl's multi interface on the event loop.
//
// The task protocol. `POST /v1/tasks` with the payload as body and the headers
//
//   Cyclamenwood-Task: identity of the attempt, echoed by the answer
//   Cyclamenwood-Tenant, Cyclamenwood-Key, Cyclamenwood-Index: the task
//   Cyclamenwood-Deadline-Ms: when the answer is no longer wanted
//
// A 2xx answer with a Content-Length or chunks is the result. 503 with
// `Cyclamenwood-Not-Started: true` says that nothing was started. Any other
// status says that the task failed. `DELETE /v1/tasks` with the header
// Cyclamenwood-Task tells that an attempt's answer is no longer wanted.
//
// No request is ever sent twice by this module: the body comes from a read
// function that can't be rewound, which keeps libcurl from repeating a POST
// on a fresh connection; a POST without a body uses a fresh connection.
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
  using ended_handler = std::function<void(uint64_t attempt_id,
                                           task_outcome outcome,
                                           std::string echoed_identity,
                                           std::string body)>;

  http_client(event_loop& loop,
              const dispatch_settings& options,
              ended_handler ended);
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  ~http_client();

  void start(const entry_start_task& task);
  void cancel(const entry_cancel_task& task);

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_HTTP_CLIENT_H_
