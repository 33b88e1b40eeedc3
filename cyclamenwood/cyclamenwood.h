// The library's front page, for those who embed it.
//
// cyclamenwood dispatches jobs, parallel batches of sub-second tasks, to
// upstreams that announce themselves. All its decisions are made by two
// reducers, which perform no I/O, read no clock and start no thread:
//
//   entry.h    one entry host: admission, claims, dispatch, answers
//   replica.h  one replica process: replicated logs, claims, configuration
//
// A driver feeds events with their time and carries out the effects. The
// daemons are such drivers (entry_daemon.cc, replica_daemon.cc); a simulation
// or another transport is another. A whole cycle, with one replica and one
// entry host in the same process and the network replaced by a queue:
//
//   using namespace cyclamenwood;
//   result<settings> parsed = parse_settings(text);
//   settings& all = value(parsed);
//   replica_state replica = make_replica(all, "a-r1", 0xaa, 1, now);
//   entry_state entry = make_entry(all, "a-1", 1, 2, now);
//
//   // Every event has its time; every effect is a plain value.
//   replica_effects log = reduce(replica, replica_started{now});
//   entry_effects effects = reduce(entry, entry_tick{now});
//   effects = reduce(entry, entry_roll_out{now, caller, bundle_text});
//   effects = reduce(entry, entry_announce{now, caller, upstream});
//   effects = reduce(entry, entry_submit{now, caller, request});
//
//   // replica_persist: append the write to stable storage. When all are
//   // synced: reduce(replica, replica_synced{now, sync_us}).
//   // replica_send, entry_send: deliver as replica_received/entry_received.
//   // entry_start_task: run the task at the address, once; report its end by
//   //   reduce(entry, entry_task_ended{now, attempt_id, outcome, ...}).
//   // entry_answer: the whole answer for a caller.
//
// testing/embed_test.cc is this example as a program. testing/model.cc drives
// three of each under random faults in some 600 lines.
//
// What a driver owes the reducers: `now` never decreases and is read for each
// event; a write that failed or may have failed is never reported as synced;
// a process that restarts uses another incarnation (entry host) or replays
// its log (replica). Messages may be lost, delayed, doubled and reordered.
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
