// Ends the HTTP service of a process, and then its event loop.
//
//   server_drain drain(loop, server);
//   drain.begin(current_time() + 500);  // the loop stops by then
//   ...
//   loop.run();
//   server.close();
#ifndef CYCLAMENWOOD_SERVER_DRAIN_H_
#define CYCLAMENWOOD_SERVER_DRAIN_H_

#include <memory>

#include "cyclamenwood/http_server.h"
#include "cyclamenwood/loop.h"
#include "cyclamenwood/types.h"

namespace cyclamenwood {

class server_drain {
 public:
  server_drain(event_loop& loop, http_server& server)
      : loop_(loop), server_(server) {}

  // Quiesces the server. The loop stops when no connection is open, and at
  // `stop_by_ms` at the latest. No effect if it was called before.
  void begin(unix_ms stop_by_ms) {
    if (poll_)
      return;
    poll_ = std::make_unique<periodic_timer>(
        loop_, POLL_INTERVAL_MS, [this, stop_by_ms] {
          if (server_.open_connections() == 0 || current_time() >= stop_by_ms)
            loop_.stop();
        });
    server_.quiesce();
  }

  // Also true for the requests that are received while the server is quiesced.
  bool has_begun() const { return poll_ != nullptr; }

 private:
  static constexpr int64_t POLL_INTERVAL_MS = 10;

  event_loop& loop_;
  http_server& server_;
  std::unique_ptr<periodic_timer> poll_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_SERVER_DRAIN_H_
