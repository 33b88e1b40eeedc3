// The address at which a process of a seeded deployment shows its metrics.
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
  // `refresh` sets the gauges before each page.
  metrics_page(event_loop& loop, std::function<void(exposition&)> refresh);

  // Listens on "ip:port"; empty: shows nothing.
  result<done> listen(const std::string& address);
  uint16_t port() const { return server_.port(); }

  exposition& seen() { return seen_; }

 private:
  void answer(const http_request& request);

  std::function<void(exposition&)> refresh_;
  exposition seen_;
  http_server server_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_METRICS_PAGE_H_
