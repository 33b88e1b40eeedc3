// A linear search: with a few hundred routes it costs less than the handling of
// the request.
#include "cyclamenwood/route_table.h"

namespace cyclamenwood {

const route* find_route(const route_table& table,
                        std::string_view host,
                        std::string_view path) {
  const route* best = nullptr;
  for (const route& candidate : table.routes) {
    if (candidate.host != host || !path.starts_with(candidate.path_prefix))
      continue;
    if (best == nullptr ||
        candidate.path_prefix.size() > best->path_prefix.size())
      best = &candidate;
  }
  return best;
}

}  // namespace cyclamenwood
