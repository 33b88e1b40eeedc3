// Serves the metrics of a process of a seeded deployment at /metrics.
//
//   metrics_page page(loop, [&](exposition& all) { all.set(...); });
//   page.listen("127.0.0.1:9100");
//   page.collector().count("answers_total", R"(outcome="completed")");
#ifndef CYCLAMENWOOD_METRICS_PAGE_H_
#define CYCLAMENWOOD_METRICS_PAGE_H_

#include <functional>
#include <memory>
#include <string>

#include "cyclamenwood/error.h"
#include "cyclamenwood/exposition.h"
#include "cyclamenwood/http_server.h"
#include "cyclamenwood/loop.h"

namespace cyclamenwood {

class metrics_page {
 public:
  // `refresh` is called before each page is rendered and sets all gauges; they
  // have been cleared before.
  metrics_page(event_loop& loop, std::function<void(exposition&)> refresh);

  // Listens on "ip:port". An empty address disables the page.
  result<done> listen(const std::string& address);
  uint16_t port() const { return server_.port(); }
  // Closes all connections.
  void close() { server_.close(); }

  // The metrics of the process.
  exposition& collector() { return collector_; }

 private:
  void answer(const http_request& request);

  std::function<void(exposition&)> refresh_;
  exposition collector_;
  http_server server_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_METRICS_PAGE_H_
