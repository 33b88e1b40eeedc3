// The HTTP interface of an entry host: which request becomes which event.
#ifndef CYCLAMENWOOD_ENTRY_HTTP_H_
#define CYCLAMENWOOD_ENTRY_HTTP_H_

#include <optional>
#include <string>
#include <variant>

#include "cyclamenwood/entry.h"
#include "cyclamenwood/http_server.h"

namespace cyclamenwood {

// Pages that are read off the state at once.
enum class entry_page {
  home,
  health,
  status,
  metrics,
  upstreams,
  bundle,
  drain,
};

// What a request asks for: an event for the reducer, a page, or the answer to
// a request that is wrong in itself.
using entry_route = std::variant<entry_event, entry_page, error>;

entry_route route_request(const http_request& request,
                          const http_settings& limits,
                          unix_ms now);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ENTRY_HTTP_H_
