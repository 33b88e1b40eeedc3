// The losses of a task form a set to which facts are only added. Its size is
// the count that decides, so that reports may arrive repeatedly, out of order
// and from several hosts.
#include "cyclamenwood/loss_history.h"

#include <algorithm>

namespace cyclamenwood {
namespace {

size_t count_crashes(const lost_upstreams& lost) {
  return std::count_if(lost.begin(), lost.end(),
                       [](const auto& item) { return item.second; });
}

const lost_upstreams* find_losses(const loss_history& history,
                                  std::string_view task) {
  auto found = history.tasks.find(task);
  return found == history.tasks.end() ? nullptr : &found->second;
}

void forget_oldest(loss_history& history) {
  auto oldest = history.recent.begin();
  const wire::run_loss& loss = oldest->second.loss;
  auto found = history.tasks.find(loss.task());
  if (found != history.tasks.end()) {
    auto known = found->second.find({loss.upstream(), loss.incarnation()});
    // A later record of the same loss may say that it was a crash.
    if (known != found->second.end() && known->second == loss.crashed())
      found->second.erase(known);
    if (found->second.empty())
      history.tasks.erase(found);
  }
  history.recent.erase(oldest);
}

}  // namespace

bool record_loss(loss_history& history,
                 const wire::run_loss& loss,
                 unix_ms now) {
  auto [known, added] = history.tasks[loss.task()].try_emplace(
      {loss.upstream(), loss.incarnation()}, loss.crashed());
  bool news = added || (loss.crashed() && !known->second);
  if (!news)
    return false;
  known->second = loss.crashed();
  history.recent[history.next_number++] = {loss, now + LOSS_RETENTION_MS};
  if (history.recent.size() > MAX_RETAINED_LOSSES)
    forget_oldest(history);
  return true;
}

bool is_suspect(const loss_history& history, std::string_view task) {
  const lost_upstreams* lost = find_losses(history, task);
  return lost != nullptr && (lost->size() > 1 || count_crashes(*lost) > 0);
}

bool is_given_up(const loss_history& history, std::string_view task) {
  const lost_upstreams* lost = find_losses(history, task);
  return lost != nullptr &&
         (lost->size() >= MAX_LOSSES || count_crashes(*lost) >= MAX_CRASHES);
}

void expire_losses(loss_history& history, unix_ms now) {
  while (!history.recent.empty() &&
         now >= history.recent.begin()->second.expires_ms)
    forget_oldest(history);
}

}  // namespace cyclamenwood
