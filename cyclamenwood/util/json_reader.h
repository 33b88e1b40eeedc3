// Reads a JSON object into an aggregate, strictly: a missing key, a wrong type,
// a value out of range or an unknown key is an error that names the key's path.
//
//   json_reader reader(document, "http", error_code::settings_invalid);
//   options.max_key_bytes = reader.integer("max_key_bytes", 8, 4096, 256);
//   if (auto failed = reader.finish())
//     return *failed;
//
// The first error is kept and returned by `finish`; callers need not check each
// read. A failed read returns the minimum, false or an empty value.
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
  // `path` is the path of the object in the document, empty for the document
  // itself. `code` is the code of all errors. `object` must outlive the reader.
  json_reader(const nlohmann::json& object, std::string path, error_code code);

  // Read a member; the bounds are inclusive. A key without a fallback is
  // required.
  int64_t integer(std::string_view key,
                  int64_t min,
                  int64_t max,
                  std::optional<int64_t> fallback = std::nullopt);
  bool boolean(std::string_view key, std::optional<bool> fallback);
  std::string text(std::string_view key,
                   size_t min_bytes,
                   size_t max_bytes,
                   const std::optional<std::string>& fallback = std::nullopt);
  // A member of any type, or nullptr if it is absent.
  const nlohmann::json* member(std::string_view key);
  // A member of that type. Empty if it is absent or of another type.
  const nlohmann::json& array(std::string_view key, bool is_required);
  const nlohmann::json& object(std::string_view key, bool is_required);

  // Records an error at a key of this object, unless there is one already.
  void fail(std::string_view key, std::string_view reason);
  // Records the error of a nested reader, unless there is one already.
  void add_nested_error(const std::optional<error>& nested);
  // The path of a key of this object in the document.
  std::string path_of(std::string_view key) const;
  bool failed() const { return error_.has_value(); }

  // The first error, or an error that names a key that has not been read.
  std::optional<error> finish();

 private:
  const nlohmann::json* container(std::string_view key,
                                  bool is_required,
                                  bool is_array);

  const nlohmann::json* object_;
  std::string path_;
  error_code code_;
  // Keys that have been read.
  std::set<std::string, std::less<>> read_keys_;
  std::optional<error> error_;
};

// Parses JSON; `comments` allows // and /* */ comments. An error has `code` and
// the byte position.
result<nlohmann::json> parse_json(std::string_view text,
                                  bool comments,
                                  error_code code);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_UTIL_JSON_READER_H_
