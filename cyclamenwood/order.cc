// Names of tasks, and of the outcomes of orders and runs for log events.
#include "cyclamenwood/order.h"

#include <fmt/format.h>

namespace cyclamenwood {

std::string task_name(std::string_view job, uint32_t step, uint32_t task) {
  return fmt::format("{}.0.{}.{}", job, step, task);
}

std::string_view to_string(order_outcome outcome) {
  switch (outcome) {
    case order_outcome::accepted:
      return "accepted";
    case order_outcome::stale_token:
      return "stale_token";
    case order_outcome::stale_attempt:
      return "stale_attempt";
    case order_outcome::late:
      return "late";
    case order_outcome::no_room:
      return "no_room";
    case order_outcome::invalid:
      return "invalid";
    case order_outcome::unhealthy:
      return "unhealthy";
    case order_outcome::other_incarnation:
      return "other_incarnation";
    case order_outcome::unanswered:
      return "unanswered";
  }
  return "unanswered";
}

std::string_view to_string(run_end how) {
  switch (how) {
    case run_end::done:
      return "done";
    case run_end::failed:
      return "failed";
    case run_end::stopped:
      return "stopped";
    case run_end::lease_expired:
      return "lease_expired";
    case run_end::gang_aborted:
      return "gang_aborted";
  }
  return "unknown";
}

}  // namespace cyclamenwood
