// A request is matched by its path first and by its method second, so that a
// wrong method on a known path is distinguished from an unknown path.
#include "cyclamenwood/entry_http.h"

#include <fmt/format.h>

namespace cyclamenwood {
namespace {

constexpr std::string_view JOBS_PATH = "/v1/jobs";
constexpr std::string_view JOB_PREFIX = "/v1/jobs/";
constexpr std::string_view REQUEST_PREFIX = "/v1/requests/";

error wrong_method(const http_request& request) {
  return error{error_code::wrong_method,
               fmt::format("{} {}", request.method, request.path)};
}

entry_route submit_event(const http_request& request,
                         result<submission> parsed,
                         unix_ms now) {
  if (!ok(parsed))
    return failure(parsed);
  return entry_event(
      entry_submit{now, request.exchange, std::move(value(parsed))});
}

entry_route route_job(const http_request& request, unix_ms now) {
  std::string_view rest =
      std::string_view(request.path).substr(JOB_PREFIX.size());
  size_t slash = rest.find('/');
  if (slash == std::string_view::npos || slash == 0 || slash + 1 == rest.size())
    return error{error_code::not_found, request.path};
  entry_job_command command;
  command.now = now;
  command.caller = request.exchange;
  command.id.tenant = rest.substr(0, slash);
  command.id.key = rest.substr(slash + 1);
  if (request.method == "GET")
    command.verb = job_verb::show;
  else if (request.method == "DELETE")
    command.verb = job_verb::cancel;
  else
    return wrong_method(request);
  return entry_event(std::move(command));
}

entry_route route_upstreams(const http_request& request, unix_ms now) {
  if (request.method == "GET")
    return entry_page::upstreams;
  if (request.method != "POST")
    return wrong_method(request);
  result<wire::upstream> parsed = parse_announcement(request.body);
  if (!ok(parsed))
    return failure(parsed);
  return entry_event(
      entry_announce{now, request.exchange, std::move(value(parsed))});
}

entry_route route_bundle(const http_request& request, unix_ms now) {
  if (request.method == "GET")
    return entry_page::bundle;
  if (request.method != "PUT")
    return wrong_method(request);
  return entry_event(entry_roll_out{now, request.exchange, request.body});
}

struct page_route {
  std::string_view path;
  std::string_view method;
  entry_page page;
};

constexpr page_route PAGES[] = {
    {"/v1/home", "GET", entry_page::home},
    {"/healthz", "GET", entry_page::health},
    {"/v1/status", "GET", entry_page::status},
    {"/v1/metrics", "GET", entry_page::metrics},
    {"/v1/drain", "POST", entry_page::drain},
};

}  // namespace

entry_route route_request(const http_request& request,
                          const http_settings& limits,
                          unix_ms now) {
  for (const page_route& row : PAGES) {
    if (request.path != row.path)
      continue;
    if (request.method != row.method)
      return wrong_method(request);
    return row.page;
  }
  if (request.path == JOBS_PATH) {
    if (request.method != "POST")
      return wrong_method(request);
    return submit_event(request, parse_job(request.body, limits), now);
  }
  if (request.path.starts_with(JOB_PREFIX))
    return route_job(request, now);
  if (request.path.starts_with(REQUEST_PREFIX)) {
    if (request.method != "POST")
      return wrong_method(request);
    std::string_view service =
        std::string_view(request.path).substr(REQUEST_PREFIX.size());
    return submit_event(request, parse_request(service, request.body, limits),
                        now);
  }
  if (request.path == "/v1/upstreams")
    return route_upstreams(request, now);
  if (request.path == "/v1/bundle")
    return route_bundle(request, now);
  return error{error_code::not_found, request.path};
}

}  // namespace cyclamenwood
