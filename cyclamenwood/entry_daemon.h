// The entry host's process: the entry reducer with its I/O.
#ifndef CYCLAMENWOOD_ENTRY_DAEMON_H_
#define CYCLAMENWOOD_ENTRY_DAEMON_H_

#include <string>

#include "cyclamenwood/error.h"
#include "cyclamenwood/settings.h"

namespace cyclamenwood {

// Runs until drained; returns what kept it from starting.
result<done> run_entry_daemon(const settings& all, const std::string& name);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ENTRY_DAEMON_H_
