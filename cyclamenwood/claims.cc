// The table is a hash map with an index by expiry second. Applying a claim
// takes constant time, plus the time to drop the records that have expired
// since the previous claim.
#include "cyclamenwood/claims.h"

#include <algorithm>

namespace cyclamenwood {
namespace {

std::string table_key(const wire::claim& claim) {
  std::string key = claim.tenant();
  key += '\0';
  key += claim.key();
  return key;
}

uint32_t owner_index(claim_table& table, std::string_view host) {
  auto found = std::find(table.owners.begin(), table.owners.end(), host);
  if (found == table.owners.end()) {
    table.owners.emplace_back(host);
    return table.owners.size() - 1;
  }
  return found - table.owners.begin();
}

// Returns the first second in which a record may be dropped.
int64_t expiry_second(unix_ms keep_until_ms) {
  return keep_until_ms / MS_PER_SECOND + 1;
}

void drop_expired(claim_table& table) {
  int64_t now_second = table.clock_ms / MS_PER_SECOND;
  while (!table.by_expiry.empty() &&
         table.by_expiry.begin()->first <= now_second) {
    for (const std::string* key : table.by_expiry.begin()->second) {
      auto found = table.records.find(*key);
      if (found != table.records.end())
        table.records.erase(found);
    }
    table.by_expiry.erase(table.by_expiry.begin());
  }
}

void insert(claim_table& table, const wire::claim& claim) {
  claim_record record;
  record.digest = claim.digest();
  record.owner_index = owner_index(table, claim.owner_host());
  record.owner_incarnation = claim.owner_incarnation();
  record.claim_id = claim.claim_id();
  record.keep_until_ms = claim.keep_until_ms();
  auto [found, added] =
      table.records.insert_or_assign(table_key(claim), std::move(record));
  int64_t second = expiry_second(claim.keep_until_ms());
  table.by_expiry[second].push_back(&found->first);
}

}  // namespace

claim_outcome find_claim(const claim_table& table, const wire::claim& claim) {
  claim_outcome outcome;
  auto found = table.records.find(table_key(claim));
  if (found == table.records.end()) {
    outcome.result = wire::CLAIM_ABSENT;
    return outcome;
  }
  const claim_record& record = found->second;
  outcome.owner.host = table.owners[record.owner_index];
  outcome.owner.incarnation = record.owner_incarnation;
  bool same_owner = outcome.owner.host == claim.owner_host() &&
                    record.owner_incarnation == claim.owner_incarnation();
  if (!claim.digest().empty() && record.digest != claim.digest())
    outcome.result = wire::CLAIM_CONFLICT;
  else if (same_owner && record.claim_id == claim.claim_id())
    outcome.result = wire::CLAIM_GRANTED;
  else
    outcome.result = wire::CLAIM_OWNED;
  return outcome;
}

claim_outcome apply_claim(claim_table& table,
                          const wire::claim& claim,
                          unix_ms stamp_ms,
                          uint64_t max_records) {
  table.clock_ms = std::max(table.clock_ms, stamp_ms);
  drop_expired(table);
  claim_outcome outcome = find_claim(table, claim);
  if (outcome.result != wire::CLAIM_ABSENT)
    return outcome;
  outcome.owner = {claim.owner_host(), claim.owner_incarnation()};
  bool expired =
      claim.keep_until_ms() <= table.clock_ms ||
      (claim.key_expiry_ms() != 0 && claim.key_expiry_ms() <= table.clock_ms);
  if (expired) {
    outcome.result = wire::CLAIM_EXPIRED;
    return outcome;
  }
  if (table.records.size() >= max_records)
    table.full_until_ms = table.clock_ms;
  if (claim.submitted_ms() <= table.full_until_ms) {
    outcome.result = wire::CLAIM_FULL;
    return outcome;
  }
  insert(table, claim);
  outcome.result = wire::CLAIM_GRANTED;
  return outcome;
}

std::string save_claims(const claim_table& table) {
  wire::claim_table saved;
  saved.set_clock_ms(table.clock_ms);
  saved.set_full_until_ms(table.full_until_ms);
  for (const auto& [key, record] : table.records) {
    size_t split = key.find('\0');
    wire::claim& claim = *saved.add_records();
    claim.set_tenant(key.substr(0, split));
    claim.set_key(key.substr(split + 1));
    claim.set_digest(record.digest);
    claim.set_owner_host(table.owners[record.owner_index]);
    claim.set_owner_incarnation(record.owner_incarnation);
    claim.set_claim_id(record.claim_id);
    claim.set_keep_until_ms(record.keep_until_ms);
  }
  return saved.SerializeAsString();
}

claim_table load_claims(std::string_view data) {
  wire::claim_table saved;
  saved.ParseFromArray(data.data(), static_cast<int>(data.size()));
  claim_table table;
  table.clock_ms = saved.clock_ms();
  table.full_until_ms = saved.full_until_ms();
  for (const wire::claim& claim : saved.records())
    insert(table, claim);
  return table;
}

}  // namespace cyclamenwood
