// Gauges of an entry host of a seeded deployment: the version of the
// configuration in force, the open jobs, the known owner of each pool, and the
// state of the pools owned here with the capacity and use of each upstream.
#ifndef CYCLAMENWOOD_HOST_METRICS_H_
#define CYCLAMENWOOD_HOST_METRICS_H_

#include "cyclamenwood/exposition.h"
#include "cyclamenwood/host_entry.h"

namespace cyclamenwood {

// Writes the gauges as of `now`.
void write_host_gauges(const host_entry& state,
                       unix_ms now,
                       exposition& metrics);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_HOST_METRICS_H_
