// Reloads a host's settings when the content of their file changes or on
// SIGHUP. An invalid file is logged and the current settings are kept.
#ifndef CYCLAMENWOOD_SETTINGS_WATCH_H_
#define CYCLAMENWOOD_SETTINGS_WATCH_H_

#include <functional>
#include <string>

#include "cyclamenwood/host_settings.h"
#include "cyclamenwood/loop.h"

namespace cyclamenwood {

class settings_watch {
 public:
  using change_handler = std::function<void(const host_settings&)>;

  // `path` is the file that the current settings were read from. `changed` is
  // called on the event loop with each valid new version.
  settings_watch(event_loop& loop, std::string path, change_handler changed);

 private:
  void read_if_changed();
  void read();

  std::string path_;
  change_handler changed_;
  std::string text_;
  periodic_timer poll_;
  signal_watcher hangup_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_SETTINGS_WATCH_H_
