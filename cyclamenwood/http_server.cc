// libmicrohttpd is driven through its epoll descriptor, which the event loop
// watches. A request that is not answered immediately suspends its connection.
// `respond` stores the answer and resumes the connection; the next run of
// libmicrohttpd then calls the access handler again, which queues the stored
// answer.
//
// While a connection is suspended, libmicrohttpd does not watch its socket, so
// the event loop does, to detect that the caller has disconnected. A request
// may also have waited in the socket until its caller left, if this process was
// slow or suspended; it is not passed to the handler.
//
// libmicrohttpd has no call that closes a connection which waits for its next
// request. Such a connection is shut down here; libmicrohttpd then closes it as
// one whose caller has left. It drops the requests behind an answer that closes
// the connection, which it may have read, so an answer does that only if there
// are none.
#include "cyclamenwood/http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fmt/format.h>
#include <linux/tcp.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <utility>

#include "cyclamenwood/util/log.h"
#include "cyclamenwood/util/text.h"

namespace cyclamenwood {
namespace {

// Interval at which connections are checked for the idle timeout, 30 s by
// default.
constexpr int64_t HOUSEKEEPING_INTERVAL_MS = 1'000;
// A request takes a few runs; more in a row would delay the loop's other work.
constexpr int MAX_RUNS_PER_ITERATION = 16;
// Placeholder that is never sent, as the connection is closed already.
constexpr int STATUS_CALLER_DISCONNECTED = 503;

enum class caller_state { waiting, sends_more, disconnected };

// Reads the state of a connection whose request was received. The end of the
// stream or an error means that the caller has disconnected.
caller_state read_caller_state(int socket) {
  char byte = 0;
  ssize_t got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0)
    return caller_state::sends_more;
  bool is_open = got < 0 && (errno == EAGAIN || errno == EINTR);
  return is_open ? caller_state::waiting : caller_state::disconnected;
}

// Returns nullopt if libmicrohttpd does not tell.
std::optional<int> socket_of(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info == nullptr)
    return std::nullopt;
  return info->connect_fd;
}

// Returns the size of the request line and the headers.
size_t header_bytes(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info = MHD_get_connection_info(
      connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  return info == nullptr ? 0 : info->header_size;
}

// Returns how many bytes the connection has received, read or not; 0 if the
// system does not tell.
uint64_t received_bytes(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return 0;
  return info.tcpi_bytes_received;
}

bool has_disconnected(MHD_Connection* connection) {
  std::optional<int> socket = socket_of(connection);
  return socket && read_caller_state(*socket) == caller_state::disconnected;
}

result<sockaddr_in> parse_address(const std::string& address) {
  size_t colon = address.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  std::string ip = address.substr(0, colon);
  int port = 0;
  std::from_chars(address.data() + colon + 1, address.data() + address.size(),
                  port);
  parsed.sin_port = htons(port);
  if (inet_pton(AF_INET, ip.c_str(), &parsed.sin_addr) != 1)
    return error{error_code::listen_failed, address};
  return parsed;
}

bool is_readable(const http_request& request) {
  return is_printable(request.path) &&
         std::all_of(
             request.headers.begin(), request.headers.end(),
             [](const auto& header) { return is_printable(header.second); });
}

}  // namespace

struct http_server::implementation {
  struct connection_state {
    int socket = -1;
    // A request of it is being received or answered.
    bool has_exchange = false;
    // It was shut down while it had no exchange.
    bool shut_down = false;
    // Size of the requests that were read, without the framing of chunks.
    uint64_t request_bytes = 0;
  };

  // A request that has not been answered completely.
  struct exchange_state {
    uint64_t id = 0;
    MHD_Connection* connection = nullptr;
    http_request request;
    // The body exceeds the limit.
    bool too_large = false;
    // The request was passed to the handler or answered without it.
    bool handled = false;
    // The connection is suspended.
    bool suspended = false;
    std::optional<api_answer> answer;
    // Watches the socket of a suspended connection, to detect that the caller
    // has disconnected.
    ev_io caller{};
    implementation* server = nullptr;
  };

  event_loop& loop;
  http_settings limits;
  handler handle;
  disconnect_handler disconnected;
  MHD_Daemon* daemon = nullptr;
  ev_io readiness{};
  std::unique_ptr<periodic_timer> housekeeping;
  std::map<uint64_t, exchange_state*> exchanges;
  std::map<MHD_Connection*, connection_state> connections;
  std::vector<std::string> captured_headers;
  uint64_t next_exchange = 1;
  http_phase phase = http_phase::serving;
  bool running = false;
  bool run_again = false;

