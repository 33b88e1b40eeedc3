#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <charconv>

#include "lab.h"

namespace lab {
namespace {

constexpr int BACKLOG = 256;
// Of the status in "HTTP/1.1 200 OK".
constexpr size_t STATUS_OFFSET = 9;

sockaddr_in parse_address(const std::string& address) {
  size_t colon = address.find(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  int port = 0;
  std::from_chars(address.data() + colon + 1, address.data() + address.size(),
                  port);
  parsed.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

bool wait_for(int socket, short events, int64_t limit_ms) {
  pollfd watched{socket, events, 0};
  return ::poll(&watched, 1, static_cast<int>(std::max<int64_t>(limit_ms, 0))) >
         0;
}

}  // namespace

int listen_at(const std::string& address) {
  int listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in parsed = parse_address(address);
  bool bound = ::bind(listening, reinterpret_cast<sockaddr*>(&parsed),
                      sizeof parsed) == 0 &&
               ::listen(listening, BACKLOG) == 0;
  if (bound)
    return listening;
  ::close(listening);
  return -1;
}

int connect_to(const std::string& address, int64_t limit_ms) {
  int connected =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int on = 1;
  ::setsockopt(connected, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in parsed = parse_address(address);
  bool is_started = ::connect(connected, reinterpret_cast<sockaddr*>(&parsed),
                              sizeof parsed) == 0 ||
                    errno == EINPROGRESS;
  int failure = -1;
  socklen_t length = sizeof failure;
  bool done =
      is_started && wait_for(connected, POLLOUT, limit_ms) &&
      ::getsockopt(connected, SOL_SOCKET, SO_ERROR, &failure, &length) == 0 &&
      failure == 0;
  if (done)
    return connected;
  ::close(connected);
  return -1;
}

bool send_all(int socket, const std::string& bytes, int64_t limit_ms) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t wrote = ::send(socket, bytes.data() + sent, bytes.size() - sent,
                           MSG_NOSIGNAL | MSG_DONTWAIT);
    if (wrote > 0)
      sent += static_cast<size_t>(wrote);
    else if (!wait_for(socket, POLLOUT, limit_ms))
      return false;
  }
  return true;
}

std::optional<http_message> take_message(std::string& buffer) {
  size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos)
    return std::nullopt;
  http_message message;
  size_t at = buffer.find("\r\n");
  message.first_line = buffer.substr(0, at);
  while (at < end) {
    size_t begin = at + 2;
    at = buffer.find("\r\n", begin);
    std::string line = buffer.substr(begin, at - begin);
    size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char byte) { return std::tolower(byte); });
    size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers[name] =
        value == std::string::npos ? std::string() : line.substr(value);
  }
  size_t length = 0;
  if (auto found = message.headers.find("content-length");
      found != message.headers.end())
    std::from_chars(found->second.data(),
                    found->second.data() + found->second.size(), length);
  if (buffer.size() < end + 4 + length)
    return std::nullopt;
  message.body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return message;
}

namespace {

std::string make_request(const std::string& method,
                         const std::string& path,
                         const std::string& host,
                         const std::string& body,
                         int64_t limit_ms) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + host +
         "\r\nContent-Type: application/json\r\nDeadline-Ms: " +
         std::to_string(limit_ms) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Reads one answer. Returns nothing if there is none by `end_ms`, or if the
// stream ends before.
std::optional<http_result> read_answer(int connected,
                                       std::string& buffer,
                                       int64_t end_ms) {
  while (now_ms() < end_ms) {
    if (!wait_for(connected, POLLIN, end_ms - now_ms()))
      return std::nullopt;
    char bytes[16384];
    ssize_t got = ::recv(connected, bytes, sizeof bytes, MSG_DONTWAIT);
    if (got <= 0)
      return std::nullopt;
    buffer.append(bytes, static_cast<size_t>(got));
    std::optional<http_message> answer = take_message(buffer);
    if (!answer)
      continue;
    http_result result;
    std::from_chars(answer->first_line.data() + STATUS_OFFSET,
                    answer->first_line.data() + answer->first_line.size(),
                    result.status);
    result.body = answer->body;
    result.location = answer->headers["location"];
    return result;
  }
  return std::nullopt;
}

}  // namespace

http_result call(const std::string& address,
                 const std::string& method,
                 const std::string& path,
                 const std::string& host,
                 const std::string& body,
                 int64_t limit_ms) {
  int64_t end_ms = now_ms() + limit_ms;
  int connected = connect_to(address, limit_ms);
  if (connected < 0)
    return {};
  send_all(connected, make_request(method, path, host, body, limit_ms),
           limit_ms);
  std::string buffer;
  std::optional<http_result> answer = read_answer(connected, buffer, end_ms);
  ::close(connected);
  return answer.value_or(http_result{});
}

http_result call_and_leave(const std::string& address,
                           const std::string& path,
                           const std::string& host,
                           const std::string& body,
                           int64_t leave_after_ms,
                           int64_t limit_ms) {
  int64_t begin_ms = now_ms();
  int connected = connect_to(address, limit_ms);
  if (connected < 0)
    return {};
  send_all(connected, make_request("POST", path, host, body, limit_ms),
           limit_ms);
  std::string buffer;
  std::optional<http_result> answer =
      read_answer(connected, buffer, begin_ms + leave_after_ms);
  if (!answer) {
    ::shutdown(connected, SHUT_WR);
    answer = read_answer(connected, buffer, begin_ms + limit_ms);
  }
  ::close(connected);
  return answer.value_or(http_result{});
}

}  // namespace lab
