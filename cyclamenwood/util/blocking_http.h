// Makes one HTTP request and blocks until it is answered, for the command line
// and for tests.
//
//   result<api_answer> answer = call({.address = "127.0.0.1:8001",
//                                     .method = "GET",
//                                     .path = "/healthz"});
#ifndef CYCLAMENWOOD_UTIL_BLOCKING_HTTP_H_
#define CYCLAMENWOOD_UTIL_BLOCKING_HTTP_H_

#include <cstdint>
#include <string>

#include "cyclamenwood/api.h"
#include "cyclamenwood/error.h"

namespace cyclamenwood {

struct blocking_request {
  // "ip:port".
  std::string address;
  std::string method;
  // Percent-encoded, with a leading slash.
  std::string path;
  std::string body;
  int64_t timeout_ms = 30'000;
  // Sends the request again, unchanged, to where an answer redirects it.
  bool follows_redirects = false;
};

// Returns the complete answer, whatever its status. After connection_failed,
// the request may have been executed.
result<api_answer> call(const blocking_request& request);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_UTIL_BLOCKING_HTTP_H_
