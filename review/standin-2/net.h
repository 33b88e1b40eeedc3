// Sockets of the stand-ins: IPv4 over TCP.
#ifndef CYCLAMENWOOD_REVIEW_STANDIN_2_NET_H_
#define CYCLAMENWOOD_REVIEW_STANDIN_2_NET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lab {

// Returns -1 on failure.
int listen_at(const std::string& address);
// Returns a connected socket, or -1 if that takes longer than `limit_ms`.
int connect_to(const std::string& address, int64_t limit_ms);
bool send_all(int socket, const std::string& bytes, int64_t limit_ms);

// A request or an answer: its first line, its headers with names in lower case,
// and its body.
struct http_message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

// Removes the first complete message from the buffer; nothing if there is none.
std::optional<http_message> take_message(std::string& buffer);

}  // namespace lab

#endif  // CYCLAMENWOOD_REVIEW_STANDIN_2_NET_H_
