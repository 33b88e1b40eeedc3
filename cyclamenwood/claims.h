// The claims state machine: who may start the tasks of a job.
//
// A claims group applies commands in log order to this table. A claim is
// granted to the first owner and, again, to the same owner for the same
// claim id (its answer was lost); everyone else learns the owner. Expiry goes
// by the table's clock, the largest time any leader stamped on a command, so
// that all replicas drop the same records at the same index.
//
// A key with its own expiry is refused once the clock has passed it, and its
// record outlives the expiry; dropping the record can therefore not lead to a
// second grant. Other records live until `keep_until_ms`.
#ifndef CYCLAMENWOOD_CLAIMS_H_
#define CYCLAMENWOOD_CLAIMS_H_

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cyclamenwood/types.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

struct claim_record {
  std::string digest;
  uint32_t owner_index = 0;
  uint64_t owner_incarnation = 0;
  uint64_t claim_id = 0;
  unix_ms keep_until_ms = 0;
};

struct claim_table {
  unix_ms clock_ms = 0;
  // Clock at the last refusal for want of room. Submissions that arrived
  // before are refused too, so that `not_run` said of one of them stays true
  // of all its earlier copies.
  unix_ms full_until_ms = 0;
  // Key: tenant, a zero byte, job key.
  std::unordered_map<std::string, claim_record> records;
  // Keys by the second in which their record may be dropped. Points to keys
  // of `records`, whose nodes do not move.
  std::map<int64_t, std::vector<const std::string*>> by_expiry;
  // Owner host names, referred to by `owner_index`.
  std::vector<std::string> owners;
};

struct claim_outcome {
  wire::claim_result result = wire::CLAIM_UNSPECIFIED;
  entry_instance owner;
};

// Applies one committed claim. `max_records` bounds the table: a full one
// refuses new claims and drops nothing.
claim_outcome apply_claim(claim_table& table,
                          const wire::claim& claim,
                          unix_ms stamp_ms,
                          uint64_t max_records);

// What the table says of this claim without changing anything; CLAIM_ABSENT
// when it has no record.
claim_outcome find_claim(const claim_table& table, const wire::claim& claim);

std::string save_claims(const claim_table& table);
claim_table load_claims(std::string_view data);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_CLAIMS_H_
