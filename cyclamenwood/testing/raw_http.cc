// The end of an answer is determined by its Content-Length, so that answers to
// pipelined requests can be separated.
#include "cyclamenwood/testing/raw_http.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cyclamenwood {
namespace {

constexpr int ANSWER_TIMEOUT_MS = 10'000;

}  // namespace

raw_http::raw_http(const std::string& address) {
  size_t colon = address.rfind(':');
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(std::stoi(address.substr(colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  is_connected_ = ::connect(socket_, reinterpret_cast<sockaddr*>(&target),
                            sizeof target) == 0;
}

raw_http::~raw_http() {
  ::close(socket_);
}

std::string raw_http::post(const std::string& path, const std::string& body) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{}", path,
      body.size(), body);
}

void raw_http::send(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t wrote =
        ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (wrote <= 0)
      return;
    sent += wrote;
  }
}

bool raw_http::read_more(int limit_ms) {
  pollfd waiting{socket_, POLLIN, 0};
  if (poll(&waiting, 1, limit_ms) <= 0)
    return false;
  char chunk[65536];
  ssize_t bytes = recv(socket_, chunk, sizeof chunk, 0);
  if (bytes <= 0)
    return false;
  buffer_.append(chunk, bytes);
  return true;
}

std::string raw_http::receive() {
  for (;;) {
    size_t end = buffer_.find("\r\n\r\n");
    size_t length_at = buffer_.find("Content-Length: ");
    if (end != std::string::npos && length_at < end) {
      size_t whole = end + 4 + std::stoul(buffer_.substr(length_at + 16));
      if (buffer_.size() >= whole) {
        std::string answer = buffer_.substr(0, whole);
        buffer_.erase(0, whole);
        return answer;
      }
    }
    if (!read_more(ANSWER_TIMEOUT_MS))
      return buffer_;
  }
}

bool raw_http::closed_within(int limit_ms) {
  pollfd waiting{socket_, POLLIN, 0};
  while (poll(&waiting, 1, limit_ms) > 0) {
    char chunk[4096];
    if (recv(socket_, chunk, sizeof chunk, 0) <= 0)
      return true;
  }
  return false;
}

}  // namespace cyclamenwood
