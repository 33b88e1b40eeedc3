// A stand-in for upstreams in tests and measurements; one process simulates
// many. It is not installed.
//
//   standin-upstream --starts FILE --spec "id zone service ip:port slots
//       entry-http[,entry-http...]" ...
//
// Each upstream accepts tasks on its address, announces itself about once a
// second and appends one line to FILE for every task that it accepts, before
// the task waits for a slot:
//
//   time-ms upstream identity tenant index key
//
// The payload controls how a task behaves, by the words `ms=N` (run time) and
// `mode=M`; the text after a `|` is ignored. The modes:
//
//   ok           responds with "r:" and the payload
//   fail         responds with status 500 after 1 ms
//   silent       never responds
//   close        closes the connection without a response
//   late         responds LATE_DELAY_MS after its run time
//   twice        sends the response two times
//   wrong        responds with the identity of another task
//   truncate     omits the last byte of the response and closes the connection
//   huge         responds with a body of HUGE_RESPONSE_BYTES
//   not_started  rejects the task with status 503 and doesn't log a start
//
// `POST /control` on an upstream's address changes the upstream as a whole. The
// body is `leave` (announce the state leaving), `vanish` (stop announcing), a
// mode that overrides that of all tasks, or `ok` (end the override).
#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <getopt.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "cyclamenwood/curl_loop.h"
#include "cyclamenwood/loop.h"
#include "cyclamenwood/types.h"

namespace cyclamenwood {
namespace {

constexpr int64_t ANNOUNCE_INTERVAL_MS = 1000;
constexpr long ANNOUNCE_TIMEOUT_MS = 700;
constexpr int64_t LATE_DELAY_MS = 3000;
constexpr size_t HUGE_RESPONSE_BYTES = 4 << 20;
constexpr int LISTEN_BACKLOG = 1024;
constexpr int64_t MAX_HOST_CONNECTIONS = 200;

struct upstream_spec {
  std::string id;
  std::string zone;
  std::string service;
  std::string address;
  int slots = 8;
  std::vector<std::string> entries;
};

struct request {
  std::string method;
  std::string path;
  std::string head;
  std::string body;

  std::string header(std::string_view name) const {
    size_t at = head.find(fmt::format("\r\n{}: ", name));
    if (at == std::string::npos)
      return {};
    size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }
};

class standin;

// An accepted connection.
struct connection {
  standin* owner = nullptr;
  int socket = -1;
  ev_io io{};
  std::string buffer;
  uint64_t id = 0;
};

struct task_state {
  std::string mode;
  std::string identity;
  std::string payload;
  int64_t ms = 50;
  uint64_t connection_id = 0;
};

// Value of the word `name=value` in the payload, or the fallback.
std::string payload_option(const std::string& payload,
                           const std::string& name,
                           const std::string& fallback) {
  std::string text = payload.substr(0, payload.find('|'));
  std::istringstream words(text);
  std::string word;
  while (words >> word) {
    if (word.starts_with(name + "="))
      return word.substr(name.size() + 1);
  }
  return fallback;
}

std::string make_response(int status,
                          const std::string& identity,
                          const std::string& body,
                          const std::string& extra_headers = {}) {
  return fmt::format(
      "HTTP/1.1 {} X\r\nContent-Length: {}\r\nCyclamenwood-Task: "
      "{}\r\n{}\r\n{}",
      status, body.size(), identity, extra_headers, body);
}

// A timer that runs its callback once. It is deleted after the call.
struct one_shot_timer {
  ev_timer timer{};
  std::function<void()> callback;
};

void call_after(event_loop& loop, int64_t ms, std::function<void()> callback) {
  auto* shot = new one_shot_timer{{}, std::move(callback)};
  ev_timer_init(
      &shot->timer,
      [](struct ev_loop* raw, ev_timer* timer, int) {
        auto* self = static_cast<one_shot_timer*>(timer->data);
        ev_timer_stop(raw, timer);
        self->callback();
        delete self;
      },
      static_cast<double>(ms) / 1000, 0);
  shot->timer.data = shot;
  ev_now_update(loop.raw());
  ev_timer_start(loop.raw(), &shot->timer);
}

// One simulated upstream. Tasks beyond its slots wait in a queue. A cancelled
// task is dropped if it still waits; a running one runs to its end.
class standin {
 public:
  standin(event_loop& loop, upstream_spec spec, std::FILE* starts)
      : loop_(loop),
        spec_(std::move(spec)),
        starts_(starts),
        curl_(loop, MAX_HOST_CONNECTIONS, [this](CURL* easy, CURLcode code) {
          on_announcement_done(easy, code);
        }) {
    incarnation_ = current_time();
    listen_on(spec_.address);
    easy_ = curl_easy_init();
    announce();
    timer_ = std::make_unique<periodic_timer>(loop, ANNOUNCE_INTERVAL_MS,
                                              [this] { announce(); });
  }

