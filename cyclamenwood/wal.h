// The write-ahead log of one replica process: all its groups in one file, so
// that one sync covers whatever they wrote.
//
// The folder holds `log`, and `lock` while a process uses it. A record is
//
//   magic (4 bytes) | length (4) | CRC-32 of length and payload (4) | payload
//
// with integers in little-endian order and a wire::wal_record as payload. The
// first record holds the identity that `format_folder` drew.
//
// After each sync a `synced` record is appended. When reading meets a bad
// record, a later `synced` record proves that synced data is damaged, and the
// log is refused as corrupt. Without one the bad record belongs to a write
// that was never acknowledged, and the tail is cut off.
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

// What the log needs of a file. Tests use one that fails or loses writes.
template <typename T>
concept log_file = requires(T file, std::string_view bytes, uint64_t size) {
  { file.append(bytes) } -> std::same_as<result<done>>;
  { file.sync() } -> std::same_as<result<done>>;
};

// An open file of the operating system.
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
  // Bytes up to the end of the last good record.
  uint64_t good_bytes = 0;
  bool torn_tail = false;
};

// Frames one record.
std::string encode_record(const wire::wal_record& record);

// Reads a whole log; fails with log_corrupt when synced data is damaged and
// with folder_not_formatted when there is no identity.
result<wal_contents> decode_log(std::string_view bytes);

// Appends writes and syncs them over any file. After the first failure every
// call fails: what is on disk is then unknown and nothing may be promised.
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
    if (result<done> synced = guard(file_.sync()); !ok(synced))
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
    return guard(file_.append(bytes));
  }

  result<done> guard(result<done> attempt) {
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

// Creates the folder's log with this identity, or with a random one.
result<uint64_t> format_folder(const std::string& folder,
                               std::string_view host,
                               std::optional<uint64_t> identity = std::nullopt);

// A replica's data folder, locked while this object lives.
class data_folder {
 public:
  data_folder() = default;
  data_folder(const data_folder&) = delete;
  data_folder& operator=(const data_folder&) = delete;
  ~data_folder();

  // Locks the folder, reads its log and cuts off a torn tail.
  result<wal_contents> open(const std::string& folder);

  result<done> append(const wire::wal_write& write);
  result<done> sync();
  // Replaces the log by one that starts from these writes.
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
