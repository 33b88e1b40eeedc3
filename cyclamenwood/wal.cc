// A rewrite creates `log.new`, syncs it, renames it to `log` and syncs the
// folder, so that a crash at any point leaves one complete log.
#include "cyclamenwood/wal.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zlib.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <optional>
#include <random>
#include <sstream>
#include <utility>

namespace cyclamenwood {
namespace {

constexpr std::string_view MAGIC = "CYW1";
constexpr size_t HEADER_BYTES = 12;
constexpr size_t MAX_RECORD_BYTES = size_t{1} << 30;
constexpr int FILE_MODE = 0640;
constexpr int FOLDER_MODE = 0750;

error system_failure(error_code code, std::string_view what) {
  return error{code, fmt::format("{}: {}", what, std::strerror(errno))};
}

void put_u32(std::string& bytes, uint32_t value) {
  for (int shift = 0; shift < 32; shift += 8)
    bytes += static_cast<char>(value >> shift);
}

uint32_t get_u32(std::string_view bytes) {
  uint32_t value = 0;
  for (int i = 3; i >= 0; --i)
    value = value << 8 | static_cast<unsigned char>(bytes[i]);
  return value;
}

uint32_t checksum(std::string_view length, std::string_view payload) {
  uLong crc = crc32(0, nullptr, 0);
  crc =
      crc32(crc, reinterpret_cast<const Bytef*>(length.data()), length.size());
  crc = crc32(crc, reinterpret_cast<const Bytef*>(payload.data()),
              payload.size());
  return static_cast<uint32_t>(crc);
}

// Returns the payload of the record at the start of `bytes`, or nothing when
// the record is incomplete or damaged.
std::optional<std::string_view> record_at(std::string_view bytes) {
  if (bytes.size() < HEADER_BYTES || bytes.substr(0, 4) != MAGIC)
    return std::nullopt;
  uint32_t length = get_u32(bytes.substr(4));
  if (length > MAX_RECORD_BYTES || length > bytes.size() - HEADER_BYTES)
    return std::nullopt;
  std::string_view payload = bytes.substr(HEADER_BYTES, length);
  if (checksum(bytes.substr(4, 4), payload) != get_u32(bytes.substr(8)))
    return std::nullopt;
  return payload;
}

bool has_synced_record(std::string_view bytes) {
  size_t offset = bytes.find(MAGIC);
  while (offset != std::string_view::npos) {
    std::optional<std::string_view> payload = record_at(bytes.substr(offset));
    wire::wal_record record;
    if (payload &&
        record.ParseFromArray(payload->data(),
                              static_cast<int>(payload->size())) &&
        record.synced())
      return true;
    offset = bytes.find(MAGIC, offset + 1);
  }
  return false;
}

std::string log_path(const std::string& folder) {
  return folder + "/log";
}

result<done> sync_folder(const std::string& folder) {
  int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0)
    return system_failure(error_code::write_failed, folder);
  int status = ::fsync(descriptor);
  ::close(descriptor);
  if (status != 0)
    return system_failure(error_code::write_failed, folder);
  return done{};
}

// Writes a new log next to the current one, then replaces the current one by
// renaming the new log.
result<wal_writer<posix_file>> write_new_log(
    const std::string& folder,
    uint64_t identity,
    std::string_view host,
    std::span<const wire::wal_write> writes) {
  std::string path = folder + "/log.new";
  int descriptor =
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC,
             FILE_MODE);
  if (descriptor < 0)
    return system_failure(error_code::write_failed, path);
  posix_file file(descriptor);
  wire::wal_record first;
  first.mutable_identity()->set_identity(identity);
  first.mutable_identity()->set_host(std::string(host));
  std::string bytes = encode_record(first);
  if (result<done> wrote = file.append(bytes); !ok(wrote))
    return failure(wrote);
  wal_writer<posix_file> writer(std::move(file), bytes.size());
  for (const wire::wal_write& write : writes) {
    if (result<done> wrote = writer.append(write); !ok(wrote))
      return failure(wrote);
  }
  if (result<done> synced = writer.sync(); !ok(synced))
    return failure(synced);
  if (::rename(path.c_str(), log_path(folder).c_str()) != 0)
    return system_failure(error_code::write_failed, path);
  if (result<done> synced = sync_folder(folder); !ok(synced))
    return failure(synced);
  return writer;
}

uint64_t random_identity() {
  std::random_device device;
  uint64_t identity = 0;
  while (identity == 0)
    identity = uint64_t{device()} << 32 | device();
  return identity;
}

}  // namespace