 private:
  void listen_on(const std::string& address) {
    size_t colon = address.rfind(':');
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(std::stoi(address.substr(colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &local.sin_addr);
    listener_ =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int yes = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&local), sizeof local) !=
            0 ||
        listen(listener_, LISTEN_BACKLOG) != 0) {
      fmt::print(stderr, "cannot listen on {}\n", address);
      std::exit(4);
    }
    ev_io_init(
        &accept_,
        [](struct ev_loop*, ev_io* io, int) {
          static_cast<standin*>(io->data)->accept_all();
        },
        listener_, EV_READ);
    accept_.data = this;
    ev_io_start(loop_.raw(), &accept_);
  }

  void accept_all() {
    for (;;) {
      int socket = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
      if (socket < 0)
        return;
      int yes = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      auto opened = std::make_unique<connection>();
      opened->owner = this;
      opened->socket = socket;
      opened->id = next_connection_++;
      ev_io_init(
          &opened->io,
          [](struct ev_loop*, ev_io* io, int) {
            auto* self = static_cast<connection*>(io->data);
            self->owner->on_readable(*self);
          },
          socket, EV_READ);
      opened->io.data = opened.get();
      ev_io_start(loop_.raw(), &opened->io);
      connections_.emplace(opened->id, std::move(opened));
    }
  }

  void on_readable(connection& from) {
    char chunk[65536];
    for (;;) {
      ssize_t bytes = read(from.socket, chunk, sizeof chunk);
      if (bytes > 0) {
        from.buffer.append(chunk, bytes);
        continue;
      }
      if (bytes < 0 && errno == EAGAIN)
        break;
      close_connection(from.id);
      return;
    }
    uint64_t id = from.id;
    while (connections_.contains(id) &&
           handle_next_request(*connections_.at(id))) {
    }
  }

  // Handles the first request of the buffer. Returns false if it isn't
  // complete.
  bool handle_next_request(connection& from) {
    size_t end = from.buffer.find("\r\n\r\n");
    if (end == std::string::npos)
      return false;
    request parsed;
    parsed.head = from.buffer.substr(0, end + 2);
    std::string length = parsed.header("Content-Length");
    size_t body = length.empty() ? 0 : std::stoul(length);
    if (from.buffer.size() < end + 4 + body)
      return false;
    parsed.body = from.buffer.substr(end + 4, body);
    from.buffer.erase(0, end + 4 + body);
    std::istringstream line(parsed.head);
    line >> parsed.method >> parsed.path;
    handle_request(from, parsed);
    return true;
  }

  void handle_request(connection& from, const request& received) {
    if (received.path == "/control") {
      apply_control(received.body);
      send_to(from.id, make_response(200, "", "{}"));
    } else if (received.method == "DELETE") {
      cancelled_.insert(received.header("Cyclamenwood-Task"));
      send_to(from.id, make_response(200, "", "{}"));
    } else {
      accept_task(from, received);
    }
  }

