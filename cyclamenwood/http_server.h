// HTTP server for callers, upstreams and operators, on the event loop.
//
//   http_server server(loop, limits, [&](http_request request) {
//     server.respond(request.exchange, {200, "{}"});   // now or later
//   }, [](uint64_t exchange) { ... });
//   server.listen("127.0.0.1:8001");
//
// All functions and handlers run on the loop's thread. A request whose body
// exceeds the limit is answered with request_too_large and does not reach the
// handler.
//
// A server ends in the order of `http_phase`. A process that ends calls `close`
// before it destroys anything that the handlers use, or that takes long to
// destroy: a connection that stays open takes requests.
#ifndef CYCLAMENWOOD_HTTP_SERVER_H_
#define CYCLAMENWOOD_HTTP_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cyclamenwood/api.h"
#include "cyclamenwood/error.h"
#include "cyclamenwood/loop.h"
#include "cyclamenwood/settings.h"

namespace cyclamenwood {

struct http_request {
  // Identifies the request in `respond`.
  uint64_t exchange = 0;
  std::string method;
  // Without the query string.
  std::string path;
  std::string body;
  // The headers selected by `capture_headers` that the request has.
  std::map<std::string, std::string> headers;
};

enum class http_phase {
  serving,
  // Answers tell the callers to use another connection.
  draining,
  // No connection is accepted. One without a request is closed at once, any
  // other one after its answer.
  quiesced,
  // No connection is open.
  closed,
};

class http_server {
 public:
  // Receives each complete request, which must be answered by `respond`. A
  // request whose path or captured headers are not printable UTF-8 is answered
  // 400 and not received, since messages and log lines take text from them.
  using handler = std::function<void(http_request)>;
  // Called when the caller of an unanswered request has disconnected.
  using disconnect_handler = std::function<void(uint64_t exchange)>;

  http_server(event_loop& loop,
              const http_settings& limits,
              handler handle,
              disconnect_handler disconnected);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  // Closes the server. The handlers are not called.
  ~http_server();

  // Sets the names of the request headers that are passed to the handler. Must
  // be called before `listen`.
  void capture_headers(std::vector<std::string> names);

  // Accepts connections at "ip:port"; port 0 selects a free port. Returns
  // listen_failed if the address is invalid or already in use.
  result<done> listen(const std::string& address);
  // The port that the server listens on.
  uint16_t port() const;

  // Answers an exchange. Exchanges that are unknown or have been answered are
  // ignored.
  void respond(uint64_t exchange, const api_answer& answer);

  // Each enters a phase after `listen`; no effect if it was reached before.
  // `quiesce` first receives what callers have sent. `close` cuts the exchanges
  // that are open and calls the disconnect handler for those without an answer.
  // Neither may be called by a handler.
  void drain();
  void quiesce();
  void close();
  http_phase phase() const;

  // The number of exchanges whose answer has not been sent completely.
  size_t open_exchanges() const;
  // The number of connections, with or without an exchange.
  size_t open_connections() const;
  // The number of open connections that have received bytes which were not read
  // yet.
  size_t unread_connections() const;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_HTTP_SERVER_H_
