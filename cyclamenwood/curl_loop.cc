// libcurl reports through callbacks which sockets to watch and when its next
// timeout is due. Each socket is mapped to an ev_io watcher, the timeout to
// one ev_timer.
//
// libcurl checks its own time limits before it reads, and may do so for all
// transfers while it handles the socket of one. The deadlines of transfers are
// therefore timers of the lowest priority: libev polls the sockets before it
// determines which timers have expired, and runs these after the sockets that
// are ready. A timer that has expired always runs in the same iteration, so
// that sockets can't delay it any further.
#include "cyclamenwood/curl_loop.h"

#include <algorithm>
#include <utility>

namespace cyclamenwood {
namespace {

constexpr double MS = 1000.0;
// Idle connections kept open for reuse: a quarter of an entry host's file
// descriptors.
constexpr long MAX_IDLE_CONNECTIONS = 1024;

}  // namespace

curl_loop::curl_loop(event_loop& loop,
                     int64_t max_connections_per_host,
                     completion_handler done)
    : loop_(loop), done_(std::move(done)), multi_(curl_multi_init()) {
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &on_socket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &on_timer_change);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(max_connections_per_host));
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
  curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  ev_timer_init(&timer_, on_timer, 0, 0);
  timer_.data = this;
}

curl_loop::~curl_loop() {
  curl_multi_cleanup(multi_);
  ev_timer_stop(loop_.raw(), &timer_);
}

void curl_loop::add(CURL* easy) {
  curl_multi_add_handle(multi_, easy);
}

void curl_loop::remove(CURL* easy) {
  clear_deadline(easy);
  curl_multi_remove_handle(multi_, easy);
}

void curl_loop::set_deadline(CURL* easy, unix_ms deadline_ms) {
  auto [found, added] = deadlines_.try_emplace(easy);
  transfer_deadline& deadline = found->second;
  if (added) {
    deadline.owner = this;
    deadline.easy = easy;
    ev_timer_init(&deadline.timer, on_deadline, 0, 0);
    ev_set_priority(&deadline.timer, EV_MINPRI);
    deadline.timer.data = &deadline;
  }
  ev_timer_stop(loop_.raw(), &deadline.timer);
  // libev adds the interval to the start of the iteration unless it is told to
  // read the clock.
  ev_now_update(loop_.raw());
  auto left_ms = std::max<int64_t>(deadline_ms - current_time(), 0);
  ev_timer_set(&deadline.timer, static_cast<double>(left_ms) / MS, 0);
  ev_timer_start(loop_.raw(), &deadline.timer);
}

void curl_loop::clear_deadline(CURL* easy) {
  auto found = deadlines_.find(easy);
  if (found == deadlines_.end())
    return;
  ev_timer_stop(loop_.raw(), &found->second.timer);
  deadlines_.erase(found);
}

int curl_loop::on_socket(CURL* /*easy*/,
                         curl_socket_t socket,
                         int what,
                         void* self,
                         void* watcher) {
  auto* owner = static_cast<curl_loop*>(self);
  auto* known = static_cast<socket_watcher*>(watcher);
  if (known != nullptr)
    ev_io_stop(owner->loop_.raw(), &known->io);
  if (what == CURL_POLL_REMOVE) {
    delete known;
    curl_multi_assign(owner->multi_, socket, nullptr);
    return 0;
  }
  if (known == nullptr) {
    known = new socket_watcher;
    known->owner = owner;
    curl_multi_assign(owner->multi_, socket, known);
  }
  int events = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) |
               ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
  ev_io_init(&known->io, &on_ready, socket, events);
  known->io.data = known;
  ev_io_start(owner->loop_.raw(), &known->io);
  return 0;
}

void curl_loop::on_ready(struct ev_loop* /*loop*/, ev_io* io, int events) {
  auto* watcher = static_cast<socket_watcher*>(io->data);
  int action = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
               ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
  watcher->owner->handle_events(io->fd, action);
}

int curl_loop::on_timer_change(CURLM* /*multi*/, long timeout_ms, void* self) {
  auto* owner = static_cast<curl_loop*>(self);
  ev_timer_stop(owner->loop_.raw(), &owner->timer_);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set(&owner->timer_, static_cast<double>(timeout_ms) / MS, 0);
  ev_timer_start(owner->loop_.raw(), &owner->timer_);
  return 0;
}

void curl_loop::on_timer(struct ev_loop* /*loop*/,
                         ev_timer* timer,
                         int /*events*/) {
  static_cast<curl_loop*>(timer->data)->handle_events(CURL_SOCKET_TIMEOUT, 0);
}

void curl_loop::on_deadline(struct ev_loop* /*loop*/,
                            ev_timer* timer,
                            int /*events*/) {
  auto* expired = static_cast<transfer_deadline*>(timer->data);
  curl_loop* owner = expired->owner;
  CURL* easy = expired->easy;
  owner->remove(easy);
  owner->done_(easy, CURLE_OPERATION_TIMEDOUT);
}

// The handler may add and remove transfers, so each ended transfer is removed
// before the handler is called.
void curl_loop::handle_events(curl_socket_t socket, int action) {
  int running = 0;
  curl_multi_socket_action(multi_, socket, action, &running);
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE)
      continue;
    CURL* easy = message->easy_handle;
    CURLcode code = message->data.result;
    remove(easy);
    done_(easy, code);
  }
}

}  // namespace cyclamenwood
