// The claims state machine, which decides which entry host may start the tasks
// of a job.
//
//   claim_table table;
//   claim_outcome outcome = apply_claim(table, claim, stamp_ms, max_records);
//   if (outcome.result == wire::CLAIM_OWNED)
//     ...  // Reply with outcome.owner.
//
// Each replica of a claims group applies the committed commands to this table
// in log order. A claim is granted to the first owner that requests the key,
// and again to the same owner under the same claim id, because the first reply
// may have been lost. All other requests are answered with the current owner.
// Records expire by the table's clock, which is the largest time that any
// leader has stamped on a command; all replicas therefore drop the same records
// at the same index.
//
// A claim on a key that has its own expiry time is refused once the clock has
// reached that time, and the record is kept for longer, so dropping the record
// cannot lead to a second grant. Other records are kept until
// `keep_until_ms`.
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
  // Value of the clock when a claim was last refused because the table was
  // full. Submissions that arrived up to then are refused as well, so that a
  // `not_run` answer also holds for all earlier copies of its submission.
  unix_ms full_until_ms = 0;
  // Indexed by tenant, a zero byte and the job key.
  std::unordered_map<std::string, claim_record> records;
  // Keys by the second in which their records may be dropped. The pointers
  // refer to keys of `records`, whose nodes have stable addresses.
  std::map<int64_t, std::vector<const std::string*>> by_expiry;
  // Names of the owner hosts, indexed by `claim_record::owner_index`.
  std::vector<std::string> owners;
};

// `owner` is set unless the result is CLAIM_ABSENT.
struct claim_outcome {
  wire::claim_result result = wire::CLAIM_UNSPECIFIED;
  entry_instance owner;
};

// Applies one committed claim, which its leader stamped with `stamp_ms`. A
// table with `max_records` records refuses new claims with CLAIM_FULL; it never
// drops records to make space.
claim_outcome apply_claim(claim_table& table,
                          const wire::claim& claim,
                          unix_ms stamp_ms,
                          uint64_t max_records);

// Returns the outcome that the claim would have against the existing records,
// or CLAIM_ABSENT if its key has no record.
claim_outcome find_claim(const claim_table& table, const wire::claim& claim);

// Serializes the table for a snapshot, and restores it.
std::string save_claims(const claim_table& table);
claim_table load_claims(std::string_view data);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_CLAIMS_H_
