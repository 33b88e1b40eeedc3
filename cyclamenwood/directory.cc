// There is one record for each id. Every change takes the next number, so that
// the position of a reader is one integer.
#include "cyclamenwood/directory.h"

#include <utility>

namespace cyclamenwood {
namespace {

// Returns whether anything but the sequence differs.
bool has_changed(wire::upstream known, const wire::upstream& announced) {
  known.set_sequence(announced.sequence());
  return known.SerializeAsString() != announced.SerializeAsString();
}

}  // namespace

bool receive_announcement(upstream_directory& directory,
                          const wire::upstream& announced,
                          unix_ms now) {
  auto [found, added] = directory.records.try_emplace(announced.id());
  directory_record& record = found->second;
  if (!added) {
    const wire::upstream& known = record.upstream;
    bool older = announced.incarnation() < known.incarnation() ||
                 (announced.incarnation() == known.incarnation() &&
                  announced.sequence() <= known.sequence());
    if (older)
      return false;
  }
  record.last_contact_ms = now;
  // An announcement that was sent before the upstream left may arrive later.
  bool has_left = record.upstream.state() == wire::UPSTREAM_LEAVING &&
                  record.upstream.incarnation() == announced.incarnation();
  wire::upstream current = announced;
  if (has_left)
    current.set_state(wire::UPSTREAM_LEAVING);
  // Announcements that did not arrive here may have told other replicas that
  // the upstream had changed. That it is now as it was before is a change then.
  bool missed_some = announced.sequence() != record.upstream.sequence() + 1;
  bool news = added || missed_some || has_changed(record.upstream, current);
  record.upstream = std::move(current);
  if (news)
    record.change = ++directory.last_change;
  return news;
}

bool mark_leaving(upstream_directory& directory, const std::string& id) {
  auto found = directory.records.find(id);
  if (found == directory.records.end() ||
      found->second.upstream.state() == wire::UPSTREAM_LEAVING)
    return false;
  found->second.upstream.set_state(wire::UPSTREAM_LEAVING);
  found->second.change = ++directory.last_change;
  return true;
}

void expire_upstreams(upstream_directory& directory, unix_ms oldest_ms) {
  std::erase_if(directory.records, [oldest_ms](const auto& item) {
    return item.second.last_contact_ms < oldest_ms;
  });
}

void add_changes(const upstream_directory& directory,
                 const std::string& zone,
                 uint64_t have,
                 wire::control_news& news) {
  news.set_directory(directory.incarnation);
  news.set_change(directory.last_change);
  for (const auto& [id, record] : directory.records) {
    if (record.change > have && record.upstream.zone() == zone)
      *news.add_upstreams() = record.upstream;
  }
}

}  // namespace cyclamenwood
