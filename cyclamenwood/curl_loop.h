// libcurl's multi interface on an event loop.
#ifndef CYCLAMENWOOD_CURL_LOOP_H_
#define CYCLAMENWOOD_CURL_LOOP_H_

#include <curl/curl.h>

#include <functional>

#include "cyclamenwood/loop.h"

namespace cyclamenwood {

class curl_loop {
 public:
  // Called when a transfer is over; the handle is already removed and may be
  // cleaned up or added again.
  using done_handler = std::function<void(CURL* easy, CURLcode code)>;

  curl_loop(event_loop& loop,
            int64_t max_connections_per_host,
            done_handler done);
  curl_loop(const curl_loop&) = delete;
  curl_loop& operator=(const curl_loop&) = delete;
  // All handles must have been removed.
  ~curl_loop();

  void add(CURL* easy);
  // Ends a transfer without a call to the handler.
  void remove(CURL* easy);

 private:
  struct socket_watcher {
    ev_io io{};
    curl_loop* owner = nullptr;
  };

  static int on_socket(CURL* easy,
                       curl_socket_t socket,
                       int what,
                       void* self,
                       void* watcher);
  static int on_timer_change(CURLM* multi, long timeout_ms, void* self);
  static void on_ready(struct ev_loop* loop, ev_io* io, int events);
  static void on_timer(struct ev_loop* loop, ev_timer* timer, int events);

  void drive(curl_socket_t socket, int action);

  event_loop& loop_;
  done_handler done_;
  CURLM* multi_;
  ev_timer timer_{};
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_CURL_LOOP_H_
