// Maps HTTP requests of an entry host's interface to reducer events and pages.
//
//   entry_route route = route_request(request, limits, now);
#ifndef CYCLAMENWOOD_ENTRY_HTTP_H_
#define CYCLAMENWOOD_ENTRY_HTTP_H_

#include <optional>
#include <string>
#include <variant>

#include "cyclamenwood/entry.h"
#include "cyclamenwood/http_server.h"

namespace cyclamenwood {

// Pages that are rendered from the current state without a reducer event;
// `drain` also starts the drain.
enum class entry_page {
  home,
  health,
  status,
  metrics,
  upstreams,
  bundle,
  drain,
};

// The target of a request: an event for the reducer, a page, or the error with
// which an invalid request is answered.
using entry_route = std::variant<entry_event, entry_page, error>;

// Routes one request. `now` becomes the time of the event. Fails with
// not_found, wrong_method or the error of the body's parser.
entry_route route_request(const http_request& request,
                          const http_settings& limits,
                          unix_ms now);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ENTRY_HTTP_H_
