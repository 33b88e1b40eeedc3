// Each connection has two pipes, one per direction. A pipe queues the bytes
// that it reads together with the time from which they may be sent (the time of
// the read plus the link's delay). It writes them once that time is reached and
// the direction isn't held. The end of a stream closes the connection after the
// queued bytes have been written.
#include "cyclamenwood/testing/fault_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <future>
#include <list>
#include <map>
#include <thread>
#include <tuple>
#include <vector>

#include "cyclamenwood/loop.h"

namespace cyclamenwood {
namespace {

constexpr int LISTEN_BACKLOG = 1024;
constexpr size_t CHUNK_BYTES = 65536;
constexpr double US_PER_SECOND = 1e6;
constexpr double US_PER_MS = 1e3;

sockaddr_in parse_address(const std::string& text) {
  size_t colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(std::stoi(text.substr(colon + 1)));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

void set_no_delay(int socket) {
  int yes = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
}

struct proxied_link;
struct proxied_connection;

struct queued_chunk {
  int64_t ready_us = 0;
  std::string bytes;
};

// One direction of a connection. `ended` is set when the sender has
// closed it or reading has failed.
struct pipe_state {
  proxied_connection* connection = nullptr;
  bool forward = true;
  int from = -1;
  int to = -1;
  std::deque<queued_chunk> queue;
  bool ended = false;
  ev_io readable{};
  ev_io writable{};
  ev_timer timer{};
};

struct proxied_connection {
  proxied_link* link = nullptr;
  pipe_state pipes[2];
  bool closed = false;
};

struct proxied_link {
  event_loop* loop = nullptr;
  int listener = -1;
  sockaddr_in target{};
  ev_io accept{};
  link_fault fault;
  std::list<std::unique_ptr<proxied_connection>> connections;
};

void close_connection(proxied_connection& connection) {
  if (connection.closed)
    return;
  connection.closed = true;
  struct ev_loop* raw = connection.link->loop->raw();
  for (pipe_state& pipe : connection.pipes) {
    ev_io_stop(raw, &pipe.readable);
    ev_io_stop(raw, &pipe.writable);
    ev_timer_stop(raw, &pipe.timer);
  }
  ::close(connection.pipes[0].from);
  ::close(connection.pipes[0].to);
}

bool is_held(const pipe_state& pipe) {
  const link_fault& fault = pipe.connection->link->fault;
  return pipe.forward ? fault.hold_forward : fault.hold_backward;
}

void flush(pipe_state& pipe) {
  proxied_connection& connection = *pipe.connection;
  struct ev_loop* raw = connection.link->loop->raw();
  ev_io_stop(raw, &pipe.writable);
  ev_timer_stop(raw, &pipe.timer);
  while (!connection.closed && !is_held(pipe) && !pipe.queue.empty()) {
    queued_chunk& first = pipe.queue.front();
    int64_t wait_us = first.ready_us - monotonic_us();
    if (wait_us > 0) {
      ev_now_update(raw);
      ev_timer_set(&pipe.timer, static_cast<double>(wait_us) / US_PER_SECOND,
                   0);
      ev_timer_start(raw, &pipe.timer);
      return;
    }
    ssize_t wrote = send(pipe.to, first.bytes.data(), first.bytes.size(),
                         MSG_NOSIGNAL | MSG_DONTWAIT);
    if (wrote < 0 &&
        (errno == EAGAIN || errno == EINPROGRESS || errno == ENOTCONN)) {
      ev_io_start(raw, &pipe.writable);
      return;
    }
    if (wrote < 0) {
      close_connection(connection);
      return;
    }
    first.bytes.erase(0, wrote);
    if (first.bytes.empty())
      pipe.queue.pop_front();
  }
  if (!connection.closed && pipe.ended && pipe.queue.empty() && !is_held(pipe))
    close_connection(connection);
}

void on_readable(struct ev_loop* /*loop*/, ev_io* io, int /*events*/) {
  auto& pipe = *static_cast<pipe_state*>(io->data);
  char chunk[CHUNK_BYTES];
  ssize_t bytes = recv(pipe.from, chunk, sizeof chunk, MSG_DONTWAIT);
  if (bytes < 0 && (errno == EAGAIN || errno == ENOTCONN))
    return;
  if (bytes <= 0) {
    pipe.ended = true;
    ev_io_stop(pipe.connection->link->loop->raw(), &pipe.readable);
  } else {
    double delay_us = pipe.connection->link->fault.delay_ms * US_PER_MS;
    pipe.queue.push_back({monotonic_us() + static_cast<int64_t>(delay_us),
                          std::string(chunk, bytes)});
  }
  flush(pipe);
}

void start_pipe(proxied_connection& connection,
                bool forward,
                int from,
                int to) {
  pipe_state& pipe = connection.pipes[forward ? 0 : 1];
  pipe.connection = &connection;
  pipe.forward = forward;
  pipe.from = from;
  pipe.to = to;
  ev_io_init(&pipe.readable, on_readable, from, EV_READ);
  ev_io_init(
      &pipe.writable,
      [](struct ev_loop*, ev_io* io, int) {
        flush(*static_cast<pipe_state*>(io->data));
      },
      to, EV_WRITE);
  ev_timer_init(
      &pipe.timer,
      [](struct ev_loop*, ev_timer* timer, int) {
        flush(*static_cast<pipe_state*>(timer->data));
      },
      0, 0);
  pipe.readable.data = &pipe;
  pipe.writable.data = &pipe;
  pipe.timer.data = &pipe;
  ev_io_start(connection.link->loop->raw(), &pipe.readable);
}

void accept_one(proxied_link& link) {
  int from =
      accept4(link.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (from < 0)
    return;
  if (link.fault.refuse) {
    ::close(from);
    return;
  }
  int to = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  set_no_delay(from);
  set_no_delay(to);
  // The connection is made asynchronously; a failure is detected when the
  // socket is read or written.
  std::ignore = ::connect(to, reinterpret_cast<sockaddr*>(&link.target),
                          sizeof link.target);
  link.connections.remove_if(
      [](const auto& connection) { return connection->closed; });
  auto connection = std::make_unique<proxied_connection>();
  connection->link = &link;
  start_pipe(*connection, true, from, to);
  start_pipe(*connection, false, to, from);
  link.connections.push_back(std::move(connection));
}

}  // namespace

struct fault_proxy::implementation {
  event_loop loop;
  std::vector<std::unique_ptr<proxied_link>> links;
  std::thread thread;

  // Runs the work on the proxy's thread and waits until it is done.
  template <typename Work>
  void run(Work work) {
    std::promise<void> done;
    loop.post([&] {
      work();
      done.set_value();
    });
    done.get_future().wait();
  }
};

fault_proxy::fault_proxy()
    : implementation_(std::make_unique<implementation>()) {
  implementation_->thread =
      std::thread([this] { implementation_->loop.run(); });
}

fault_proxy::~fault_proxy() {
  implementation_->run([this] {
    for (auto& link : implementation_->links) {
      for (auto& connection : link->connections)
        close_connection(*connection);
      ev_io_stop(implementation_->loop.raw(), &link->accept);
      ::close(link->listener);
    }
    implementation_->loop.stop();
  });
  implementation_->thread.join();
}

int fault_proxy::add(const std::string& listen_on, const std::string& target) {
  int index = -1;
  implementation_->run([&] {
    auto link = std::make_unique<proxied_link>();
    link->loop = &implementation_->loop;
    link->target = parse_address(target);
    link->listener =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int yes = 1;
    setsockopt(link->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in local = parse_address(listen_on);
    if (bind(link->listener, reinterpret_cast<sockaddr*>(&local),
             sizeof local) != 0 ||
        ::listen(link->listener, LISTEN_BACKLOG) != 0) {
      std::perror(listen_on.c_str());
      std::abort();
    }
    ev_io_init(
        &link->accept,
        [](struct ev_loop*, ev_io* io, int) {
          accept_one(*static_cast<proxied_link*>(io->data));
        },
        link->listener, EV_READ);
    link->accept.data = link.get();
    ev_io_start(implementation_->loop.raw(), &link->accept);
    index = static_cast<int>(implementation_->links.size());
    implementation_->links.push_back(std::move(link));
  });
  return index;
}

void fault_proxy::set(int link, const link_fault& fault) {
  implementation_->run([&] {
    proxied_link& proxied = *implementation_->links[link];
    proxied.fault = fault;
    for (auto& connection : proxied.connections) {
      for (pipe_state& pipe : connection->pipes) {
        if (!connection->closed)
          flush(pipe);
      }
    }
  });
}

void fault_proxy::close_connections(int link) {
  implementation_->run([&] {
    for (auto& connection : implementation_->links[link]->connections)
      close_connection(*connection);
  });
}

}  // namespace cyclamenwood
