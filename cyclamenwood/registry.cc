// The digest of a set is the XOR of its records' hashes, kept by bucket of
// the id's hash, so that two copies are compared and repaired bucket by
// bucket. The sequence is left out of the hash: it changes with each renewal,
// which is not sent.
#include "cyclamenwood/registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace cyclamenwood {
namespace {

constexpr int64_t FORGET_AFTER_MS = 60'000;

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

// Whether the record is part of its holder's set.
bool is_held(const known_upstream& upstream, std::string_view holder) {
  return upstream.holder == holder && !upstream.expired;
}

struct set_summary {
  uint32_t count = 0;
  uint64_t digest = 0;
  bucket_digests buckets{};
};

set_summary summarize(const registry& all, std::string_view holder) {
  set_summary summary;
  for (const auto& [id, upstream] : all.upstreams) {
    if (!is_held(upstream, holder))
      continue;
    uint64_t hash = record_hash(upstream.record);
    ++summary.count;
    summary.digest ^= hash;
    summary.buckets[bucket_of(id)] ^= hash;
  }
  return summary;
}

bool same_facts(const wire::upstream& a, const wire::upstream& b) {
  return a.incarnation() == b.incarnation() && a.service() == b.service() &&
         a.address() == b.address() && a.zone() == b.zone() &&
         a.slots() == b.slots() && a.state() == b.state();
}

bool is_newer(const wire::upstream& a, const wire::upstream& b) {
  if (a.incarnation() != b.incarnation())
    return a.incarnation() > b.incarnation();
  return a.sequence() > b.sequence();
}

void set_forget(known_upstream& upstream, unix_ms now) {
  bool gone =
      upstream.expired || upstream.record.state() == wire::UPSTREAM_LEAVING;
  upstream.forget_at_ms = gone ? now + FORGET_AFTER_MS : 0;
}

void put(registry& all, known_upstream upstream) {
  std::string id = upstream.record.id();
  auto found = all.upstreams.find(id);
  if (found != all.upstreams.end())
    all.by_service[found->second.record.service()].erase(id);
  all.by_service[upstream.record.service()].insert(id);
  all.upstreams[id] = std::move(upstream);
}

void drop(registry& all, const std::string& id) {
  auto found = all.upstreams.find(id);
  if (found == all.upstreams.end())
    return;
  auto service = all.by_service.find(found->second.record.service());
  service->second.erase(id);
  if (service->second.empty())
    all.by_service.erase(service);
  all.upstreams.erase(found);
}

void expire(known_upstream& upstream, unix_ms now) {
  upstream.expired = true;
  set_forget(upstream, now);
}

// Takes one record that `from` holds.
void merge(registry& all,
           std::string_view from,
           const wire::upstream& record,
           unix_ms now) {
  auto found = all.upstreams.find(record.id());
  if (found != all.upstreams.end()) {
    const known_upstream& known = found->second;
    bool from_same_holder = known.holder == from && !known.expired;
    bool same_life = known.record.incarnation() == record.incarnation();
    bool left = same_life && known.record.state() == wire::UPSTREAM_LEAVING;
    if (left && record.state() != wire::UPSTREAM_LEAVING)
      return;
    bool outdated = is_newer(known.record, record);
    if (outdated && !(from_same_holder && same_life))
      return;
  }
  known_upstream upstream;
  upstream.record = record;
  upstream.holder = from;
  set_forget(upstream, now);
  put(all, std::move(upstream));
}

// Drops what `from` no longer holds in the buckets that it sent whole.
void drop_unlisted(registry& all,
                   std::string_view from,
                   const wire::upstream_delta& delta,
                   unix_ms now) {
  std::set<std::string> listed;
  for (const wire::upstream& record : delta.upstreams())
    listed.insert(record.id());
  std::set<size_t> buckets(delta.buckets().begin(), delta.buckets().end());
  for (auto& [id, upstream] : all.upstreams) {
    if (is_held(upstream, from) && buckets.contains(bucket_of(id)) &&
        !listed.contains(id))
      expire(upstream, now);
  }
}

}  // namespace

