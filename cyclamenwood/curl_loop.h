// Drives libcurl's multi interface from an event loop.
//
//   curl_loop curl(loop, 60, [](CURL* easy, CURLcode code) { ... });
//   curl.add(easy);
//
// The caller owns the easy handles.
#ifndef CYCLAMENWOOD_CURL_LOOP_H_
#define CYCLAMENWOOD_CURL_LOOP_H_

#include <curl/curl.h>

#include <functional>
#include <map>

#include "cyclamenwood/loop.h"
#include "cyclamenwood/types.h"

namespace cyclamenwood {

class curl_loop {
 public:
  // Called when a transfer has ended. The handle has been removed already and
  // may be cleaned up or added again.
  using completion_handler = std::function<void(CURL* easy, CURLcode code)>;

  curl_loop(event_loop& loop,
            int64_t max_connections_per_host,
            completion_handler done);
  curl_loop(const curl_loop&) = delete;
  curl_loop& operator=(const curl_loop&) = delete;
  // All handles must have been removed.
  ~curl_loop();

  // Starts a transfer.
  void add(CURL* easy);
  // Sets or replaces the deadline of an added transfer, which then ends with
  // CURLE_OPERATION_TIMEDOUT. If the loop runs late, the transfer first reads
  // what its socket has received; CURLOPT_TIMEOUT_MS does not allow for that.
  void set_deadline(CURL* easy, unix_ms deadline_ms);
  // Aborts a transfer without calling the handler.
  void remove(CURL* easy);

 private:
  struct socket_watcher {
    ev_io io{};
    curl_loop* owner = nullptr;
  };

  struct transfer_deadline {
    ev_timer timer{};
    curl_loop* owner = nullptr;
    CURL* easy = nullptr;
  };

  static int on_socket(CURL* easy,
                       curl_socket_t socket,
                       int what,
                       void* self,
                       void* watcher);
  static int on_timer_change(CURLM* multi, long timeout_ms, void* self);
  static void on_ready(struct ev_loop* loop, ev_io* io, int events);
  static void on_timer(struct ev_loop* loop, ev_timer* timer, int events);
  static void on_deadline(struct ev_loop* loop, ev_timer* timer, int events);

  void clear_deadline(CURL* easy);
  // Lets libcurl handle the events of a socket, then reports ended transfers.
  void handle_events(curl_socket_t socket, int action);

  event_loop& loop_;
  completion_handler done_;
  CURLM* multi_;
  ev_timer timer_{};
  // Only of transfers that have been added and have not ended.
  std::map<CURL*, transfer_deadline> deadlines_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_CURL_LOOP_H_
