// Tests of the write-ahead log: torn tails, damaged records, failing files and
// data folders.
#include "cyclamenwood/wal.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace cyclamenwood {
namespace {

// An in-memory file whose operations fail while `fails` is set; a failing
// append writes half of its bytes.
struct fake_file {
  std::string* bytes = nullptr;
  bool* fails = nullptr;

  result<done> append(std::string_view more) {
    if (*fails) {
      bytes->append(more.substr(0, more.size() / 2));
      return error{error_code::write_failed, "no space left on device"};
    }
    bytes->append(more);
    return done{};
  }
  result<done> sync() {
    if (*fails)
      return error{error_code::write_failed, "no space left on device"};
    return done{};
  }
};

wire::wal_write make_write(uint64_t index) {
  wire::wal_write write;
  write.set_group("config");
  write.set_term(3);
  wire::log_entry& entry = *write.add_entries();
  entry.set_index(index);
  entry.set_term(3);
  entry.mutable_command()->mutable_claim()->set_key(std::string(40, 'k'));
  return write;
}

std::string identity_record() {
  wire::wal_record record;
  record.mutable_identity()->set_identity(42);
  return encode_record(record);
}

struct fake_log {
  std::string bytes = identity_record();
  bool fails = false;
  wal_writer<fake_file> writer{fake_file{&bytes, &fails}, bytes.size()};
};

TEST(wal, reads_back_what_was_written) {
  fake_log log;
  for (uint64_t index = 1; index <= 5; ++index) {
    ASSERT_TRUE(ok(log.writer.append(make_write(index))));
    ASSERT_TRUE(ok(log.writer.sync()));
  }
  result<wal_contents> read = decode_log(log.bytes);
  ASSERT_TRUE(ok(read));
  EXPECT_EQ(value(read).identity, 42U);
  EXPECT_EQ(value(read).writes.size(), 5U);
  EXPECT_EQ(value(read).writes[4].entries(0).index(), 5U);
  EXPECT_EQ(value(read).valid_bytes, log.writer.size());
}

// All synced writes are read, wherever the unsynced tail ends.
TEST(wal, torn_tail_is_cut_at_every_byte) {
  fake_log log;
  ASSERT_TRUE(ok(log.writer.append(make_write(1))));
  ASSERT_TRUE(ok(log.writer.sync()));
  size_t synced = log.bytes.size();
  ASSERT_TRUE(ok(log.writer.append(make_write(2))));
  ASSERT_TRUE(ok(log.writer.append(make_write(3))));
  for (size_t cut = synced; cut < log.bytes.size(); ++cut) {
    result<wal_contents> read = decode_log(log.bytes.substr(0, cut));
    ASSERT_TRUE(ok(read)) << cut;
    EXPECT_GE(value(read).writes.size(), 1U);
    EXPECT_GE(value(read).valid_bytes, synced);
  }
  // A write of which only a later part reached the disk is a torn tail too.
  std::string holed = log.bytes;
  holed[synced + 20] = static_cast<char>(holed[synced + 20] ^ 1);
  result<wal_contents> read = decode_log(holed);
  ASSERT_TRUE(ok(read));
  EXPECT_TRUE(value(read).torn_tail);
  EXPECT_EQ(value(read).writes.size(), 1U);
}

// A log with a flipped bit in any synced byte is rejected.
TEST(wal, damage_of_synced_data_is_refused) {
  fake_log log;
  ASSERT_TRUE(ok(log.writer.append(make_write(1))));
  ASSERT_TRUE(ok(log.writer.sync()));
  size_t first_synced = log.bytes.size();
  ASSERT_TRUE(ok(log.writer.append(make_write(2))));
  ASSERT_TRUE(ok(log.writer.sync()));
  for (size_t at = 0; at < first_synced; ++at) {
    std::string damaged = log.bytes;
    damaged[at] = static_cast<char>(damaged[at] ^ 4);
    result<wal_contents> read = decode_log(damaged);
    ASSERT_FALSE(ok(read)) << at;
    EXPECT_EQ(failure(read).code, error_code::log_corrupt);
  }
}

TEST(wal, a_failed_write_stays_failed) {
  fake_log log;
  ASSERT_TRUE(ok(log.writer.append(make_write(1))));
  log.fails = true;
  result<done> failed = log.writer.append(make_write(2));
  ASSERT_FALSE(ok(failed));
  EXPECT_EQ(failure(failed).code, error_code::write_failed);
  log.fails = false;
  EXPECT_FALSE(ok(log.writer.append(make_write(3))));
  EXPECT_FALSE(ok(log.writer.sync()));
}

class folder_test : public ::testing::Test {
 protected:
  folder_test() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "cyw-wal-XXXXXX").string();
    root_ = mkdtemp(pattern.data());
    folder_ = root_ + "/data";
  }
  ~folder_test() override { std::filesystem::remove_all(root_); }

  std::string root_;
  std::string folder_;
};

TEST_F(folder_test, formats_once_and_locks) {
  data_folder early;
  result<wal_contents> unformatted = early.open(folder_);
  ASSERT_FALSE(ok(unformatted));
  EXPECT_EQ(failure(unformatted).code, error_code::folder_not_formatted);
  result<uint64_t> identity = format_folder(folder_, "r1");
  ASSERT_TRUE(ok(identity));
  result<uint64_t> again = format_folder(folder_, "r1");
  ASSERT_FALSE(ok(again));
  EXPECT_EQ(failure(again).code, error_code::folder_already_formatted);
  data_folder first;
  result<wal_contents> opened = first.open(folder_);
  ASSERT_TRUE(ok(opened));
  EXPECT_EQ(value(opened).identity, value(identity));
  EXPECT_EQ(value(opened).host, "r1");
  data_folder second;
  EXPECT_FALSE(ok(second.open(folder_)));
}

TEST_F(folder_test, rewrite_replaces_the_log) {
  ASSERT_TRUE(ok(format_folder(folder_, "r1")));
  {
    data_folder data;
    ASSERT_TRUE(ok(data.open(folder_)));
    for (uint64_t index = 1; index <= 50; ++index)
      ASSERT_TRUE(ok(data.append(make_write(index))));
    ASSERT_TRUE(ok(data.sync()));
    uint64_t before = data.size();
    std::vector<wire::wal_write> kept = {make_write(50)};
    ASSERT_TRUE(ok(data.rewrite(kept)));
    EXPECT_LT(data.size(), before);
    ASSERT_TRUE(ok(data.append(make_write(51))));
    ASSERT_TRUE(ok(data.sync()));
  }
  data_folder data;
  result<wal_contents> read = data.open(folder_);
  ASSERT_TRUE(ok(read));
  EXPECT_EQ(value(read).writes.size(), 2U);
}

}  // namespace
}  // namespace cyclamenwood