  void apply_control(const std::string& order) {
    if (order == "leave") {
      leaving_ = true;
      announce();
    } else if (order == "vanish") {
      vanished_ = true;
    } else {
      forced_mode_ = order == "ok" ? "" : order;
    }
  }

  void accept_task(connection& from, const request& received) {
    task_state task;
    task.identity = received.header("Cyclamenwood-Task");
    task.payload = received.body;
    task.mode = forced_mode_.empty()
                    ? payload_option(task.payload, "mode", "ok")
                    : forced_mode_;
    task.ms = std::stol(payload_option(task.payload, "ms", "50"));
    task.connection_id = from.id;
    if (task.mode == "not_started") {
      send_to(from.id, make_response(503, task.identity, "full",
                                     "Cyclamenwood-Not-Started: true\r\n"));
      return;
    }
    fmt::print(starts_, "{} {} {} {} {} {}\n", current_time(), spec_.id,
               task.identity, received.header("Cyclamenwood-Tenant"),
               received.header("Cyclamenwood-Index"),
               received.header("Cyclamenwood-Key"));
    std::fflush(starts_);
    queued_.push_back(std::move(task));
    start_queued_tasks();
  }

  void start_queued_tasks() {
    while (running_count_ < spec_.slots && !queued_.empty()) {
      task_state task = std::move(queued_.front());
      queued_.pop_front();
      if (cancelled_.contains(task.identity))
        continue;
      ++running_count_;
      int64_t ms = task.mode == "fail" ? 1 : task.ms;
      call_after(loop_, ms, [this, task = std::move(task)] {
        --running_count_;
        finish_task(task);
        start_queued_tasks();
      });
    }
  }

  void finish_task(const task_state& task) {
    std::string body = "r:" + task.payload;
    uint64_t to = task.connection_id;
    if (task.mode == "fail") {
      send_to(to, make_response(500, task.identity, "failed"));
    } else if (task.mode == "silent") {
      return;
    } else if (task.mode == "close") {
      close_connection(to);
    } else if (task.mode == "late") {
      call_after(loop_, LATE_DELAY_MS, [this, to, task, body] {
        send_to(to, make_response(200, task.identity, body));
      });
    } else if (task.mode == "twice") {
      std::string answer = make_response(200, task.identity, body);
      send_to(to, answer + answer);
    } else if (task.mode == "wrong") {
      send_to(to, make_response(200, "another/1/2/3/4", body));
    } else if (task.mode == "truncate") {
      std::string answer = make_response(200, task.identity, body);
      send_to(to, answer.substr(0, answer.size() - 1));
      close_connection(to);
    } else if (task.mode == "huge") {
      send_to(to, make_response(200, task.identity,
                                std::string(HUGE_RESPONSE_BYTES, 'x')));
    } else {
      send_to(to, make_response(200, task.identity, body));
    }
  }

  // Discards the rest when the socket's buffer is full. Ordinary responses are
  // small compared with the buffer; the huge one exceeds the receiver's limit
  // anyway.
  void send_to(uint64_t id, const std::string& bytes) {
    auto found = connections_.find(id);
    if (found == connections_.end())
      return;
    size_t sent = 0;
    while (sent < bytes.size()) {
      ssize_t wrote = send(found->second->socket, bytes.data() + sent,
                           bytes.size() - sent, MSG_NOSIGNAL);
      if (wrote <= 0)
        return;
      sent += wrote;
    }
  }

  void close_connection(uint64_t id) {
    auto found = connections_.find(id);
    if (found == connections_.end())
      return;
    ev_io_stop(loop_.raw(), &found->second->io);
    ::close(found->second->socket);
    connections_.erase(found);
  }