posix_file::posix_file(posix_file&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

posix_file& posix_file::operator=(posix_file&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  return *this;
}

posix_file::~posix_file() {
  if (descriptor_ >= 0)
    ::close(descriptor_);
}

result<done> posix_file::append(std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t wrote = ::write(descriptor_, bytes.data(), bytes.size());
    if (wrote < 0 && errno == EINTR)
      continue;
    if (wrote < 0)
      return system_failure(error_code::write_failed, "write");
    bytes.remove_prefix(wrote);
  }
  return done{};
}

result<done> posix_file::sync() {
  if (::fdatasync(descriptor_) != 0)
    return system_failure(error_code::write_failed, "fdatasync");
  return done{};
}

result<done> posix_file::truncate(uint64_t size) {
  if (::ftruncate(descriptor_, static_cast<off_t>(size)) != 0)
    return system_failure(error_code::write_failed, "ftruncate");
  return sync();
}

std::string encode_record(const wire::wal_record& record) {
  std::string payload = record.SerializeAsString();
  std::string length;
  put_u32(length, payload.size());
  std::string bytes(MAGIC);
  bytes += length;
  put_u32(bytes, checksum(length, payload));
  bytes += payload;
  return bytes;
}

result<wal_contents> decode_log(std::string_view bytes) {
  wal_contents contents;
  size_t offset = 0;
  while (offset < bytes.size()) {
    std::optional<std::string_view> payload = record_at(bytes.substr(offset));
    wire::wal_record record;
    if (!payload || !record.ParseFromArray(payload->data(),
                                           static_cast<int>(payload->size()))) {
      if (offset == 0 || has_synced_record(bytes.substr(offset)))
        return error{error_code::log_corrupt,
                     fmt::format("invalid record at byte {}", offset)};
      contents.torn_tail = true;
      break;
    }
    if (record.has_identity()) {
      contents.identity = record.identity().identity();
      contents.host = record.identity().host();
    } else if (record.has_write()) {
      contents.writes.push_back(std::move(*record.mutable_write()));
    }
    offset += HEADER_BYTES + payload->size();
  }
  contents.valid_bytes = offset;
  if (contents.identity == 0)
    return error{error_code::folder_not_formatted,
                 "log has no identity record"};
  return contents;
}

result<uint64_t> format_folder(const std::string& folder,
                               std::string_view host,
                               std::optional<uint64_t> requested) {
  if (::mkdir(folder.c_str(), FOLDER_MODE) != 0 && errno != EEXIST)
    return system_failure(error_code::write_failed, folder);
  if (::access(log_path(folder).c_str(), F_OK) == 0)
    return error{error_code::folder_already_formatted, folder};
  uint64_t identity = requested.value_or(random_identity());
  result<wal_writer<posix_file>> written =
      write_new_log(folder, identity, host, {});
  if (!ok(written))
    return failure(written);
  return identity;
}

data_folder::~data_folder() {
  if (lock_ >= 0)
    ::close(lock_);
}

result<wal_contents> data_folder::open(const std::string& folder) {
  std::ifstream input(log_path(folder), std::ios::binary);
  if (!input)
    return error{error_code::folder_not_formatted, folder};
  std::string lock_path = folder + "/lock";
  lock_ = ::open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
  if (lock_ < 0 || ::flock(lock_, LOCK_EX | LOCK_NB) != 0)
    return error{error_code::write_failed,
                 fmt::format("{}: in use by another process", folder)};
  std::ostringstream bytes;
  bytes << input.rdbuf();
  result<wal_contents> contents = decode_log(bytes.view());
  if (!ok(contents))
    return error{failure(contents).code,
                 fmt::format("{}: {}", folder, failure(contents).detail)};
  int descriptor =
      ::open(log_path(folder).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (descriptor < 0)
    return system_failure(error_code::write_failed, folder);
  posix_file file(descriptor);
  if (result<done> cut = file.truncate(value(contents).valid_bytes); !ok(cut))
    return failure(cut);
  folder_ = folder;
  identity_ = value(contents).identity;
  host_ = value(contents).host;
  writer_ =
      wal_writer<posix_file>(std::move(file), value(contents).valid_bytes);
  return contents;
}

result<done> data_folder::append(const wire::wal_write& write) {
  return writer_.append(write);
}

result<done> data_folder::sync() {
  return writer_.sync();
}

result<done> data_folder::rewrite(std::span<const wire::wal_write> writes) {
  result<wal_writer<posix_file>> written =
      write_new_log(folder_, identity_, host_, writes);
  if (!ok(written))
    return failure(written);
  writer_ = std::move(value(written));
  return done{};
}

}  // namespace cyclamenwood
