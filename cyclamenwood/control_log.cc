// Each shard has one record, which a new grant replaces. The last issued token
// is part of the state, and therefore of each snapshot.
#include "cyclamenwood/control_log.h"

#include <algorithm>

namespace cyclamenwood {

bool apply_config(control_log& log, const wire::roll_out& offered) {
  if (log.table.has_latest() &&
      offered.version() <= log.table.latest().version())
    return false;
  *log.table.mutable_latest() = offered;
  return true;
}

void apply_grant(control_log& log, const wire::owner_grant& wanted) {
  uint64_t token = log.table.last_token() + 1;
  log.table.set_last_token(token);
  wire::owner_grant* record = nullptr;
  for (wire::owner_grant& known : *log.table.mutable_grants()) {
    if (known.zone() == wanted.zone() && known.shard() == wanted.shard())
      record = &known;
  }
  if (record == nullptr)
    record = log.table.add_grants();
  *record = wanted;
  record->set_token(token);
}

void apply_evacuation(control_log& log, const wire::evacuation& order) {
  wire::evacuation_list& list = *log.table.mutable_evacuations();
  list.set_revision(list.revision() + 1);
  auto& zones = *list.mutable_zones();
  auto found = std::find(zones.begin(), zones.end(), order.zone());
  if (order.active() && found == zones.end())
    list.add_zones(order.zone());
  else if (!order.active() && found != zones.end())
    zones.erase(found);
}

const wire::owner_grant* find_grant(const control_log& log,
                                    std::string_view zone,
                                    uint32_t shard) {
  for (const wire::owner_grant& known : log.table.grants()) {
    if (known.zone() == zone && known.shard() == shard)
      return &known;
  }
  return nullptr;
}

std::string save_control(const control_log& log) {
  return log.table.SerializeAsString();
}

control_log load_control(std::string_view data) {
  control_log log;
  log.table.ParseFromArray(data.data(), static_cast<int>(data.size()));
  return log;
}

}  // namespace cyclamenwood
