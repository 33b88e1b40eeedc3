// One HTTP request that is waited for: for the command line and for tests.
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
  // Escaped, with a leading slash.
  std::string path;
  std::string body;
  int64_t timeout_ms = 30'000;
};

// The whole answer, or connection_failed: then the request may have been
// carried out.
result<api_answer> call(const blocking_request& request);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_UTIL_BLOCKING_HTTP_H_
