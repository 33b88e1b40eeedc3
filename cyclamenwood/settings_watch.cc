// The file is polled, and its content is compared instead of its modification
// time: a file system may keep the time in whole seconds, and clocks may be
// stepped.
#include "cyclamenwood/settings_watch.h"

#include <csignal>
#include <utility>

#include "cyclamenwood/util/log.h"

namespace cyclamenwood {
namespace {

constexpr int64_t POLL_INTERVAL_MS = 1'000;

}  // namespace

settings_watch::settings_watch(event_loop& loop,
                               std::string path,
                               change_handler changed)
    : path_(std::move(path)),
      changed_(std::move(changed)),
      text_(read_text_file(path_).value_or("")),
      poll_(loop, POLL_INTERVAL_MS, [this] { read_if_changed(); }),
      hangup_(loop, SIGHUP, [this] { read(); }) {}

void settings_watch::read_if_changed() {
  if (read_text_file(path_).value_or("") != text_)
    read();
}

void settings_watch::read() {
  text_ = read_text_file(path_).value_or("");
  result<host_settings> parsed = parse_host_settings(text_);
  if (!ok(parsed)) {
    log_line(log_level::error, "settings_kept", to_string(failure(parsed)));
    return;
  }
  log_line(log_level::info, "settings_read", "");
  changed_(value(parsed));
}

}  // namespace cyclamenwood