  implementation(event_loop& loop,
                 const http_settings& limits,
                 handler handle,
                 disconnect_handler disconnected)
      : loop(loop),
        limits(limits),
        handle(std::move(handle)),
        disconnected(std::move(disconnected)) {}

  // Whether libmicrohttpd has left work for its next run, such as a request
  // that arrived on a connection just resumed. Its descriptor does not become
  // readable for such work.
  bool has_work_left() {
    MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
    return MHD_get_timeout(daemon, &timeout_ms) == MHD_YES && timeout_ms == 0;
  }

  // Runs libmicrohttpd until it has no work left, at most
  // MAX_RUNS_PER_ITERATION times. An answer given during a run resumes a
  // connection, which requires another run.
  void run() {
    if (running) {
      run_again = true;
      return;
    }
    running = true;
    int runs = 0;
    do {
      run_again = false;
      MHD_run(daemon);
      ++runs;
    } while (runs < MAX_RUNS_PER_ITERATION && (run_again || has_work_left()));
    running = false;
    if (runs == MAX_RUNS_PER_ITERATION)
      ev_feed_event(loop.raw(), &readiness, EV_READ);
    else if (phase == http_phase::quiesced)
      shut_down_idle();
  }

  // Requires that libmicrohttpd has no work left: all requests that it has read
  // are exchanges.
  void shut_down_idle() {
    for (auto& [connection, state] : connections) {
      bool is_idle = !state.has_exchange && !state.shut_down &&
                     read_caller_state(state.socket) == caller_state::waiting;
      if (!is_idle)
        continue;
      state.shut_down = true;
      ::shutdown(state.socket, SHUT_RDWR);
    }
  }

