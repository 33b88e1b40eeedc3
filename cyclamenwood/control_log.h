// The control log's state machine: the configuration in force and who owns
// each availability zone's upstreams.
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

// Applies one committed grant, which replaces the zone's former one.
void apply_grant(control_log& log, const wire::owner_grant& wanted);

// The grant of a zone, or null.
const wire::owner_grant* find_grant(const control_log& log,
                                    std::string_view zone);

std::string save_control(const control_log& log);
control_log load_control(std::string_view data);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_CONTROL_LOG_H_
