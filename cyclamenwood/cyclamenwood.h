// The entry point for programs that embed the library.
//
// cyclamenwood dispatches jobs, parallel batches of sub-second tasks, to
// upstreams that announce themselves. All decisions are made by two reducers,
// which perform no I/O, read no clock and start no threads:
//
//   entry.h    one entry host: admission, claims, dispatch and answers
//   replica.h  one replica: replicated logs, claims and configuration
//
// A driver passes events with their times to the reducers and executes the
// resulting effects. The daemons are drivers (entry_daemon.cc,
// replica_daemon.cc); a simulation or a program with another transport can be
// one as well. This example shows a complete cycle with one replica and one
// entry host in the same process and a queue in place of the network:
//
//   using namespace cyclamenwood;
//   result<settings> parsed = parse_settings(text);
//   settings& all = value(parsed);
//   replica_state replica = make_replica(all, "a-r1", 0xaa, 1, now);
//   entry_state entry = make_entry(all, "a-1", 1, 2, now);
//
//   // Each event carries its time; each effect is a plain value.
//   replica_effects log = reduce(replica, replica_started{now});
//   entry_effects effects = reduce(entry, entry_tick{now});
//   effects = reduce(entry, entry_roll_out{now, caller, bundle_text});
//   effects = reduce(entry, entry_announce{now, caller, upstream});
//   effects = reduce(entry, entry_submit{now, caller, request});
//
//   // replica_persist: append the write to stable storage. Once all writes
//   //   are synced: reduce(replica, replica_synced{now, sync_us}).
//   // replica_send, entry_send: deliver as replica_received/entry_received.
//   // entry_start_task: run the task at the address, once; report its end by
//   //   reduce(entry, entry_task_ended{now, attempt_id, outcome, ...}).
//   // entry_answer: send the complete answer to the caller.
//
// testing/embed_test.cc is a complete program of this kind. testing/model.cc
// drives three replicas and three entry hosts under random faults in about 600
// lines.
//
// Requirements on a driver:
//  - `now` is read for each event and never decreases;
//  - a write that failed or may have failed is never reported as synced;
//  - after a restart, an entry host uses a new incarnation and a replica
//    replays its log.
// Messages may be lost, delayed, duplicated and reordered.
#ifndef CYCLAMENWOOD_CYCLAMENWOOD_H_
#define CYCLAMENWOOD_CYCLAMENWOOD_H_

#include "cyclamenwood/api.h"
#include "cyclamenwood/bundle.h"
#include "cyclamenwood/entry.h"
#include "cyclamenwood/error.h"
#include "cyclamenwood/replica.h"
#include "cyclamenwood/settings.h"
#include "cyclamenwood/types.h"

#endif  // CYCLAMENWOOD_CYCLAMENWOOD_H_
