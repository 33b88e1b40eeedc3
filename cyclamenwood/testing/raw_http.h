// A blocking HTTP connection whose bytes a test writes itself.
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

  static std::string post(const std::string& path, const std::string& body);
  void send(const std::string& bytes);
  // The next whole answer, head and body; what came until the end or the
  // time-out otherwise.
  std::string receive();
  bool closed_within(int limit_ms);

 private:
  bool read_more(int limit_ms);

  int socket_ = -1;
  std::string buffer_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_RAW_HTTP_H_
