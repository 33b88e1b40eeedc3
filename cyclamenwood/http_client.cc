// Each transfer has its own easy handle. Its outcome is derived from libcurl's
// result code and from what the callbacks have recorded about the answer.
#include "cyclamenwood/http_client.h"

#include <curl/curl.h>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <utility>

#include "cyclamenwood/curl_loop.h"

namespace cyclamenwood {
namespace {

constexpr int STATUS_OK_MIN = 200;
constexpr int STATUS_OK_MAX = 299;
constexpr int STATUS_UNAVAILABLE = 503;
constexpr long CANCEL_TIMEOUT_MS = 2000;

// One request to an upstream.
struct transfer {
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  // 0 for a cancellation, whose outcome is not reported.
  uint64_t attempt_id = 0;
  std::string payload;
  // Bytes of the payload that libcurl has read.
  size_t sent = 0;
  std::string body;
  size_t max_body = 0;
  bool too_large = false;
  // The answer has a Content-Length or is chunked.
  bool framed = false;
  bool not_started = false;
  std::string echoed_identity;

  transfer() = default;
  transfer(const transfer&) = delete;
  transfer& operator=(const transfer&) = delete;
  ~transfer() {
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
  }

  void add_header(const std::string& line) {
    headers = curl_slist_append(headers, line.c_str());
  }
};

size_t on_read(char* into, size_t size, size_t count, void* context) {
  auto& self = *static_cast<transfer*>(context);
  size_t bytes = std::min(size * count, self.payload.size() - self.sent);
  std::copy_n(self.payload.data() + self.sent, bytes, into);
  self.sent += bytes;
  return bytes;
}

size_t on_write(char* data, size_t size, size_t count, void* context) {
  auto& self = *static_cast<transfer*>(context);
  size_t bytes = size * count;
  if (self.body.size() + bytes > self.max_body) {
    self.too_large = true;
    return 0;
  }
  self.body.append(data, bytes);
  return bytes;
}

bool equals_ignore_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

std::string_view trim(std::string_view text) {
  while (!text.empty() &&
         std::isspace(static_cast<unsigned char>(text.front())))
    text.remove_prefix(1);
  while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())))
    text.remove_suffix(1);
  return text;
}

size_t on_header(char* data, size_t size, size_t count, void* context) {
  auto& self = *static_cast<transfer*>(context);
  std::string_view line(data, size * count);
  size_t colon = line.find(':');
  if (colon == std::string_view::npos)
    return size * count;
  std::string_view name = line.substr(0, colon);
  std::string_view text = trim(line.substr(colon + 1));
  if (equals_ignore_case(name, "Cyclamenwood-Task"))
    self.echoed_identity = text;
  else if (equals_ignore_case(name, "Cyclamenwood-Not-Started"))
    self.not_started = text == "true";
  else if (equals_ignore_case(name, "Content-Length") ||
           equals_ignore_case(name, "Transfer-Encoding"))
    self.framed = true;
  return size * count;
}

bool was_connected(CURL* easy) {
  curl_off_t pretransfer_us = 0;
  curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer_us);
  return pretransfer_us > 0;
}

task_outcome outcome_of(const transfer& ended, CURLcode code) {
  if (ended.too_large)
    return task_outcome::too_large;
  if (code == CURLE_COULDNT_CONNECT)
    return task_outcome::not_connected;
  if (code == CURLE_OPERATION_TIMEDOUT && !was_connected(ended.easy))
    return task_outcome::not_connected;
  // Without framing, a complete answer can't be distinguished from a truncated
  // one.
  if (code != CURLE_OK || !ended.framed)
    return task_outcome::incomplete;
  long status = 0;
  curl_easy_getinfo(ended.easy, CURLINFO_RESPONSE_CODE, &status);
  if (status >= STATUS_OK_MIN && status <= STATUS_OK_MAX)
    return task_outcome::completed;
  if (status == STATUS_UNAVAILABLE && ended.not_started)
    return task_outcome::not_started;
  return task_outcome::failed;
}

}  // namespace

