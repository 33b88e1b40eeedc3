// Orders to leased upstreams and their replies, as data.
//
// A leased upstream runs tasks that its owner orders. Everything that runs
// there holds a lease on the upstream's own clock; the owner renews it with
// each hold, whose reply lists what runs and what has ended. An upstream
// rejects orders with an older fencing token than the highest it has seen.
#ifndef CYCLAMENWOOD_ORDER_H_
#define CYCLAMENWOOD_ORDER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenwood/types.h"

namespace cyclamenwood {

enum class order_kind { start, stop, hold };

struct run_order {
  // Names the order in its reply.
  uint64_t id = 0;
  order_kind kind = order_kind::hold;
  std::string upstream;
  // The life of the upstream that is meant; another one rejects the order.
  uint64_t incarnation = 0;
  std::string address;
  uint64_t token = 0;
  // Start and stop.
  std::string task;
  uint32_t attempt = 0;
  // Start.
  std::string spec;
  // Start and hold: the end of the lease on the upstream's clock; 0: none.
  int64_t lease_deadline_ms = 0;
  // Hold: ends up to this number are known here and may be forgotten there.
  uint64_t last_seen = 0;
  // Hold: the reply may wait this long for an end.
  int64_t wait_ms = 0;
  // After this time the order counts as unanswered.
  unix_ms give_up_ms = 0;
};

enum class order_outcome {
  accepted,
  // Another owner has used a higher token.
  stale_token,
  // The attempt is not higher than one that was stopped or ended there.
  stale_attempt,
  // The lease deadline had passed already.
  late,
  no_room,
  // The upstream can't read the order.
  invalid,
  // The upstream is unwell and has done nothing.
  unhealthy,
  // Another life of the upstream answered.
  other_incarnation,
  // No answer: the order may have been or may yet be carried out.
  unanswered,
};

std::string_view to_string(order_outcome outcome);

struct listed_run {
  std::string task;
  uint32_t attempt = 0;
  int64_t percent = 0;
};

enum class run_end { done, failed, stopped, lapsed, gang_broken };

struct listed_end {
  uint64_t number = 0;
  std::string task;
  uint32_t attempt = 0;
  run_end how = run_end::done;
};

struct order_reply {
  order_outcome outcome = order_outcome::unanswered;
  // The upstream's clock when it replied; 0: not told.
  int64_t clock_ms = 0;
  // Which life of the upstream replied; 0: not told.
  uint64_t incarnation = 0;
  // Accepted holds.
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_ORDER_H_
