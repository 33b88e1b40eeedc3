// The replica's process: the replica reducer with its log and I/O.
#ifndef CYCLAMENWOOD_REPLICA_DAEMON_H_
#define CYCLAMENWOOD_REPLICA_DAEMON_H_

#include <string>

#include "cyclamenwood/error.h"
#include "cyclamenwood/settings.h"

namespace cyclamenwood {

// Runs until drained; returns what kept it from starting or made it stop.
result<done> run_replica_daemon(const settings& all,
                                const std::string& name,
                                const std::string& folder);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_REPLICA_DAEMON_H_
