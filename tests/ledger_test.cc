// Tests that the idempotency ledger grants each key at most once, with resends,
// concurrent attempts, expiry and restored images.
#include "bronzebarrow/ledger.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace bronzebarrow::ledger {
namespace {

using wire::LedgerOp;
using wire::LedgerVerdict;

constexpr std::uint64_t kStartMs = 1'800'000'000'000;
constexpr std::uint64_t kSeeds = 2000;

class LedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LedgerTest);
  CPPUNIT_TEST(GrantsOnceAndReplaysStoredAnswer);
  CPPUNIT_TEST(RefusalIsFinal);
  CPPUNIT_TEST(OnlyGrantHolderChangesGrantToRefusal);
  CPPUNIT_TEST(RejectsDifferentDigestForSameKey);
  CPPUNIT_TEST(ExpiredKeyIsNeverGrantedAgain);
  CPPUNIT_TEST(RejectsKeysWithoutValidIssueTime);
  CPPUNIT_TEST(LargeAnswerIsStoredAsStatusOnly);
  CPPUNIT_TEST(ImageRoundTripPreservesRecords);
  CPPUNIT_TEST(NeverGrantsTwiceUnderRandomInterleavings);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_ledger = Ledger();
    m_now_ms = kStartMs;
    m_key = MakeKey(kStartMs, m_random);
  }

  void GrantsOnceAndReplaysStoredAnswer() {
    AssertVerdict(LedgerVerdict::Granted,
                  ApplyCommand(LedgerOp::Grant, "a", 1));
    AssertVerdict(LedgerVerdict::Granted,
                  ApplyCommand(LedgerOp::Grant, "a", 1));
    AssertVerdict(LedgerVerdict::InProgress,
                  ApplyCommand(LedgerOp::Grant, "a", 2));
    AssertVerdict(LedgerVerdict::InProgress,
                  ApplyCommand(LedgerOp::Grant, "b", 1));
    AssertVerdict(LedgerVerdict::Completed,
                  ApplyCommand(LedgerOp::Complete, "a", 1));
    const LedgerAnswer replay = ApplyCommand(LedgerOp::Grant, "b", 1);
    AssertVerdict(LedgerVerdict::Completed, replay);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{201}, replay.m_status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, replay.m_body.size());
  }

  void RefusalIsFinal() {
    AssertVerdict(LedgerVerdict::Refused,
                  ApplyCommand(LedgerOp::Refuse, "a", 1));
    AssertVerdict(LedgerVerdict::Refused,
                  ApplyCommand(LedgerOp::Grant, "b", 1));
    AssertVerdict(LedgerVerdict::Refused,
                  ApplyCommand(LedgerOp::Complete, "b", 1));
  }

  void OnlyGrantHolderChangesGrantToRefusal() {
    ApplyCommand(LedgerOp::Grant, "a", 1);
    AssertVerdict(LedgerVerdict::InProgress,
                  ApplyCommand(LedgerOp::Refuse, "b", 1));
    AssertVerdict(LedgerVerdict::InProgress,
                  ApplyCommand(LedgerOp::Complete, "b", 1));
    AssertVerdict(LedgerVerdict::Refused,
                  ApplyCommand(LedgerOp::Refuse, "a", 1));
    ApplyCommand(LedgerOp::Complete, "a", 1);
    AssertVerdict(LedgerVerdict::Refused,
                  ApplyCommand(LedgerOp::Grant, "c", 1));
  }

  void RejectsDifferentDigestForSameKey() {
    ApplyCommand(LedgerOp::Grant, "a", 1);
    m_digest = 99;
    AssertVerdict(LedgerVerdict::DigestMismatch,
                  ApplyCommand(LedgerOp::Grant, "b", 1));
    AssertVerdict(LedgerVerdict::DigestMismatch,
                  ApplyCommand(LedgerOp::Refuse, "b", 1));
    m_digest = 7;
  }

  void ExpiredKeyIsNeverGrantedAgain() {
    ApplyCommand(LedgerOp::Grant, "a", 1);
    m_now_ms += kKeyRetentionMs + 1;
    AssertVerdict(LedgerVerdict::Expired,
                  ApplyCommand(LedgerOp::Grant, "b", 1));
    AssertVerdict(LedgerVerdict::Expired,
                  ApplyCommand(LedgerOp::Refuse, "b", 1));
    AssertVerdict(LedgerVerdict::Expired,
                  ApplyCommand(LedgerOp::Complete, "a", 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_ledger.size());
  }

  void RejectsKeysWithoutValidIssueTime() {
    for (const char* key : {"", "x", "6ba7b810-9dad-11d1-80b4-00c04fd430c8",
                            "01a23f52-b98e-739e-92fb-7980c069580",
                            "01a23f52-b98e-739e-92fb-7980c069580z"}) {
      m_key = key;
      AssertVerdict(LedgerVerdict::KeyInvalid,
                    ApplyCommand(LedgerOp::Grant, "a", 1));
    }
    m_key = MakeKey(kStartMs + kMaxClockSkewMs + 1, m_random);
    AssertVerdict(LedgerVerdict::KeyInvalid,
                  ApplyCommand(LedgerOp::Grant, "a", 1));
  }

  void LargeAnswerIsStoredAsStatusOnly() {
    ApplyCommand(LedgerOp::Grant, "a", 1);
    m_body.assign(kMaxStoredAnswerBytes + 1, 'x');
    ApplyCommand(LedgerOp::Complete, "a", 1);
    const LedgerAnswer replay = ApplyCommand(LedgerOp::Grant, "b", 1);
    AssertVerdict(LedgerVerdict::Completed, replay);
    CPPUNIT_ASSERT(replay.m_body.empty());
    m_body = {'o', 'k'};
  }

  void ImageRoundTripPreservesRecords() {
    ApplyCommand(LedgerOp::Grant, "a", 1);
    ApplyCommand(LedgerOp::Complete, "a", 1);
    Ledger copy;
    copy.FromWire(m_ledger.ToWire());
    m_ledger = std::move(copy);
    AssertVerdict(LedgerVerdict::Completed,
                  ApplyCommand(LedgerOp::Grant, "b", 1));
    m_now_ms += kKeyRetentionMs + 1;
    AssertVerdict(LedgerVerdict::Expired,
                  ApplyCommand(LedgerOp::Grant, "b", 1));
  }

  // Guards against a request that is executed twice. Several holders send
  // grants, refusals and completions for a few keys in random order; each key
  // must be granted to at most one attempt, and never after a refusal was
  // answered.
  void NeverGrantsTwiceUnderRandomInterleavings() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      setUp();
      std::mt19937_64 random(seed);
      std::vector<std::string> keys;
      keys.reserve(4);
      for (int i = 0; i < 4; ++i) {
        keys.push_back(MakeKey(kStartMs, random));
      }
      std::map<std::string, std::set<std::string>> granted;
      std::set<std::string> refused;
      for (int step = 0; step < 120; ++step) {
        m_key = keys[random() % keys.size()];
        m_now_ms += random() % (kKeyRetentionMs / 40);
        const std::string holder(1, static_cast<char>('a' + random() % 3));
        const std::uint64_t attempt = random() % 3;
        const auto op = static_cast<LedgerOp>(random() % 3);
        const auto verdict = ApplyCommand(op, holder, attempt).m_verdict;
        if (verdict == LedgerVerdict::Granted) {
          CPPUNIT_ASSERT(!refused.contains(m_key));
          granted[m_key].insert(holder + std::to_string(attempt));
        }
        if (verdict == LedgerVerdict::Refused) {
          refused.insert(m_key);
        }
        CPPUNIT_ASSERT(granted[m_key].size() <= 1);
      }
    }
  }

 private:
  LedgerAnswer ApplyCommand(LedgerOp op, const std::string& holder,
                            std::uint64_t attempt) {
    wire::LedgerCommandT command;
    command.op = op;
    command.key = m_key;
    command.digest = m_digest;
    command.holder = holder;
    command.attempt = attempt;
    command.status = 201;
    command.body = m_body;
    return m_ledger.Apply(command, m_now_ms);
  }

  static void AssertVerdict(LedgerVerdict expected,
                            const LedgerAnswer& answer) {
    CPPUNIT_ASSERT_EQUAL(
        std::string(wire::EnumNameLedgerVerdict(expected)),
        std::string(wire::EnumNameLedgerVerdict(answer.m_verdict)));
  }

  Ledger m_ledger;
  std::mt19937_64 m_random{1};
  std::uint64_t m_now_ms = kStartMs;
  std::uint64_t m_digest = 7;
  std::vector<std::uint8_t> m_body = {'o', 'k'};
  std::string m_key;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);

}  // namespace
}  // namespace bronzebarrow::ledger
