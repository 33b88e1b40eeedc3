// Bodies are parsed strictly by `json_reader`. Answers are composed with
// nlohmann-json, whose strict UTF-8 check detects results that cannot be
// returned in JSON.
#include "cyclamenwood/api.h"

#include <fmt/format.h>

#include "cyclamenwood/util/json_reader.h"

namespace cyclamenwood {
namespace {

using json = nlohmann::json;

constexpr error_code MALFORMED = error_code::malformed_request;
constexpr size_t MAX_NAME_BYTES = 64;
constexpr size_t MAX_ID_BYTES = 128;
constexpr int64_t MAX_SLOTS = 100'000;
constexpr int64_t MAX_DECLARED_MS = 86'400'000;
// The end of the year 9999.
constexpr int64_t MAX_TIME_MS = 253'402'300'799'000;

constexpr int STATUS_OK = 200;
constexpr int STATUS_ACCEPTED = 202;

task_spec parse_task(const json& item,
                     const std::string& path,
                     size_t max_payload,
                     json_reader& outer) {
  json_reader reader(item, path, MALFORMED);
  task_spec task;
  task.service = reader.text("service", 1, MAX_NAME_BYTES);
  task.payload = reader.text("payload", 0, max_payload, "");
  task.declared_ms = reader.integer("declared_ms", 0, MAX_DECLARED_MS, 0);
  outer.add_nested_error(reader.finish());
  return task;
}

// Reads the members that jobs and single requests have in common.
void read_common(json_reader& reader, submission& request) {
  request.id.tenant = reader.text("tenant", 1, MAX_NAME_BYTES);
  request.class_name = reader.text("class", 1, MAX_NAME_BYTES);
  request.deadline_ms = reader.integer("deadline_ms", 1, MAX_TIME_MS);
  request.wait = reader.boolean("wait", true);
}

// Returns whether the text has no control characters. They are refused because
// keys appear in headers and log lines.
bool is_printable(std::string_view text) {
  constexpr unsigned char FIRST_PRINTABLE = 0x20;
  constexpr unsigned char DELETE = 0x7f;
  for (unsigned char c : text) {
    if (c < FIRST_PRINTABLE || c == DELETE)
      return false;
  }
  return true;
}

void check_names(json_reader& reader, const submission& request) {
  if (!is_printable(request.id.key))
    reader.fail("key", "must have no control characters");
  if (!is_printable(request.id.tenant))
    reader.fail("tenant", "must have no control characters");
}

error with_code(const error& failed, error_code code) {
  return error{code, failed.detail};
}

}  // namespace

result<submission> parse_job(std::string_view body,
                             const http_settings& limits) {
  result<json> document = parse_json(body, false, MALFORMED);
  if (!ok(document))
    return failure(document);
  json_reader reader(value(document), "", MALFORMED);
  submission request;
  read_common(reader, request);
  request.id.key = reader.text("key", 1, limits.max_key_bytes);
  const json& tasks = reader.array("tasks", true);
  size_t max_tasks = limits.max_tasks_per_job;
  if (tasks.size() > max_tasks)
    return with_code(
        error{MALFORMED, fmt::format("tasks: more than {}", max_tasks)},
        error_code::request_too_large);
  if (tasks.empty())
    reader.fail("tasks", "must not be empty");
  for (size_t i = 0; i < tasks.size() && !reader.failed(); ++i)
    request.tasks.push_back(parse_task(tasks[i], fmt::format("tasks[{}]", i),
                                       limits.max_body_bytes, reader));
  check_names(reader, request);
  if (auto failed = reader.finish())
    return *failed;
  request.body = body;
  return request;
}

result<submission> parse_request(std::string_view service,
                                 std::string_view body,
                                 const http_settings& limits) {
  result<json> document = parse_json(body, false, MALFORMED);
  if (!ok(document))
    return failure(document);
  json_reader reader(value(document), "", MALFORMED);
  submission request;
  request.single = true;
  read_common(reader, request);
  request.idempotent = reader.boolean("idempotent", std::nullopt);
  request.id.key = reader.text("key", 0, limits.max_key_bytes, "");
  task_spec task;
  task.service = service;
  task.payload = reader.text("payload", 0, limits.max_body_bytes, "");
  task.declared_ms = reader.integer("declared_ms", 0, MAX_DECLARED_MS, 0);
  request.tasks.push_back(std::move(task));
  if (!request.idempotent && request.id.key.empty())
    reader.fail("key", "is required when idempotent is false");
  if (request.idempotent)
    request.id.key.clear();
  check_names(reader, request);
  if (auto failed = reader.finish())
    return *failed;
  request.body = body;
  return request;
}

std::string submission_digest(const submission& request) {
  std::string text;
  auto add = [&text](std::string_view part) {
    text += fmt::format("{}:", part.size());
    text += part;
  };
  add(request.id.tenant);
  add(request.class_name);
  for (const task_spec& task : request.tasks) {
    add(task.service);
    add(task.payload);
  }
  return content_digest(text);
}

result<wire::upstream> parse_announcement(std::string_view body) {
  result<json> document = parse_json(body, false, MALFORMED);
  if (!ok(document))
    return failure(document);
  json_reader reader(value(document), "", MALFORMED);
  wire::upstream upstream;
  upstream.set_id(reader.text("id", 1, MAX_ID_BYTES));
  upstream.set_incarnation(reader.integer("incarnation", 1, INT64_MAX));
  upstream.set_sequence(reader.integer("sequence", 0, INT64_MAX));
  upstream.set_service(reader.text("service", 1, MAX_NAME_BYTES));
  upstream.set_address(reader.text("address", 1, MAX_NAME_BYTES));
  upstream.set_zone(reader.text("zone", 1, MAX_NAME_BYTES));
  upstream.set_slots(reader.integer("slots", 1, MAX_SLOTS));
  std::string state = reader.text("state", 1, MAX_NAME_BYTES);
  if (state == "ready")
    upstream.set_state(wire::UPSTREAM_READY);
  else if (state == "leaving")
    upstream.set_state(wire::UPSTREAM_LEAVING);
  else
    reader.fail("state", "must be ready or leaving");
  if (auto failed = reader.finish())
    return *failed;
  return upstream;
}

api_answer failure_answer(const error& reason,
                          execution executed,
                          uint64_t bundle_version) {
  json body;
  body["error"]["type"] = to_string(reason.code);
  body["error"]["detail"] = reason.detail;
  body["execution"] = to_string(executed);
  body["bundle_version"] = bundle_version;
  constexpr auto REPLACE = json::error_handler_t::replace;
  return {http_status(reason.code), body.dump(-1, ' ', false, REPLACE)};
}

std::optional<api_answer> complete_answer(const submission& request,
                                          std::span<const std::string> results,
                                          uint64_t bundle_version) {
  json body;
  body["tenant"] = request.id.tenant;
  if (!request.id.key.empty())
    body["key"] = request.id.key;
  body["state"] = "complete";
  body["execution"] = to_string(execution::ran);
  body["bundle_version"] = bundle_version;
  if (request.single) {
    body["result"] = results.front();
  } else {
    json& list = body["results"] = json::array();
    for (const std::string& item : results)
      list.push_back(item);
  }
  try {
    return api_answer{STATUS_OK, body.dump()};
  } catch (const json::type_error&) {
    return std::nullopt;
  }
}

api_answer job_state_answer(const job_id& id,
                            std::string_view state,
                            uint64_t bundle_version) {
  json body;
  body["tenant"] = id.tenant;
  body["key"] = id.key;
  body["state"] = state;
  body["bundle_version"] = bundle_version;
  return {STATUS_ACCEPTED, body.dump()};
}

}  // namespace cyclamenwood