  // Accepts the connections that callers have opened already, as far as the
  // limit of runs allows.
  void accept_waiting() {
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_LISTEN_FD);
    pollfd waiting{info->listen_fd, POLLIN, 0};
    for (int runs = 0; runs < MAX_RUNS_PER_ITERATION; ++runs) {
      run();
      if (::poll(&waiting, 1, 0) <= 0)
        return;
    }
  }

  // Whether the caller has sent bytes behind its latest request.
  static bool has_further_request(const connection_state& connection) {
    return received_bytes(connection.socket) > connection.request_bytes;
  }

  MHD_Result queue_answer(exchange_state& exchange) {
    const api_answer& answer = *exchange.answer;
    MHD_Response* response = MHD_create_response_from_buffer(
        answer.body.size(), const_cast<char*>(answer.body.data()),
        MHD_RESPMEM_MUST_COPY);
    bool is_json = true;
    for (const auto& [name, text] : answer.headers) {
      MHD_add_response_header(response, name.c_str(), text.c_str());
      is_json = is_json && name != "Content-Type";
    }
    if (is_json)
      MHD_add_response_header(response, "Content-Type", "application/json");
    bool ends = phase != http_phase::serving &&
                !has_further_request(connections.at(exchange.connection));
    if (ends)
      MHD_add_response_header(response, "Connection", "close");
    MHD_Result queued =
        MHD_queue_response(exchange.connection, answer.status, response);
    MHD_destroy_response(response);
    return queued;
  }

  api_answer too_large_answer() const {
    return failure_answer(error{error_code::request_too_large, "body"},
                          execution::not_run, 0);
  }

  static api_answer unreadable_answer() {
    return failure_answer(error{error_code::malformed_request, "path"},
                          execution::not_run, 0);
  }

  bool content_length_exceeds_limit(MHD_Connection* connection) const {
    const char* length = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, "Content-Length");
    if (length == nullptr)
      return false;
    std::string_view text(length);
    int64_t bytes = 0;
    std::from_chars(text.data(), text.data() + text.size(), bytes);
    return bytes > limits.max_body_bytes;
  }

  MHD_Result begin(MHD_Connection* connection,
                   const char* url,
                   const char* method,
                   void** context) {
    auto* exchange = new exchange_state;
    exchange->id = next_exchange++;
    exchange->connection = connection;
    exchange->request.exchange = exchange->id;
    exchange->request.method = method;
    exchange->request.path = url;
    for (const std::string& name : captured_headers) {
      const char* text = MHD_lookup_connection_value(
          connection, MHD_HEADER_KIND, name.c_str());
      if (text != nullptr)
        exchange->request.headers[name] = text;
    }
    exchanges[exchange->id] = exchange;
    connection_state& state = connections.at(connection);
    state.has_exchange = true;
    state.request_bytes += header_bytes(connection);
    *context = exchange;
    if (!is_readable(exchange->request))
      exchange->answer = unreadable_answer();
    else if (content_length_exceeds_limit(connection))
      exchange->answer = too_large_answer();
    else
      return MHD_YES;
    exchange->handled = true;
    return queue_answer(*exchange);
  }

  MHD_Result receive(exchange_state& exchange, const char* data, size_t* size) {
    connections.at(exchange.connection).request_bytes += *size;
    size_t total_bytes = exchange.request.body.size() + *size;
    if (total_bytes > static_cast<size_t>(limits.max_body_bytes)) {
      exchange.too_large = true;
      exchange.request.body.clear();
    }
    if (!exchange.too_large)
      exchange.request.body.append(data, *size);
    *size = 0;
    return MHD_YES;
  }

  MHD_Result complete(exchange_state& exchange) {
    if (!exchange.handled) {
      exchange.handled = true;
      if (exchange.too_large)
        exchange.answer = too_large_answer();
      else if (has_disconnected(exchange.connection))
        exchange.answer = discard(exchange.request);
      else
        handle(std::move(exchange.request));
    }
    if (exchange.answer)
      return queue_answer(exchange);
    exchange.suspended = true;
    MHD_suspend_connection(exchange.connection);
    watch_caller(exchange);
    return MHD_YES;
  }

  // Returns a placeholder for the answer.
  static api_answer discard(const http_request& request) {
    log_line(log_level::info, "request_discarded",
             fmt::format("method={} bytes={} reason=caller_disconnected",
                         request.method, request.body.size()));
    return {STATUS_CALLER_DISCONNECTED, "", {}};
  }

  void watch_caller(exchange_state& exchange) {
    std::optional<int> socket = socket_of(exchange.connection);
    if (!socket)
      return;
    exchange.server = this;
    ev_io_init(&exchange.caller, &implementation::on_caller_readable, *socket,
               EV_READ);
    exchange.caller.data = &exchange;
    ev_io_start(loop.raw(), &exchange.caller);
  }

  // Resumes a suspended exchange, so that its stored answer is queued.
  void resume(exchange_state& exchange) {
    ev_io_stop(loop.raw(), &exchange.caller);
    exchange.suspended = false;
    MHD_resume_connection(exchange.connection);
    run();
  }

  // Called when the socket of a suspended connection is readable. Bytes of a
  // following request end the watch.
  static void on_caller_readable(struct ev_loop* loop,
                                 ev_io* watcher,
                                 int /*events*/) {
    auto& exchange = *static_cast<exchange_state*>(watcher->data);
    caller_state state = read_caller_state(watcher->fd);
    if (state == caller_state::sends_more)
      ev_io_stop(loop, watcher);
    if (state != caller_state::disconnected)
      return;
    implementation& self = *exchange.server;
    uint64_t id = exchange.id;
    exchange.answer = api_answer{STATUS_CALLER_DISCONNECTED, "", {}};
    self.resume(exchange);
    self.disconnected(id);
  }

  static MHD_Result on_access(void* self,
                              MHD_Connection* connection,
                              const char* url,
                              const char* method,
                              const char* /*version*/,
                              const char* data,
                              size_t* size,
                              void** context) {
    auto* server = static_cast<implementation*>(self);
    if (*context == nullptr)
      return server->begin(connection, url, method, context);
    auto& exchange = *static_cast<exchange_state*>(*context);
    if (*size > 0)
      return server->receive(exchange, data, size);
    return server->complete(exchange);
  }

  static void on_completed(void* self,
                           MHD_Connection* connection,
                           void** context,
                           MHD_RequestTerminationCode /*code*/) {
    auto* server = static_cast<implementation*>(self);
    auto* exchange = static_cast<exchange_state*>(*context);
    if (exchange == nullptr)
      return;
    uint64_t id = exchange->id;
    bool unanswered = exchange->handled && !exchange->answer;
    server->exchanges.erase(id);
    server->connections.at(connection).has_exchange = false;
    delete exchange;
    *context = nullptr;
    if (unanswered)
      server->disconnected(id);
  }

  static void on_connection(void* self,
                            MHD_Connection* connection,
                            void** /*context*/,
                            MHD_ConnectionNotificationCode change) {
    auto* server = static_cast<implementation*>(self);
    if (change == MHD_CONNECTION_NOTIFY_CLOSED)
      server->connections.erase(connection);
    else
      server->connections[connection].socket =
          socket_of(connection).value_or(-1);
  }

  static void on_ready(struct ev_loop* /*loop*/,
                       ev_io* watcher,
                       int /*events*/) {
    static_cast<implementation*>(watcher->data)->run();
  }
};