struct http_client::implementation {
  dispatch_settings options;
  outcome_handler ended;
  curl_loop curl;
  std::map<CURL*, std::unique_ptr<transfer>> transfers;
  std::map<uint64_t, CURL*> by_attempt;

  implementation(event_loop& loop,
                 const dispatch_settings& options,
                 outcome_handler ended)
      : options(options),
        ended(std::move(ended)),
        curl(loop,
             options.max_connections_per_upstream,
             [this](CURL* easy, CURLcode code) { on_done(easy, code); }) {}

  void on_done(CURL* easy, CURLcode code) {
    std::unique_ptr<transfer> finished = take(easy);
    if (!finished || finished->attempt_id == 0)
      return;
    task_outcome outcome = outcome_of(*finished, code);
    ended(finished->attempt_id, outcome, std::move(finished->echoed_identity),
          std::move(finished->body));
  }

  std::unique_ptr<transfer> take(CURL* easy) {
    auto found = transfers.find(easy);
    if (found == transfers.end())
      return nullptr;
    std::unique_ptr<transfer> taken = std::move(found->second);
    transfers.erase(found);
    by_attempt.erase(taken->attempt_id);
    return taken;
  }

  transfer& add(const std::string& address) {
    auto created = std::make_unique<transfer>();
    created->easy = curl_easy_init();
    CURL* easy = created->easy;
    std::string url = fmt::format("http://{}/v1/tasks", address);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(options.connect_timeout_ms));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_write);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, created.get());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, created.get());
    transfer& result = *created;
    transfers.emplace(easy, std::move(created));
    return result;
  }

  void launch(transfer& ready) {
    curl_easy_setopt(ready.easy, CURLOPT_HTTPHEADER, ready.headers);
    curl.add(ready.easy);
  }
};

http_client::http_client(event_loop& loop,
                         const dispatch_settings& options,
                         outcome_handler ended)
    : implementation_(
          std::make_unique<implementation>(loop, options, std::move(ended))) {}

http_client::~http_client() {
  for (auto& [easy, open] : implementation_->transfers)
    implementation_->curl.remove(easy);
  implementation_->transfers.clear();
}

void http_client::start(const entry_start_task& task) {
  implementation& self = *implementation_;
  transfer& request = self.add(task.address);
  request.attempt_id = task.attempt_id;
  request.payload = task.payload;
  request.max_body = task.max_answer_bytes;
  request.add_header("Expect:");
  request.add_header("Content-Type: application/octet-stream");
  request.add_header(fmt::format("Cyclamenwood-Task: {}", task.identity));
  request.add_header(fmt::format("Cyclamenwood-Tenant: {}", task.id.tenant));
  if (!task.id.key.empty())
    request.add_header(fmt::format("Cyclamenwood-Key: {}", task.id.key));
  request.add_header(fmt::format("Cyclamenwood-Index: {}", task.task_index));
  request.add_header(
      fmt::format("Cyclamenwood-Deadline-Ms: {}", task.deadline_ms));
  CURL* easy = request.easy;
  curl_easy_setopt(easy, CURLOPT_POST, 1L);
  curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(request.payload.size()));
  curl_easy_setopt(easy, CURLOPT_READFUNCTION, &on_read);
  curl_easy_setopt(easy, CURLOPT_READDATA, &request);
  if (request.payload.empty())
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  self.by_attempt[task.attempt_id] = easy;
  self.launch(request);
}

void http_client::cancel(const entry_cancel_task& task) {
  implementation& self = *implementation_;
  auto found = self.by_attempt.find(task.attempt_id);
  if (found != self.by_attempt.end()) {
    CURL* easy = found->second;
    self.curl.remove(easy);
    self.take(easy);
  }
  transfer& request = self.add(task.address);
  request.max_body = static_cast<size_t>(1) << 16;
  request.add_header(fmt::format("Cyclamenwood-Task: {}", task.identity));
  curl_easy_setopt(request.easy, CURLOPT_CUSTOMREQUEST, "DELETE");
  curl_easy_setopt(request.easy, CURLOPT_TIMEOUT_MS, CANCEL_TIMEOUT_MS);
  self.launch(request);
}

}  // namespace cyclamenwood
