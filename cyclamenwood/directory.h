// The directory of one replica: the upstreams that announce themselves to it.
//
// Announcements are ordered by the upstream's incarnation, then by its
// sequence; older ones are ignored. Readers, which are entry hosts, get the
// changes since their last position. Renewals that change nothing are not
// passed on, since an upstream's owner is in direct contact with it. An
// upstream may announce itself to several replicas in turn; each announcement
// takes the next sequence, so that a gap shows that others have arrived
// elsewhere.
#ifndef CYCLAMENWOOD_DIRECTORY_H_
#define CYCLAMENWOOD_DIRECTORY_H_

#include <map>
#include <string>

#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

struct directory_record {
  wire::upstream upstream;
  // Number of the last change of the record.
  uint64_t change = 0;
  unix_ms last_contact_ms = 0;
};

struct upstream_directory {
  // Random, drawn when the process starts: change numbers of another
  // incarnation are not comparable.
  uint64_t incarnation = 0;
  uint64_t last_change = 0;
  std::map<std::string, directory_record> records;
};

// Handles an announcement; leaving is final within an incarnation. Returns
// whether it is a change that readers must get.
bool receive_announcement(upstream_directory& directory,
                          const wire::upstream& announced,
                          unix_ms now);

// Marks an upstream as leaving for good. Returns whether that is a change;
// unknown upstreams are ignored.
bool mark_leaving(upstream_directory& directory, const std::string& id);

// Removes records of upstreams that sent no announcement since `oldest_ms`.
void expire_upstreams(upstream_directory& directory, unix_ms oldest_ms);

// Adds the upstreams of a zone that changed after change number `have` to
// `news`, together with the directory's current position.
void add_changes(const upstream_directory& directory,
                 const std::string& zone,
                 uint64_t have,
                 wire::control_news& news);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_DIRECTORY_H_
