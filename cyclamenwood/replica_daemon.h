// The replica process of a deployment whose settings list all processes.
#ifndef CYCLAMENWOOD_REPLICA_DAEMON_H_
#define CYCLAMENWOOD_REPLICA_DAEMON_H_

#include <string>

#include "cyclamenwood/error.h"
#include "cyclamenwood/settings.h"

namespace cyclamenwood {

// Runs the replica `name` with the data folder `folder` until it is drained.
// Returns the error when it could not start or had to stop.
result<done> run_replica_daemon(const settings& all,
                                const std::string& name,
                                const std::string& folder);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_REPLICA_DAEMON_H_