announce_result registry_announce(registry& all,
                                  const wire::upstream& record,
                                  unix_ms now) {
  bool changed = true;
  wire::upstream next = record;
  auto found = all.upstreams.find(record.id());
  if (found != all.upstreams.end()) {
    const known_upstream& known = found->second;
    if (is_newer(known.record, record))
      return announce_result::outdated;
    bool same_life = known.record.incarnation() == record.incarnation();
    if (same_life && known.record.state() == wire::UPSTREAM_LEAVING)
      next.set_state(wire::UPSTREAM_LEAVING);
    changed = !same_facts(known.record, next) || !is_held(known, all.self);
  }
  known_upstream upstream;
  upstream.record = next;
  upstream.holder = all.self;
  upstream.lease_until_ms = now + all.options.upstream_lease_ms;
  set_forget(upstream, now);
  put(all, std::move(upstream));
  if (!changed)
    return announce_result::renewed;
  *all.outgoing.add_upstreams() = next;
  return announce_result::changed;
}

void registry_expire(registry& all, unix_ms now) {
  std::vector<std::string> forgotten;
  for (auto& [id, upstream] : all.upstreams) {
    if (upstream.forget_at_ms != 0 && now >= upstream.forget_at_ms) {
      if (is_held(upstream, all.self))
        all.outgoing.add_dropped(id);
      forgotten.push_back(id);
      continue;
    }
    bool ran_out = is_held(upstream, all.self) &&
                   upstream.record.state() == wire::UPSTREAM_READY &&
                   now >= upstream.lease_until_ms;
    if (ran_out) {
      expire(upstream, now);
      all.outgoing.add_dropped(id);
      continue;
    }
    // A holder that is long silent is gone, and its set with it.
    if (upstream.holder == all.self || upstream.expired)
      continue;
    auto holder = all.holders.find(upstream.holder);
    if (holder == all.holders.end() ||
        now >= holder->second.heard_ms + FORGET_AFTER_MS)
      expire(upstream, now);
  }
  for (const std::string& id : forgotten)
    drop(all, id);
}

wire::upstream_delta registry_take_outgoing(registry& all) {
  wire::upstream_delta delta;
  delta.Swap(&all.outgoing);
  return delta;
}

wire::vouch registry_vouch(const registry& all) {
  set_summary summary = summarize(all, all.self);
  wire::vouch vouch;
  vouch.set_count(summary.count);
  vouch.set_digest(summary.digest);
  return vouch;
}

std::optional<wire::sync_request> registry_receive_vouch(
    registry& all,
    std::string_view from,
    uint64_t incarnation,
    const wire::vouch& vouch,
    unix_ms now) {
  known_holder& holder = all.holders[std::string(from)];
  if (incarnation < holder.incarnation)
    return std::nullopt;
  holder.incarnation = incarnation;
  holder.heard_ms = now;
  holder.draining = vouch.draining();
  holder.demand.clear();
  for (const wire::service_load& load : vouch.loads())
    holder.demand[load.service()] = load.demand();
  set_summary copy = summarize(all, from);
  if (copy.count == vouch.count() && copy.digest == vouch.digest()) {
    holder.vouched_until_ms = now + all.options.vouch_timeout_ms;
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
  for (const auto& [id, upstream] : all.upstreams) {
    if (is_held(upstream, all.self) && differing.contains(bucket_of(id)))
      *delta.add_upstreams() = upstream.record;
  }
  return delta;
}

void registry_receive_delta(registry& all,
                            std::string_view from,
                            const wire::upstream_delta& delta,
                            unix_ms now) {
  if (from == all.self)
    return;
  for (const std::string& id : delta.dropped()) {
    auto found = all.upstreams.find(id);
    if (found != all.upstreams.end() && is_held(found->second, from))
      expire(found->second, now);
  }
  drop_unlisted(all, from, delta, now);
  for (const wire::upstream& record : delta.upstreams())
    merge(all, from, record, now);
}

bool registry_usable(const registry& all,
                     const known_upstream& upstream,
                     unix_ms now) {
  if (upstream.expired || upstream.record.state() != wire::UPSTREAM_READY)
    return false;
  if (upstream.holder == all.self)
    return now < upstream.lease_until_ms;
  auto holder = all.holders.find(upstream.holder);
  return holder != all.holders.end() && now < holder->second.vouched_until_ms;
}

}  // namespace cyclamenwood
