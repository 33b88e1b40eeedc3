// HTTP for callers, upstreams and operators: libmicrohttpd on the event loop.
//
//   http_server server(loop, limits, [&](http_request request) {
//     server.respond(request.exchange, {200, "{}"});   // now or later
//   });
//   server.listen("127.0.0.1:8001");
//
// Everything runs on the loop's thread. Bodies above the limit are answered
// with request_too_large and never reach the handler.
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
  // Names the exchange in `respond`.
  uint64_t exchange = 0;
  std::string method;
  // Without the query string.
  std::string path;
  std::string body;
  // Those of `captured_headers` that the request has.
  std::map<std::string, std::string> headers;
};

class http_server {
 public:
  using handler = std::function<void(http_request)>;
  using gone_handler = std::function<void(uint64_t exchange)>;

  http_server(event_loop& loop,
              const http_settings& limits,
              handler handle,
              gone_handler gone);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  ~http_server();

  // Names of the request headers that handlers want to see. Before `listen`.
  void capture_headers(std::vector<std::string> names);

  // Takes connections at "ip:port". An address that another process listens on
  // is an error; port 0 picks a free one.
  result<done> listen(const std::string& address);
  // The port that `listen` took.
  uint16_t port() const;

  // Answers an exchange; unknown and answered exchanges are ignored.
  void respond(uint64_t exchange, const api_answer& answer);

  // From now on no connection is taken and each is closed after its answer.
  void close_after_answers();
  // Exchanges whose answer has not been sent whole.
  size_t open_exchanges() const;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_HTTP_SERVER_H_
