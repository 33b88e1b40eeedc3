// The control log's state machine: the configuration in force and who owns
// which upstreams.
//
// The configuration with the highest version wins; a version that is not
// higher than the one in force changes nothing. Each grant of ownership gets
// the next fencing token, so that no token is given twice, whatever happened
// to the disks of a minority.
#ifndef CYCLAMENWOOD_CONTROL_LOG_H_
#define CYCLAMENWOOD_CONTROL_LOG_H_

#include <string>
#include <string_view>

#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

struct control_log {
  wire::control_table table;
};

// Applies one committed configuration. Returns whether it is in force now
// and was not before.
bool apply_latest(control_log& log, const wire::roll_out& offered);

// Applies one committed grant, which replaces the shard's former one.
void apply_grant(control_log& log, const wire::owner_grant& wanted);

// The grant of a shard, or null.
const wire::owner_grant* find_grant(const control_log& log,
                                    std::string_view zone,
                                    uint32_t shard = 0);

std::string save_control(const control_log& log);
control_log load_control(std::string_view data);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_CONTROL_LOG_H_
