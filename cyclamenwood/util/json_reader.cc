// Every read records its key, so that `finish` can report keys that are unknown
// to the caller.
#include "cyclamenwood/util/json_reader.h"

#include <fmt/format.h>

namespace cyclamenwood {
namespace {

const nlohmann::json EMPTY_ARRAY = nlohmann::json::array();
const nlohmann::json EMPTY_OBJECT = nlohmann::json::object();

}  // namespace

json_reader::json_reader(const nlohmann::json& object,
                         std::string path,
                         error_code code)
    : object_(&object), path_(std::move(path)), code_(code) {
  if (!object.is_object()) {
    error_ = error{code_, fmt::format("{}: must be an object",
                                      path_.empty() ? "document" : path_)};
    object_ = &EMPTY_OBJECT;
  }
}

std::string json_reader::path_of(std::string_view key) const {
  return path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key);
}

void json_reader::fail(std::string_view key, std::string_view reason) {
  if (!error_)
    error_ = error{code_, fmt::format("{}: {}", path_of(key), reason)};
}

void json_reader::add_nested_error(const std::optional<error>& nested) {
  if (nested && !error_)
    error_ = nested;
}

const nlohmann::json* json_reader::member(std::string_view key) {
  read_keys_.emplace(key);
  auto found = object_->find(key);
  return found == object_->end() ? nullptr : &*found;
}

int64_t json_reader::integer(std::string_view key,
                             int64_t min,
                             int64_t max,
                             std::optional<int64_t> fallback) {
  const nlohmann::json* found = member(key);
  if (found == nullptr) {
    if (!fallback)
      fail(key, "is missing");
    return fallback.value_or(min);
  }
  bool too_large = found->is_number_unsigned() &&
                   found->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
  if (!found->is_number_integer()) {
    fail(key, "must be a whole number");
    return min;
  }
  int64_t value = too_large ? INT64_MAX : found->get<int64_t>();
  if (value < min || value > max || too_large) {
    fail(key, fmt::format("must be between {} and {}", min, max));
    return min;
  }
  return value;
}

bool json_reader::boolean(std::string_view key, std::optional<bool> fallback) {
  const nlohmann::json* found = member(key);
  if (found == nullptr) {
    if (!fallback)
      fail(key, "is missing");
    return fallback.value_or(false);
  }
  if (!found->is_boolean()) {
    fail(key, "must be true or false");
    return false;
  }
  return found->get<bool>();
}

std::string json_reader::text(std::string_view key,
                              size_t min_bytes,
                              size_t max_bytes,
                              const std::optional<std::string>& fallback) {
  const nlohmann::json* found = member(key);
  if (found == nullptr) {
    if (!fallback)
      fail(key, "is missing");
    return fallback.value_or(std::string());
  }
  if (!found->is_string()) {
    fail(key, "must be a string");
    return {};
  }
  const auto& value = found->get_ref<const std::string&>();
  if (value.size() < min_bytes || value.size() > max_bytes) {
    fail(key, fmt::format("must have {} to {} bytes", min_bytes, max_bytes));
    return {};
  }
  return value;
}

const nlohmann::json* json_reader::container(std::string_view key,
                                             bool is_required,
                                             bool is_array) {
  const nlohmann::json* found = member(key);
  if (found == nullptr) {
    if (is_required)
      fail(key, "is missing");
    return nullptr;
  }
  if (is_array ? !found->is_array() : !found->is_object()) {
    fail(key, is_array ? "must be an array" : "must be an object");
    return nullptr;
  }
  return found;
}

const nlohmann::json& json_reader::array(std::string_view key,
                                         bool is_required) {
  const nlohmann::json* found = container(key, is_required, true);
  return found == nullptr ? EMPTY_ARRAY : *found;
}

const nlohmann::json& json_reader::object(std::string_view key,
                                          bool is_required) {
  const nlohmann::json* found = container(key, is_required, false);
  return found == nullptr ? EMPTY_OBJECT : *found;
}

std::optional<error> json_reader::finish() {
  for (const auto& [key, unused] : object_->items()) {
    if (!read_keys_.contains(key))
      fail(key, "is not a known key");
  }
  return error_;
}

result<nlohmann::json> parse_json(std::string_view text,
                                  bool comments,
                                  error_code code) {
  try {
    return nlohmann::json::parse(text, nullptr, true, comments);
  } catch (const nlohmann::json::parse_error& thrown) {
    return error{code, fmt::format("not JSON at byte {}", thrown.byte)};
  }
}

}  // namespace cyclamenwood
