// Tests the claim table: grants, expiry by the table's clock, refusals of a
// full table, and snapshots.
#include "cyclamenwood/claims.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenwood {
namespace {

constexpr uint64_t MAX_RECORDS = 100;

wire::claim make_claim(const std::string& key,
                       const std::string& owner,
                       uint64_t incarnation,
                       unix_ms keep_until) {
  wire::claim claim;
  claim.set_tenant("t");
  claim.set_key(key);
  claim.set_digest("d");
  claim.set_owner_host(owner);
  claim.set_owner_incarnation(incarnation);
  claim.set_claim_id(1);
  claim.set_keep_until_ms(keep_until);
  claim.set_submitted_ms(1);
  return claim;
}

TEST(claims, first_owner_keeps_the_key) {
  claim_table table;
  wire::claim first = make_claim("k", "e1", 7, 90'000);
  EXPECT_EQ(apply_claim(table, first, 1000, MAX_RECORDS).result,
            wire::CLAIM_GRANTED);
  // The same claim is sent again, as after a lost reply.
  EXPECT_EQ(apply_claim(table, first, 1100, MAX_RECORDS).result,
            wire::CLAIM_GRANTED);
  wire::claim other = make_claim("k", "e2", 8, 90'000);
  claim_outcome outcome = apply_claim(table, other, 1200, MAX_RECORDS);
  EXPECT_EQ(outcome.result, wire::CLAIM_OWNED);
  EXPECT_EQ(outcome.owner, (entry_instance{"e1", 7}));
  // Another incarnation of the owner does not inherit the claim.
  wire::claim restarted = make_claim("k", "e1", 9, 90'000);
  EXPECT_EQ(apply_claim(table, restarted, 1300, MAX_RECORDS).result,
            wire::CLAIM_OWNED);
  // The same incarnation does not hold it under another claim id either.
  first.set_claim_id(2);
  EXPECT_EQ(apply_claim(table, first, 1400, MAX_RECORDS).result,
            wire::CLAIM_OWNED);
  other.set_digest("other");
  EXPECT_EQ(apply_claim(table, other, 1500, MAX_RECORDS).result,
            wire::CLAIM_CONFLICT);
}

TEST(claims, key_expiry_never_leads_to_a_second_grant) {
  constexpr unix_ms EXPIRY = 50'000;
  constexpr int64_t SKEW = 5'000;
  // Clocks of leaders differ by the allowed skew in either direction.
  for (int64_t skew : {-SKEW, int64_t{0}, SKEW}) {
    claim_table table;
    wire::claim claim = make_claim("z:50:k", "e1", 1, EXPIRY + SKEW);
    claim.set_key_expiry_ms(EXPIRY);
    ASSERT_EQ(apply_claim(table, claim, 1000, MAX_RECORDS).result,
              wire::CLAIM_GRANTED);
    wire::claim again = claim;
    again.set_owner_host("e2");
    for (unix_ms at = 2000; at < EXPIRY + 4 * SKEW; at += 500) {
      wire::claim_result result =
          apply_claim(table, again, at + skew, MAX_RECORDS).result;
      EXPECT_NE(result, wire::CLAIM_GRANTED) << at;
    }
    EXPECT_TRUE(table.records.empty());
  }
}

TEST(claims, retention_ends_by_the_largest_stamp) {
  claim_table table;
  wire::claim claim = make_claim("k", "e1", 1, 10'000);
  apply_claim(table, claim, 1000, MAX_RECORDS);
  wire::claim later = make_claim("k", "e2", 2, 99'000);
  EXPECT_EQ(apply_claim(table, later, 9'999, MAX_RECORDS).result,
            wire::CLAIM_OWNED);
  apply_claim(table, make_claim("x", "e1", 1, 99'000), 11'500, MAX_RECORDS);
  // A stamp from a leader whose clock is behind does not set the clock back.
  EXPECT_EQ(apply_claim(table, later, 5'000, MAX_RECORDS).result,
            wire::CLAIM_GRANTED);
}

TEST(claims, full_table_refuses_and_drops_none) {
  claim_table table;
  for (int i = 0; i < 3; ++i) {
    std::string key = std::to_string(i);
    EXPECT_EQ(
        apply_claim(table, make_claim(key, "e", 1, 90'000), 1000, 3).result,
        wire::CLAIM_GRANTED);
  }
  wire::claim refused = make_claim("new", "e", 1, 90'000);
  EXPECT_EQ(apply_claim(table, refused, 2000, 3).result, wire::CLAIM_FULL);
  EXPECT_EQ(table.records.size(), 3U);
  // An earlier copy of the refused submission is refused even when there is
  // space.
  refused.set_submitted_ms(1999);
  EXPECT_EQ(apply_claim(table, refused, 3000, 10).result, wire::CLAIM_FULL);
  refused.set_submitted_ms(2001);
  EXPECT_EQ(apply_claim(table, refused, 3000, 10).result, wire::CLAIM_GRANTED);
}

RC_GTEST_PROP(claims,
              snapshot_restores_the_table,
              (const std::vector<uint16_t>& keys)) {
  claim_table table;
  unix_ms now = 1000;
  for (uint16_t key : keys) {
    now += key % 700;
    apply_claim(
        table,
        make_claim(std::to_string(key % 50), "e" + std::to_string(key % 3),
                   key % 5, now + key % 3000),
        now, 20);
  }
  claim_table loaded = load_claims(save_claims(table));
  RC_ASSERT(loaded.records.size() == table.records.size());
  RC_ASSERT(loaded.clock_ms == table.clock_ms);
  for (int key = 0; key < 50; ++key) {
    wire::claim queried = make_claim(std::to_string(key), "e1", 1, now + 9000);
    RC_ASSERT(find_claim(loaded, queried).result ==
              find_claim(table, queried).result);
    RC_ASSERT(find_claim(loaded, queried).owner ==
              find_claim(table, queried).owner);
  }
}

}  // namespace
}  // namespace cyclamenwood
