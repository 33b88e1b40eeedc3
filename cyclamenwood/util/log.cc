// A pipe that poll reports as writable accepts at least PIPE_BUF bytes, so a
// write of at most that size does not block. Each write is preceded by a poll
// without a timeout.
//
// The date is formatted once a second, as that takes most of the time of a
// line.
#include "cyclamenwood/util/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <map>
#include <mutex>
#include <string>

namespace cyclamenwood {
namespace {

// Limit of lines not yet taken by the reader: a tenth of a percent of a host's
// memory.
constexpr size_t MAX_BUFFERED_BYTES = 256 << 10;
// Limit for the lines of one event. An entry host answers fewer jobs per
// second.
constexpr uint64_t MAX_LINES_PER_SECOND = 500;

using clock = std::chrono::system_clock;

std::string_view level_name(log_level level) {
  switch (level) {
    case log_level::debug:
      return "debug";
    case log_level::info:
      return "info";
    case log_level::warning:
      return "warning";
    case log_level::error:
      return "error";
  }
  return "info";
}

class line_buffer {
 public:
  ~line_buffer() { flush(); }

  void set_level(log_level level) {
    std::lock_guard lock(mutex_);
    level_ = level;
  }

  void add(log_level level, std::string_view event, std::string_view details) {
    std::lock_guard lock(mutex_);
    if (level < level_)
      return;
    clock::time_point now = clock::now();
    begin_second(now);
    if (++lines_of(event) > MAX_LINES_PER_SECOND) {
      ++counts_.suppressed;
      return;
    }
    append(now, level, event, details);
    if (level >= log_level::warning)
      write_out();
  }

  void flush() {
    std::lock_guard lock(mutex_);
    if (!text_.empty())
      write_out();
  }

  log_counts counts() {
    std::lock_guard lock(mutex_);
    return counts_;
  }

 private:
  // When a new second begins, logs how many lines were suppressed in the
  // previous one and how many have been dropped. The latter waits until the
  // buffer is at most half full.
  void begin_second(clock::time_point now) {
    auto second = std::chrono::floor<std::chrono::seconds>(now);
    if (second == second_)
      return;
    second_ = second;
    second_text_ = fmt::format("{:%Y-%m-%dT%H:%M:%S}",
                               fmt::gmtime(clock::to_time_t(second)));
    for (const auto& [event, lines] : lines_this_second_) {
      if (lines > MAX_LINES_PER_SECOND)
        append(now, log_level::warning, "log_lines_suppressed",
               fmt::format("event={} lines={}", event,
                           lines - MAX_LINES_PER_SECOND));
    }
    lines_this_second_.clear();
    if (unreported_drops_ == 0 || text_.size() > MAX_BUFFERED_BYTES / 2)
      return;
    append(now, log_level::warning, "log_lines_dropped",
           fmt::format("lines={}", unreported_drops_));
    unreported_drops_ = 0;
  }

  // The number of lines of the event in this second.
  uint64_t& lines_of(std::string_view event) {
    auto found = lines_this_second_.find(event);
    if (found == lines_this_second_.end())
      found = lines_this_second_.emplace(event, 0).first;
    return found->second;
  }

  void append(clock::time_point now,
              log_level level,
              std::string_view event,
              std::string_view details) {
    auto ms = std::chrono::floor<std::chrono::milliseconds>(now - second_);
    fmt::memory_buffer line;
    fmt::format_to(std::back_inserter(line), "{}.{:03}Z {} {}{}{}\n",
                   second_text_, ms.count(), level_name(level), event,
                   details.empty() ? "" : " ", details);
    if (text_.size() + line.size() > MAX_BUFFERED_BYTES) {
      ++counts_.dropped;
      ++unreported_drops_;
      return;
    }
    ++counts_.lines;
    counts_.bytes += line.size();
    text_.append(line.data(), line.size());
  }

  void write_out() {
    size_t written = 0;
    while (written < text_.size()) {
      pollfd target{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&target, 1, 0) <= 0 || (target.revents & POLLOUT) == 0)
        break;
      size_t size = std::min<size_t>(text_.size() - written, PIPE_BUF);
      ssize_t wrote = ::write(STDOUT_FILENO, text_.data() + written, size);
      if (wrote <= 0)
        break;
      written += wrote;
    }
    text_.erase(0, written);
  }

  std::mutex mutex_;
  log_level level_ = log_level::info;
  std::string text_;
  // The second of the latest line, and its text as in log lines.
  std::chrono::sys_seconds second_;
  std::string second_text_;
  // By event.
  std::map<std::string, uint64_t, std::less<>> lines_this_second_;
  uint64_t unreported_drops_ = 0;
  log_counts counts_;
};

line_buffer& buffer() {
  static line_buffer instance;
  return instance;
}

}  // namespace

void set_log_level(log_level level) {
  buffer().set_level(level);
}

void log_line(log_level level,
              std::string_view event,
              std::string_view details) {
  buffer().add(level, event, details);
}

void flush_log() {
  buffer().flush();
}

log_counts get_log_counts() {
  return buffer().counts();
}

}  // namespace cyclamenwood
