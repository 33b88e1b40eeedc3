// Uses libcurl's easy interface. No Content-Type is set, since the servers take
// the body as it is.
#include "cyclamenwood/util/blocking_http.h"

#include <curl/curl.h>
#include <fmt/format.h>

namespace cyclamenwood {
namespace {

// Replicas redirect once, to the leader; a second time if it changes meanwhile.
constexpr long MAX_REDIRECTS = 3;

size_t append_body(char* data, size_t size, size_t count, void* into) {
  static_cast<std::string*>(into)->append(data, size * count);
  return size * count;
}

}  // namespace

result<api_answer> call(const blocking_request& request) {
  CURL* easy = curl_easy_init();
  std::string url = fmt::format("http://{}{}", request.address, request.path);
  api_answer answer;
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.timeout_ms));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &append_body);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer.body);
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION,
                   request.follows_redirects ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_MAXREDIRS, MAX_REDIRECTS);
  curl_easy_setopt(easy, CURLOPT_REDIR_PROTOCOLS_STR, "http");
  if (!request.body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
  }
  CURLcode code = curl_easy_perform(easy);
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  answer.status = static_cast<int>(status);
  curl_slist_free_all(headers);
  curl_easy_cleanup(easy);
  if (code != CURLE_OK)
    return error{
        error_code::connection_failed,
        fmt::format("{}: {}", request.address, curl_easy_strerror(code))};
  return answer;
}

}  // namespace cyclamenwood
