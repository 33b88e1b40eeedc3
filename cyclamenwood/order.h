// The orders that an owner sends to leased upstreams, and their replies, as
// plain data.
//
// A leased upstream runs the tasks that the owner of its pool orders. Each run
// there holds a lease that is measured on the upstream's own clock. The owner
// renews the lease with each renewal order, whose reply lists the runs that are
// in progress and those that have ended. An upstream rejects orders whose
// fencing token is lower than the highest one that it has received.
#ifndef CYCLAMENWOOD_ORDER_H_
#define CYCLAMENWOOD_ORDER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenwood/types.h"

namespace cyclamenwood {

// The name of a task on upstreams: "JOB.0.STEP.TASK".
std::string task_name(std::string_view job, uint32_t step, uint32_t task);

enum class order_kind { start, stop, renewal };

struct run_order {
  // Identifies the order in its reply.
  uint64_t id = 0;
  order_kind kind = order_kind::renewal;
  std::string upstream;
  // The incarnation of the upstream that the order is meant for. Any other
  // incarnation rejects the order.
  uint64_t incarnation = 0;
  std::string address;
  uint64_t token = 0;
  // Set in start and stop orders.
  std::string task;
  uint32_t attempt = 0;
  // Set in start orders.
  std::string spec;
  // Start and renewal: the end of the lease on the upstream's clock; 0 if the
  // order renews no lease.
  int64_t lease_deadline_ms = 0;
  // Renewal: the owner has received the ends up to this number, so that the
  // upstream may discard them.
  uint64_t last_end_number = 0;
  // Renewal: how long the upstream may delay its reply until a run ends.
  int64_t wait_ms = 0;
  // Without a reply by this time the order counts as unanswered.
  unix_ms reply_deadline_ms = 0;
};

enum class order_outcome {
  accepted,
  // Another owner has used a higher token.
  stale_token,
  // The attempt is not higher than one that was stopped or has ended there.
  stale_attempt,
  // The lease deadline had passed when the order arrived.
  late,
  no_room,
  // The upstream could not parse the order.
  invalid,
  // The upstream reported itself unhealthy and did not carry out the order.
  unhealthy,
  // Another incarnation of the upstream replied.
  other_incarnation,
  // No reply arrived. The order may have been carried out, or may still be.
  unanswered,
};

std::string_view to_string(order_outcome outcome);

struct listed_run {
  std::string task;
  uint32_t attempt = 0;
  int64_t percent = 0;
};

enum class run_end { done, failed, stopped, lease_expired, gang_aborted };

std::string_view to_string(run_end how);

struct listed_end {
  uint64_t number = 0;
  std::string task;
  uint32_t attempt = 0;
  run_end how = run_end::done;
};

struct order_reply {
  order_outcome outcome = order_outcome::unanswered;
  // Unanswered orders: the upstream's host refused the connection, so that no
  // process listens there.
  bool connection_refused = false;
  // The upstream's clock when it replied; 0 if not reported.
  int64_t clock_ms = 0;
  // The incarnation that replied; 0 if not reported.
  uint64_t incarnation = 0;
  // Set in replies to accepted renewals.
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ORDER_H_
