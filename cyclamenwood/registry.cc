// The digest of a set is the XOR of its records' hashes. It is also kept for
// each bucket of the ids' hashes, so that two copies are compared and repaired
// bucket by bucket. The sequence number is not hashed: it changes with each
// renewal, and renewals are not sent.
#include "cyclamenwood/registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <tuple>

namespace cyclamenwood {
namespace {

// How long records of upstreams that left or expired, and the sets of
// unresponsive holders, are retained.
constexpr int64_t RETENTION_MS = 60'000;

using bucket_digests = std::array<uint64_t, REGISTRY_BUCKETS>;

size_t bucket_of(std::string_view id) {
  return stable_hash(id) % REGISTRY_BUCKETS;
}

uint64_t record_hash(const wire::upstream& record) {
  return stable_hash(fmt::format(
      "{}\n{}\n{}\n{}\n{}\n{}\n{}", record.id(), record.incarnation(),
      record.service(), record.address(), record.zone(), record.slots(),
      static_cast<int>(record.state())));
}

struct set_summary {
  uint32_t count = 0;
  uint64_t digest = 0;
  bucket_digests buckets{};
};

set_summary summarize(const registry& all, std::string_view holder) {
  set_summary summary;
  auto set = all.sets.find(holder);
  if (set == all.sets.end())
    return summary;
  for (const auto& [id, held] : set->second) {
    uint64_t hash = record_hash(held.record);
    ++summary.count;
    summary.digest ^= hash;
    summary.buckets[bucket_of(id)] ^= hash;
  }
  return summary;
}

bool has_same_content(const wire::upstream& a, const wire::upstream& b) {
  return record_hash(a) == record_hash(b);
}

// Returns whether `a` describes a later state of the upstream than `b`.
bool is_newer(const wire::upstream& a, const wire::upstream& b) {
  auto order = [](const wire::upstream& record) {
    bool left = record.state() == wire::UPSTREAM_LEAVING;
    return std::tuple(record.incarnation(), left, record.sequence());
  };
  return order(a) > order(b);
}

void forget(registry& all, const std::string& id) {
  ++all.revision;
  auto found = all.upstreams.find(id);
  if (found == all.upstreams.end())
    return;
  auto service = all.by_service.find(found->second.record.service());
  service->second.erase(id);
  if (service->second.empty())
    all.by_service.erase(service);
  all.upstreams.erase(found);
}

void set_view(registry& all, const std::string& id, upstream_view view) {
  forget(all, id);
  ++all.revision;
  all.by_service[view.record.service()].insert(id);
  all.upstreams[id] = std::move(view);
}

// Recomputes the view of one upstream from the sets.
void refresh_view(registry& all, const std::string& id, unix_ms now) {
  const held_upstream* best = nullptr;
  std::string_view holder;
  for (const auto& [name, set] : all.sets) {
    auto found = set.find(id);
    if (found == set.end())
      continue;
    if (best == nullptr || is_newer(found->second.record, best->record)) {
      best = &found->second;
      holder = name;
    }
  }
  auto known = all.upstreams.find(id);
  bool has_view = known != all.upstreams.end();
  // A retained record that left or expired takes precedence over an older one.
  bool outdated = best != nullptr && has_view &&
                  is_newer(known->second.record, best->record) &&
                  known->second.forget_at_ms != 0;
  if (best == nullptr || outdated) {
    if (!has_view || known->second.expired)
      return;
    ++all.revision;
    known->second.expired = true;
    known->second.forget_at_ms = now + RETENTION_MS;
    return;
  }
  bool renewal = has_view && !known->second.expired &&
                 known->second.holder == holder &&
                 has_same_content(known->second.record, best->record);
  if (renewal) {
    known->second.record = best->record;
    known->second.lease_until_ms = best->lease_until_ms;
    return;
  }
  upstream_view view;
  view.record = best->record;
  view.holder = holder;
  view.lease_until_ms = best->lease_until_ms;
  if (best->record.state() == wire::UPSTREAM_LEAVING)
    view.forget_at_ms = now + RETENTION_MS;
  set_view(all, id, std::move(view));
}

void remove_own(registry& all, const std::string& id, unix_ms now) {
  all.sets[all.self].erase(id);
  all.outgoing.add_dropped(id);
  refresh_view(all, id, now);
}

// Drops the records that `from` no longer holds, in the buckets for which it
// sent all its records.
void remove_unlisted(registry& all,
                     std::string_view from,
                     const wire::upstream_delta& delta,
                     unix_ms now) {
  std::set<std::string> listed;
  for (const wire::upstream& record : delta.upstreams())
    listed.insert(record.id());
  std::set<size_t> buckets(delta.buckets().begin(), delta.buckets().end());
  std::vector<std::string> dropped;
  auto& set = all.sets[std::string(from)];
  for (const auto& [id, held] : set) {
    if (buckets.contains(bucket_of(id)) && !listed.contains(id))
      dropped.push_back(id);
  }
  for (const std::string& id : dropped) {
    set.erase(id);
    refresh_view(all, id, now);
  }
}

// Drops own records whose lease expired, whose retention after a leave is over,
// or that another entry host holds in a newer version.
void expire_own(registry& all, unix_ms now) {
  std::vector<std::string> ended;
  for (const auto& [id, held] : all.sets[all.self]) {
    bool lease_expired = held.record.state() == wire::UPSTREAM_READY &&
                         now >= held.lease_until_ms;
    bool retention_over = held.forget_at_ms != 0 && now >= held.forget_at_ms;
    auto view = all.upstreams.find(id);
    bool moved = view != all.upstreams.end() &&
                 view->second.holder != all.self &&
                 is_newer(view->second.record, held.record);
    if (lease_expired || retention_over || moved)
      ended.push_back(id);
  }
  for (const std::string& id : ended)
    remove_own(all, id, now);
}

// Drops the sets of holders that have sent no digest message for the retention
// time.
void expire_unresponsive_holders(registry& all, unix_ms now) {
  for (auto& [name, set] : all.sets) {
    if (name == all.self || set.empty())
      continue;
    auto holder = all.holders.find(name);
    if (holder != all.holders.end() &&
        now < holder->second.last_contact_ms + RETENTION_MS)
      continue;
    auto removed = std::move(set);
    set.clear();
    for (const auto& [id, held] : removed)
      refresh_view(all, id, now);
  }
}

}  // namespace

announce_result registry_announce(registry& all,
                                  const wire::upstream& record,
                                  unix_ms now) {
  wire::upstream next = record;
  auto known = all.upstreams.find(record.id());
  bool is_known = known != all.upstreams.end();
  if (is_known) {
    const wire::upstream& last = known->second.record;
    bool same_incarnation = last.incarnation() == record.incarnation();
    if (same_incarnation && last.state() == wire::UPSTREAM_LEAVING)
      next.set_state(wire::UPSTREAM_LEAVING);
    if (is_newer(last, next))
      return announce_result::outdated;
  }
  bool changed = !is_known || known->second.expired ||
                 known->second.holder != all.self ||
                 !has_same_content(known->second.record, next);
  held_upstream held;
  held.record = next;
  held.lease_until_ms = now + all.options.upstream_lease_ms;
  if (next.state() == wire::UPSTREAM_LEAVING)
    held.forget_at_ms = now + RETENTION_MS;
  all.sets[all.self][next.id()] = std::move(held);
  refresh_view(all, next.id(), now);
  if (!changed)
    return announce_result::renewed;
  *all.outgoing.add_upstreams() = next;
  return announce_result::changed;
}

void registry_expire(registry& all, unix_ms now) {
  expire_own(all, now);
  expire_unresponsive_holders(all, now);
  std::vector<std::string> forgotten;
  for (const auto& [id, upstream] : all.upstreams) {
    if (upstream.forget_at_ms != 0 && now >= upstream.forget_at_ms)
      forgotten.push_back(id);
  }
  for (const std::string& id : forgotten)
    forget(all, id);
}

wire::upstream_delta registry_take_outgoing(registry& all) {
  wire::upstream_delta delta;
  delta.Swap(&all.outgoing);
  return delta;
}

wire::vouch registry_make_digest(const registry& all) {
  set_summary summary = summarize(all, all.self);
  wire::vouch vouch;
  vouch.set_count(summary.count);
  vouch.set_digest(summary.digest);
  return vouch;
}

std::optional<wire::sync_request> registry_receive_digest(
    registry& all,
    std::string_view from,
    uint64_t incarnation,
    const wire::vouch& vouch,
    unix_ms now) {
  holder_view& holder = all.holders[std::string(from)];
  holder.incarnation = incarnation;
  holder.last_contact_ms = now;
  holder.draining = vouch.draining();
  holder.demand.clear();
  for (const wire::service_load& load : vouch.loads())
    holder.demand[load.service()] = load.demand();
  set_summary copy = summarize(all, from);
  if (copy.count == vouch.count() && copy.digest == vouch.digest()) {
    holder.usable_until_ms = now + all.options.vouch_timeout_ms;
    return std::nullopt;
  }
  wire::sync_request request;
  for (uint64_t digest : copy.buckets)
    request.add_bucket_digests(digest);
  return request;
}

wire::upstream_delta registry_answer_sync(const registry& all,
                                          const wire::sync_request& request) {
  wire::upstream_delta delta;
  set_summary own = summarize(all, all.self);
  std::set<size_t> differing;
  for (size_t bucket = 0; bucket < REGISTRY_BUCKETS; ++bucket) {
    bool known = static_cast<int>(bucket) < request.bucket_digests_size();
    if (known && request.bucket_digests(bucket) == own.buckets[bucket])
      continue;
    differing.insert(bucket);
    delta.add_buckets(bucket);
  }
  auto set = all.sets.find(all.self);
  if (set == all.sets.end())
    return delta;
  for (const auto& [id, held] : set->second) {
    if (differing.contains(bucket_of(id)))
      *delta.add_upstreams() = held.record;
  }
  return delta;
}

void registry_receive_delta(registry& all,
                            std::string_view from,
                            const wire::upstream_delta& delta,
                            unix_ms now) {
  if (from == all.self)
    return;
  remove_unlisted(all, from, delta, now);
  auto& set = all.sets[std::string(from)];
  for (const std::string& id : delta.dropped()) {
    set.erase(id);
    refresh_view(all, id, now);
  }
  for (const wire::upstream& record : delta.upstreams()) {
    set[record.id()].record = record;
    refresh_view(all, record.id(), now);
  }
}

bool registry_usable(const registry& all,
                     const upstream_view& upstream,
                     unix_ms now) {
  if (upstream.expired || upstream.record.state() != wire::UPSTREAM_READY)
    return false;
  if (upstream.holder == all.self)
    return now < upstream.lease_until_ms;
  auto holder = all.holders.find(upstream.holder);
  return holder != all.holders.end() && now < holder->second.usable_until_ms;
}

}  // namespace cyclamenwood
