// Reads a JSON object into an aggregate, strictly: a missing key, a wrong
// type, a value out of range and an unknown key are typed errors that name
// the key's path.
//
//   json_reader reader(document, "http", error_code::settings_invalid);
//   options.max_body_bytes = reader.integer("max_body_bytes", 1, 1 << 30,
//   4096); if (auto failed = reader.finish()) return *failed;
//
// The first error is kept and the remaining reads return their fallback.
#ifndef CYCLAMENWOOD_UTIL_JSON_READER_H_
#define CYCLAMENWOOD_UTIL_JSON_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cyclamenwood/error.h"

namespace cyclamenwood {

class json_reader {
 public:
  json_reader(const nlohmann::json& object, std::string path, error_code code);

  // Required without a fallback.
  int64_t integer(std::string_view key,
                  int64_t min,
                  int64_t max,
                  std::optional<int64_t> fallback = std::nullopt);
  bool boolean(std::string_view key, std::optional<bool> fallback);
  std::string text(std::string_view key,
                   size_t min_bytes,
                   size_t max_bytes,
                   const std::optional<std::string>& fallback = std::nullopt);
  // A member of any type, or nullptr when it is absent.
  const nlohmann::json* member(std::string_view key);
  const nlohmann::json& array(std::string_view key, bool is_required);
  const nlohmann::json& object(std::string_view key, bool is_required);

  // Records an error at a key of this object.
  void fail(std::string_view key, std::string_view reason);
  // Takes over an error from a nested reader.
  void adopt(const std::optional<error>& nested);
  std::string path_of(std::string_view key) const;
  bool failed() const { return error_.has_value(); }

  // The first error, or one that names an unread key.
  std::optional<error> finish();

 private:
  const nlohmann::json* container(std::string_view key,
                                  bool is_required,
                                  bool is_array);

  const nlohmann::json* object_;
  std::string path_;
  error_code code_;
  std::set<std::string, std::less<>> read_;
  std::optional<error> error_;
};

// Parses JSON; with comments when asked.
result<nlohmann::json> parse_json(std::string_view text,
                                  bool comments,
                                  error_code code);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_UTIL_JSON_READER_H_
