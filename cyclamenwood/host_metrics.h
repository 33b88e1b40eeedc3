// The gauges of an entry host of a seeded deployment, as of now: the
// configuration in force, the jobs, who owns which pool as far as this process
// knows, and the pools that it owns itself with the room of each upstream.
#ifndef CYCLAMENWOOD_HOST_METRICS_H_
#define CYCLAMENWOOD_HOST_METRICS_H_

#include "cyclamenwood/exposition.h"
#include "cyclamenwood/host_entry.h"

namespace cyclamenwood {

void show_host(const host_entry& state, unix_ms now, exposition& seen);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_HOST_METRICS_H_
