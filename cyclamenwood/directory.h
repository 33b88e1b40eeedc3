// What one replica knows of the upstreams that announce themselves to it.
//
// Announcements are ordered by the upstream's incarnation, then by its
// sequence; older ones are dropped. Readers get what changed since the change
// that they have; renewals that change nothing are not passed on, since an
// upstream's owner hears from it directly.
#ifndef CYCLAMENWOOD_DIRECTORY_H_
#define CYCLAMENWOOD_DIRECTORY_H_

#include <map>
#include <string>

#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

struct directory_record {
  wire::upstream upstream;
  // Number of the change that made it what it is.
  uint64_t change = 0;
  unix_ms last_contact_ms = 0;
};

struct upstream_directory {
  // Drawn when the process starts: changes of another life mean nothing.
  uint64_t life = 0;
  uint64_t last_change = 0;
  std::map<std::string, directory_record> records;
};

// Takes an announcement. Returns whether readers must learn of it.
bool hear_upstream(upstream_directory& directory,
                   const wire::upstream& heard,
                   unix_ms now);

// Marks an upstream as leaving for good. Unknown ones are ignored.
bool hear_leave(upstream_directory& directory, const std::string& id);

// Drops what has not been heard of since `oldest_ms`.
void expire_upstreams(upstream_directory& directory, unix_ms oldest_ms);

// Adds the changes after `have` of a zone's upstreams to a message.
void add_changes(const upstream_directory& directory,
                 const std::string& zone,
                 uint64_t have,
                 wire::control_news& news);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_DIRECTORY_H_
