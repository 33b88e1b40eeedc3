// The control log's state machine: the configuration in force, the owner of
// each shard of upstreams, and the evacuated availability zones.
//
// The configuration with the highest version is in force; a version that is not
// higher changes nothing. Each grant of ownership gets the next fencing token,
// so that no token is issued twice, even if a minority of the replicas loses
// its disks. Each committed evacuation command raises the revision of the list
// of evacuated zones, also when it changes nothing, since commands carry no
// numbers by which a repeated one could be recognized.
#ifndef CYCLAMENWOOD_CONTROL_LOG_H_
#define CYCLAMENWOOD_CONTROL_LOG_H_

#include <string>
#include <string_view>

#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

struct control_log {
  wire::control_table table;
};

// Applies one committed configuration. Returns whether it came into force, that
// is, whether its version is higher than that of the previous one.
bool apply_config(control_log& log, const wire::roll_out& offered);

// Applies one committed grant under the next fencing token. It replaces the
// shard's previous grant.
void apply_grant(control_log& log, const wire::owner_grant& wanted);

// Applies one committed command that begins or finishes the evacuation of a
// zone, under the next revision of the list.
void apply_evacuation(control_log& log, const wire::evacuation& order);

// Returns the current grant of a shard, or null.
const wire::owner_grant* find_grant(const control_log& log,
                                    std::string_view zone,
                                    uint32_t shard = 0);

// Serialize the state machine for a snapshot and restore it.
std::string save_control(const control_log& log);
control_log load_control(std::string_view data);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_CONTROL_LOG_H_