http_server::http_server(event_loop& loop,
                         const http_settings& limits,
                         handler handle,
                         disconnect_handler disconnected)
    : implementation_(
          std::make_unique<implementation>(loop,
                                           limits,
                                           std::move(handle),
                                           std::move(disconnected))) {}

http_server::~http_server() {
  implementation_->disconnected = [](uint64_t /*exchange*/) {};
  close();
}

result<done> http_server::listen(const std::string& address) {
  implementation& self = *implementation_;
  result<sockaddr_in> socket_address = parse_address(address);
  if (!ok(socket_address))
    return failure(socket_address);
  const http_settings& limits = self.limits;
  self.daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, 0, nullptr,
      nullptr, &implementation::on_access, &self, MHD_OPTION_SOCK_ADDR,
      &value(socket_address), MHD_OPTION_NOTIFY_COMPLETED,
      &implementation::on_completed, &self, MHD_OPTION_NOTIFY_CONNECTION,
      &implementation::on_connection, &self, MHD_OPTION_CONNECTION_LIMIT,
      static_cast<unsigned int>(limits.max_connections),
      MHD_OPTION_PER_IP_CONNECTION_LIMIT,
      static_cast<unsigned int>(limits.max_connections_per_ip),
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned int>(limits.idle_timeout_s), MHD_OPTION_END);
  if (self.daemon == nullptr)
    return error{error_code::listen_failed, address};
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(self.daemon, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init(&self.readiness, &implementation::on_ready, info->epoll_fd,
             EV_READ);
  self.readiness.data = &self;
  ev_io_start(self.loop.raw(), &self.readiness);
  self.housekeeping = std::make_unique<periodic_timer>(
      self.loop, HOUSEKEEPING_INTERVAL_MS, [&self] { self.run(); });
  return done{};
}

void http_server::respond(uint64_t exchange, const api_answer& answer) {
  implementation& self = *implementation_;
  auto found = self.exchanges.find(exchange);
  if (found == self.exchanges.end() || found->second->answer)
    return;
  found->second->answer = answer;
  if (!found->second->suspended)
    return;
  self.resume(*found->second);
}

void http_server::capture_headers(std::vector<std::string> names) {
  implementation_->captured_headers = std::move(names);
}

void http_server::drain() {
  implementation& self = *implementation_;
  self.phase = std::max(self.phase, http_phase::draining);
}

void http_server::quiesce() {
  implementation& self = *implementation_;
  if (self.phase >= http_phase::quiesced || self.daemon == nullptr)
    return;
  self.phase = http_phase::quiesced;
  self.accept_waiting();
  MHD_socket listening = MHD_quiesce_daemon(self.daemon);
  if (listening != MHD_INVALID_SOCKET)
    ::close(listening);
}

void http_server::close() {
  implementation& self = *implementation_;
  self.phase = http_phase::closed;
  if (self.daemon == nullptr)
    return;
  log_line(
      log_level::info, "connections_closed",
      fmt::format("port={} open={} unread={} open_exchanges={}", port(),
                  open_connections(), unread_connections(), open_exchanges()));
  self.housekeeping.reset();
  ev_io_stop(self.loop.raw(), &self.readiness);
  for (auto& [id, exchange] : self.exchanges) {
    if (!exchange->suspended)
      continue;
    // A disconnect handler may answer other exchanges.
    exchange->suspended = false;
    ev_io_stop(self.loop.raw(), &exchange->caller);
    MHD_resume_connection(exchange->connection);
  }
  MHD_stop_daemon(std::exchange(self.daemon, nullptr));
}

http_phase http_server::phase() const {
  return implementation_->phase;
}

uint16_t http_server::port() const {
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(implementation_->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info->port;
}

size_t http_server::open_exchanges() const {
  return implementation_->exchanges.size();
}

size_t http_server::open_connections() const {
  return implementation_->connections.size();
}

size_t http_server::unread_connections() const {
  const auto& connections = implementation_->connections;
  return std::count_if(connections.begin(), connections.end(),
                       [](const auto& item) {
                         return read_caller_state(item.second.socket) ==
                                caller_state::sends_more;
                       });
}

}  // namespace cyclamenwood
