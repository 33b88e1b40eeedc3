// The write-ahead log of one replica process. All its groups share one file, so
// that one sync covers the writes of all of them.
//
// The data folder contains `log`, and `lock`, which the process using the
// folder holds locked. A record is
//
//   magic (4 bytes) | length (4) | CRC-32 of length and payload (4) | payload
//
// with integers in little-endian order and a wire::wal_record as payload. The
// first record holds the identity that `format_folder` chose.
//
// After each sync a `synced` record is appended. If an invalid record is
// followed by a `synced` record, synced data is damaged and the log is rejected
// as corrupt. Otherwise the invalid record belongs to a write that was never
// acknowledged, and the log is truncated before it.
#ifndef CYCLAMENWOOD_WAL_H_
#define CYCLAMENWOOD_WAL_H_

#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenwood/error.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

// A file that the log can be written to. Tests use one that fails or loses
// writes.
template <typename T>
concept log_file = requires(T file, std::string_view bytes, uint64_t size) {
  { file.append(bytes) } -> std::same_as<result<done>>;
  { file.sync() } -> std::same_as<result<done>>;
};

// An append-only file; owns its descriptor.
class posix_file {
 public:
  posix_file() = default;
  explicit posix_file(int descriptor) : descriptor_(descriptor) {}
  posix_file(posix_file&& other) noexcept;
  posix_file& operator=(posix_file&& other) noexcept;
  ~posix_file();

  result<done> append(std::string_view bytes);
  result<done> sync();
  result<done> truncate(uint64_t size);

 private:
  int descriptor_ = -1;
};

struct wal_contents {
  uint64_t identity = 0;
  std::string host;
  std::vector<wire::wal_write> writes;
  // Size of the log up to the end of the last valid record.
  uint64_t valid_bytes = 0;
  bool torn_tail = false;
};

// Returns a record with its header.
std::string encode_record(const wire::wal_record& record);

// Decodes a whole log. Fails with log_corrupt when synced data is damaged and
// with folder_not_formatted when the log has no identity.
result<wal_contents> decode_log(std::string_view bytes);

// Appends writes to a file and syncs them. After the first failure every call
// fails: the contents of the disk are then unknown, so that no write may be
// acknowledged.
template <log_file File>
class wal_writer {
 public:
  wal_writer() = default;
  wal_writer(File file, uint64_t size) : file_(std::move(file)), size_(size) {}

  result<done> append(const wire::wal_write& write) {
    wire::wal_record record;
    *record.mutable_write() = write;
    return append_record(record);
  }

  result<done> sync() {
    if (result<done> synced = keep_first_failure(file_.sync()); !ok(synced))
      return synced;
    wire::wal_record marker;
    marker.set_synced(true);
    return append_record(marker);
  }

  uint64_t size() const { return size_; }

 private:
  result<done> append_record(const wire::wal_record& record) {
    std::string bytes = encode_record(record);
    size_ += bytes.size();
    return keep_first_failure(file_.append(bytes));
  }

  result<done> keep_first_failure(result<done> attempt) {
    if (!ok(attempt) && !failed_)
      failed_ = failure(attempt);
    if (failed_)
      return *failed_;
    return attempt;
  }

  File file_;
  uint64_t size_ = 0;
  std::optional<error> failed_;
};

// Creates the data folder, if needed, and its log with this identity, or with a
// random one. Returns the identity; fails with folder_already_formatted when
// the folder has a log.
result<uint64_t> format_folder(const std::string& folder,
                               std::string_view host,
                               std::optional<uint64_t> identity = std::nullopt);

// A replica's data folder, locked for the lifetime of this object.
class data_folder {
 public:
  data_folder() = default;
  data_folder(const data_folder&) = delete;
  data_folder& operator=(const data_folder&) = delete;
  ~data_folder();

  // Locks the folder, reads its log and truncates a torn tail.
  result<wal_contents> open(const std::string& folder);

  result<done> append(const wire::wal_write& write);
  result<done> sync();
  // Atomically replaces the log with one that contains these writes.
  result<done> rewrite(std::span<const wire::wal_write> writes);
  uint64_t size() const { return writer_.size(); }

 private:
  std::string folder_;
  uint64_t identity_ = 0;
  std::string host_;
  int lock_ = -1;
  wal_writer<posix_file> writer_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_WAL_H_