  void announce() {
    if (vanished_ || announcing_)
      return;
    announcing_ = true;
    nlohmann::json body;
    body["id"] = spec_.id;
    body["incarnation"] = incarnation_;
    body["sequence"] = ++sequence_;
    body["service"] = spec_.service;
    body["address"] = spec_.address;
    body["zone"] = spec_.zone;
    body["slots"] = spec_.slots;
    body["state"] = leaving_ ? "leaving" : "ready";
    announcement_ = body.dump();
    reply_.clear();
    url_ = fmt::format("http://{}/v1/upstreams",
                       spec_.entries[current_entry_ % spec_.entries.size()]);
    curl_easy_setopt(easy_, CURLOPT_URL, url_.c_str());
    curl_easy_setopt(easy_, CURLOPT_PROXY, "");
    curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, ANNOUNCE_TIMEOUT_MS);
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(announcement_.size()));
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, announcement_.data());
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &on_reply);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, &reply_);
    curl_.add(easy_);
  }

  static size_t on_reply(char* data, size_t size, size_t count, void* into) {
    static_cast<std::string*>(into)->append(data, size * count);
    return size * count;
  }

  // Switches to the next entry host if this one can't be reached or drains.
  void on_announcement_done(CURL* /*easy*/, CURLcode code) {
    announcing_ = false;
    nlohmann::json reply = nlohmann::json::parse(reply_, nullptr, false);
    bool accepted = code == CURLE_OK && reply.is_object();
    bool draining = accepted && reply.value("draining", false);
    if (accepted && !draining)
      return;
    ++current_entry_;
    if (draining)
      announce();
  }

  event_loop& loop_;
  upstream_spec spec_;
  std::FILE* starts_;
  curl_loop curl_;
  CURL* easy_ = nullptr;
  std::string url_;
  std::string announcement_;
  std::string reply_;
  std::unique_ptr<periodic_timer> timer_;
  int listener_ = -1;
  ev_io accept_{};
  uint64_t next_connection_ = 1;
  std::map<uint64_t, std::unique_ptr<connection>> connections_;
  std::deque<task_state> queued_;
  std::set<std::string> cancelled_;
  int running_count_ = 0;
  int64_t incarnation_ = 0;
  int64_t sequence_ = 0;
  size_t current_entry_ = 0;
  bool announcing_ = false;
  bool leaving_ = false;
  bool vanished_ = false;
  std::string forced_mode_;
};

upstream_spec parse_spec(const std::string& text) {
  upstream_spec spec;
  std::istringstream words(text);
  std::string entries;
  words >> spec.id >> spec.zone >> spec.service >> spec.address >> spec.slots >>
      entries;
  std::istringstream list(entries);
  std::string entry;
  while (std::getline(list, entry, ','))
    spec.entries.push_back(entry);
  // The upstreams start at different entry hosts.
  std::rotate(spec.entries.begin(),
              spec.entries.begin() + stable_hash(spec.id) % spec.entries.size(),
              spec.entries.end());
  return spec;
}

int run_program(int argc, char** argv) {
  const option options[] = {{"starts", required_argument, nullptr, 's'},
                            {"spec", required_argument, nullptr, 'u'},
                            {nullptr, 0, nullptr, 0}};
  std::string starts_path;
  std::vector<upstream_spec> specs;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "s:u:", options, nullptr)) != -1) {
    if (choice == 's')
      starts_path = optarg;
    else if (choice == 'u')
      specs.push_back(parse_spec(optarg));
    else
      return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::FILE* starts = std::fopen(starts_path.c_str(), "a");
  if (starts == nullptr)
    return 2;
  event_loop loop;
  std::vector<std::unique_ptr<standin>> all;
  for (const upstream_spec& spec : specs)
    all.push_back(std::make_unique<standin>(loop, spec, starts));
  signal_watcher terminate(loop, SIGTERM, [&loop] { loop.stop(); });
  loop.run();
  std::fclose(starts);
  _exit(0);
}

}  // namespace
}  // namespace cyclamenwood

int main(int argc, char** argv) {
  return cyclamenwood::run_program(argc, argv);
}
