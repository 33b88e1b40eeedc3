// The entry host's daemon, which drives the entry reducer and performs its
// I/O.
#ifndef CYCLAMENWOOD_ENTRY_DAEMON_H_
#define CYCLAMENWOOD_ENTRY_DAEMON_H_

#include <string>

#include "cyclamenwood/error.h"
#include "cyclamenwood/settings.h"

namespace cyclamenwood {

// Runs the entry host called `name` until it has drained. Returns an error if
// it could not start: settings_invalid if `all` has no such host, or the
// failure to listen.
result<done> run_entry_daemon(const settings& all, const std::string& name);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ENTRY_DAEMON_H_
