// Blocking HTTP/1.1 over loopback for the stand-ins: a server with a thread for
// each connection, and a client that sends one request on a connection.
#ifndef REVIEW_STANDIN_3_NET_H_
#define REVIEW_STANDIN_3_NET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace lab {

int64_t now_ms();
void sleep_ms(int64_t length_ms);

struct http_message {
  // Requests only.
  std::string method;
  std::string path;
  // Answers only; 0: no answer.
  int status = 0;
  // By name in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

// A connection that the caller controls.
class connection {
 public:
  // Connects to "ip:port".
  explicit connection(const std::string& address);
  // Takes over a connected socket.
  explicit connection(int socket) : socket_(socket) {}
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection();

  bool is_open() const { return socket_ >= 0; }
  int socket() const { return socket_; }
  bool send(const std::string& bytes);
  // Reads a request or an answer. Returns false if the connection ended or the
  // time was over before it was complete.
  bool receive(http_message& message, int64_t until_ms);
  // Ends the connection at once.
  void close();

 private:
  bool read_more(int64_t until_ms);

  int socket_ = -1;
  std::string buffer_;
};

// Sends one request on a connection of its own. The status is 0 if there is no
// answer in time.
http_message call(const std::string& address,
                  const std::string& method,
                  const std::string& path,
                  const std::map<std::string, std::string>& headers,
                  const std::string& body,
                  int64_t timeout_ms);

// The bytes of a request.
std::string request_text(const std::string& method,
                         const std::string& path,
                         const std::map<std::string, std::string>& headers,
                         const std::string& body);

class server {
 public:
  // Returns the answer; without one (status 0) the connection is closed.
  using handler = std::function<http_message(const http_message&)>;

  server(const std::string& address, handler handle);
  server(const server&) = delete;
  server& operator=(const server&) = delete;
  ~server();

 private:
  void accept_all();
  void serve(int socket);

  handler handle_;
  int listening_ = -1;
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<int> sockets_;
  int threads_ = 0;
  bool stopping_ = false;
};

}  // namespace lab

#endif  // REVIEW_STANDIN_3_NET_H_
