// The losses of a task form a set to which facts are only added. Its size is
// the count that decides, so that reports may arrive repeatedly, out of order
// and from several hosts.
#include "cyclamenwood/loss_history.h"

#include <fmt/format.h>

#include <algorithm>

#include "cyclamenwood/order.h"

namespace cyclamenwood {
namespace {

size_t count_crashes(const lost_upstreams& lost) {
  return std::count_if(lost.begin(), lost.end(),
                       [](const auto& item) { return item.second.crashed; });
}

loss_verdict judge(const lost_upstreams& lost) {
  if (count_crashes(lost) >= MAX_CRASHES)
    return loss_verdict::crashed;
  return lost.size() >= MAX_LOSSES ? loss_verdict::lost : loss_verdict::none;
}

const lost_upstreams* find_losses(const loss_history& history,
                                  std::string_view task) {
  auto found = history.tasks.find(task);
  return found == history.tasks.end() ? nullptr : &found->second;
}

const known_loss* find_loss(const loss_history& history,
                            std::string_view task,
                            const upstream_key& upstream) {
  const lost_upstreams* lost = find_losses(history, task);
  if (lost == nullptr)
    return nullptr;
  auto found = lost->find(upstream);
  return found == lost->end() ? nullptr : &found->second;
}

void forget_oldest(loss_history& history) {
  const auto& [task, upstream] = history.recent.begin()->second;
  auto found = history.tasks.find(task);
  if (found != history.tasks.end()) {
    found->second.erase(upstream);
    if (found->second.empty())
      history.tasks.erase(found);
  }
  history.recent.erase(history.recent.begin());
}

wire::run_loss describe_loss(const std::string& task,
                             const upstream_key& upstream,
                             const known_loss& known,
                             unix_ms now) {
  wire::run_loss loss;
  loss.set_task(task);
  loss.set_upstream(upstream.first);
  loss.set_incarnation(upstream.second);
  loss.set_crashed(known.crashed);
  loss.set_remaining_ms(known.expires_ms - now);
  return loss;
}

}  // namespace

bool record_loss(loss_history& history,
                 const wire::run_loss& loss,
                 unix_ms now) {
  if (loss.remaining_ms() <= 0)
    return false;
  upstream_key upstream{loss.upstream(), loss.incarnation()};
  known_loss& known = history.tasks[loss.task()][upstream];
  bool is_new = known.expires_ms == 0;
  if (!is_new && (known.crashed || !loss.crashed()))
    return false;
  known.crashed = loss.crashed();
  if (is_new)
    known.expires_ms = now + std::min(loss.remaining_ms(), LOSS_RETENTION_MS);
  history.recent[history.next_number++] = {loss.task(), upstream};
  if (history.recent.size() > MAX_RETAINED_LOSSES)
    forget_oldest(history);
  return true;
}

bool is_suspect(const loss_history& history, std::string_view task) {
  const lost_upstreams* lost = find_losses(history, task);
  return lost != nullptr && (lost->size() > 1 || count_crashes(*lost) > 0);
}

loss_verdict judge_task(const loss_history& history, std::string_view task) {
  const lost_upstreams* lost = find_losses(history, task);
  return lost == nullptr ? loss_verdict::none : judge(*lost);
}

loss_verdict judge_job(const loss_history& history, std::string_view job) {
  loss_verdict verdict = loss_verdict::none;
  std::string prefix = fmt::format("{}.", job);
  auto task = history.tasks.lower_bound(prefix);
  while (task != history.tasks.end() && task->first.starts_with(prefix)) {
    loss_verdict next = judge(task->second);
    if (next == loss_verdict::crashed)
      return next;
    if (next == loss_verdict::lost)
      verdict = next;
    ++task;
  }
  return verdict;
}

void add_losses(const loss_history& history,
                unix_ms now,
                wire::run_request& request) {
  if (history.tasks.empty())
    return;
  for (uint32_t task : request.tasks()) {
    std::string name = task_name(request.job(), request.step(), task);
    const lost_upstreams* lost = find_losses(history, name);
    if (lost == nullptr)
      continue;
    for (const auto& [upstream, known] : *lost)
      *request.add_losses() = describe_loss(name, upstream, known, now);
  }
}

void add_losses_after(const loss_history& history,
                      uint64_t have_losses,
                      unix_ms now,
                      wire::pool_state& state) {
  auto next = history.recent.upper_bound(have_losses);
  for (size_t i = 0; i < MAX_LOSSES_PER_STATE && next != history.recent.end();
       ++i, ++next) {
    const auto& [task, upstream] = next->second;
    state.set_losses_position(next->first);
    if (const known_loss* known = find_loss(history, task, upstream))
      *state.add_losses() = describe_loss(task, upstream, *known, now);
  }
}

void expire_losses(loss_history& history, unix_ms now) {
  while (!history.recent.empty()) {
    const auto& [task, upstream] = history.recent.begin()->second;
    const known_loss* known = find_loss(history, task, upstream);
    if (known != nullptr && known->expires_ms > now)
      return;
    forget_oldest(history);
  }
}

}  // namespace cyclamenwood
