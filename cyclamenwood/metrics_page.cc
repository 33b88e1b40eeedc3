// Serves GET /metrics; every other request is answered with 404. The counts of
// the log are added to the metrics of the process.
#include "cyclamenwood/metrics_page.h"

#include <utility>

#include "cyclamenwood/util/log.h"

namespace cyclamenwood {
namespace {

constexpr int STATUS_OK = 200;
constexpr int STATUS_NOT_FOUND = 404;
constexpr std::string_view PATH = "/metrics";

}  // namespace

metrics_page::metrics_page(event_loop& loop,
                           std::function<void(exposition&)> refresh)
    : refresh_(std::move(refresh)),
      server_(
          loop,
          http_settings(),
          [this](const http_request& request) { answer(request); },
          [](uint64_t /*exchange*/) {}) {}

result<done> metrics_page::listen(const std::string& address) {
  return address.empty() ? result<done>(done{}) : server_.listen(address);
}

void metrics_page::answer(const http_request& request) {
  if (request.method != "GET" || request.path != PATH) {
    server_.respond(request.exchange, {STATUS_NOT_FOUND, "{}", {}});
    return;
  }
  collector_.clear_gauges();
  log_counts logged = get_log_counts();
  collector_.set("log_lines", "", static_cast<double>(logged.lines));
  collector_.set("log_bytes", "", static_cast<double>(logged.bytes));
  collector_.set("log_lines_dropped", "", static_cast<double>(logged.dropped));
  collector_.set("log_lines_suppressed", "",
                 static_cast<double>(logged.suppressed));
  refresh_(collector_);
  server_.respond(request.exchange,
                  {STATUS_OK,
                   collector_.text(),
                   {{"Content-Type", "text/plain; version=0.0.4"}}});
}

}  // namespace cyclamenwood
