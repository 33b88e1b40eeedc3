// A blocking HTTP connection on which a test controls each byte sent, for
// example to pipeline requests or to send incomplete ones.
#ifndef CYCLAMENWOOD_TESTING_RAW_HTTP_H_
#define CYCLAMENWOOD_TESTING_RAW_HTTP_H_

#include <string>

namespace cyclamenwood {

class raw_http {
 public:
  // Connects to "ip:port".
  explicit raw_http(const std::string& address);
  raw_http(const raw_http&) = delete;
  raw_http& operator=(const raw_http&) = delete;
  ~raw_http();

  bool is_connected() const { return is_connected_; }

  // The bytes of a POST request.
  static std::string post(const std::string& path, const std::string& body);
  void send(const std::string& bytes);
  // Returns the next complete answer, head and body. If the connection is
  // closed or times out before, returns the bytes received so far.
  std::string receive();
  // Whether the server closes the connection before this long passes without
  // data. Discards received data.
  bool closed_within(int limit_ms);

 private:
  bool read_more(int limit_ms);

  int socket_ = -1;
  bool is_connected_ = false;
  std::string buffer_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_RAW_HTTP_H_
