#include "review/standin-3/net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>

namespace lab {
namespace {

constexpr int BACKLOG = 256;
constexpr int64_t IDLE_MS = 60'000;
constexpr size_t READ_BYTES = 16'384;

sockaddr_in parse_address(const std::string& address) {
  size_t colon = address.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port =
      htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

void set_no_delay(int socket) {
  int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char byte) { return std::tolower(byte); });
  return text;
}

std::string trim(const std::string& text) {
  size_t first = text.find_first_not_of(" \t");
  size_t last = text.find_last_not_of(" \t\r");
  return first == std::string::npos ? std::string()
                                    : text.substr(first, last - first + 1);
}

void parse_head(const std::string& head, http_message& message) {
  size_t end = head.find("\r\n");
  std::string first = head.substr(0, end);
  size_t space = first.find(' ');
  size_t next = first.find(' ', space + 1);
  if (first.starts_with("HTTP/")) {
    message.status = std::atoi(first.c_str() + space + 1);
  } else {
    message.method = first.substr(0, space);
    message.path = first.substr(space + 1, next - space - 1);
  }
  while (end != std::string::npos) {
    size_t begin = end + 2;
    end = head.find("\r\n", begin);
    std::string line = head.substr(begin, end - begin);
    size_t colon = line.find(':');
    if (colon != std::string::npos)
      message.headers[lower(line.substr(0, colon))] =
          trim(line.substr(colon + 1));
  }
}

void add_header(std::string& text,
                const std::string& name,
                const std::string& value) {
  text += name;
  text += ": ";
  text += value;
  text += "\r\n";
}

std::string answer_text(const http_message& answer) {
  std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " X\r\n";
  for (const auto& [name, value] : answer.headers)
    add_header(text, name, value);
  text += "Content-Type: application/json\r\nContent-Length: " +
          std::to_string(answer.body.size()) + "\r\n\r\n";
  return text + answer.body;
}

}  // namespace

int64_t now_ms() {
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void sleep_ms(int64_t length_ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(length_ms));
}

connection::connection(const std::string& address) {
  sockaddr_in to = parse_address(address);
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
    ::close(socket);
    return;
  }
  set_no_delay(socket);
  socket_ = socket;
}

connection::~connection() {
  close();
}

bool connection::send(const std::string& bytes) {
  size_t sent = 0;
  while (socket_ >= 0 && sent < bytes.size()) {
    ssize_t wrote =
        ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (wrote <= 0)
      return false;
    sent += wrote;
  }
  return socket_ >= 0;
}

bool connection::read_more(int64_t until_ms) {
  if (socket_ < 0)
    return false;
  pollfd watched{socket_, POLLIN, 0};
  int64_t left_ms = std::max<int64_t>(until_ms - now_ms(), 0);
  if (::poll(&watched, 1, static_cast<int>(left_ms)) <= 0)
    return false;
  char bytes[READ_BYTES];
  ssize_t got = ::recv(socket_, bytes, sizeof(bytes), 0);
  if (got <= 0)
    return false;
  buffer_.append(bytes, got);
  return true;
}

bool connection::receive(http_message& message, int64_t until_ms) {
  size_t head = std::string::npos;
  while ((head = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!read_more(until_ms))
      return false;
  }
  parse_head(buffer_.substr(0, head), message);
  size_t length = 0;
  auto found = message.headers.find("content-length");
  if (found != message.headers.end())
    length = std::strtoull(found->second.c_str(), nullptr, 10);
  while (buffer_.size() < head + 4 + length) {
    if (!read_more(until_ms))
      return false;
  }
  message.body = buffer_.substr(head + 4, length);
  buffer_.erase(0, head + 4 + length);
  return true;
}

void connection::close() {
  if (socket_ >= 0)
    ::close(socket_);
  socket_ = -1;
}

std::string request_text(const std::string& method,
                         const std::string& path,
                         const std::map<std::string, std::string>& headers,
                         const std::string& body) {
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  if (!headers.contains("Host"))
    text += "Host: lab.example\r\n";
  for (const auto& [name, value] : headers)
    add_header(text, name, value);
  if (method != "GET")
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

http_message call(const std::string& address,
                  const std::string& method,
                  const std::string& path,
                  const std::map<std::string, std::string>& headers,
                  const std::string& body,
                  int64_t timeout_ms) {
  http_message answer;
  connection to(address);
  int64_t until_ms = now_ms() + timeout_ms;
  bool complete = to.send(request_text(method, path, headers, body)) &&
                  to.receive(answer, until_ms);
  return complete ? answer : http_message();
}

server::server(const std::string& address, handler handle)
    : handle_(std::move(handle)) {
  sockaddr_in at = parse_address(address);
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (::bind(socket, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
      ::listen(socket, BACKLOG) != 0) {
    ::close(socket);
    return;
  }
  listening_ = socket;
  acceptor_ = std::thread([this] { accept_all(); });
}

server::~server() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    for (int socket : sockets_)
      ::shutdown(socket, SHUT_RDWR);
  }
  if (listening_ >= 0)
    ::shutdown(listening_, SHUT_RDWR);
  if (acceptor_.joinable())
    acceptor_.join();
  if (listening_ >= 0)
    ::close(listening_);
  for (bool idle = false; !idle;) {
    sleep_ms(1);
    std::lock_guard lock(mutex_);
    idle = threads_ == 0;
  }
}

void server::accept_all() {
  for (;;) {
    int socket = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
    std::lock_guard lock(mutex_);
    if (stopping_ || socket < 0) {
      if (socket >= 0)
        ::close(socket);
      if (stopping_)
        return;
      continue;
    }
    set_no_delay(socket);
    sockets_.insert(socket);
    ++threads_;
    std::thread([this, socket] { serve(socket); }).detach();
  }
}

void server::serve(int socket) {
  {
    connection from(socket);
    for (;;) {
      http_message request;
      if (!from.receive(request, now_ms() + IDLE_MS))
        break;
      http_message answer = handle_(request);
      if (answer.status == 0 || !from.send(answer_text(answer)))
        break;
    }
    std::lock_guard lock(mutex_);
    sockets_.erase(socket);
    from.close();
  }
  std::lock_guard lock(mutex_);
  --threads_;
}

}  // namespace lab
