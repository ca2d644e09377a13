// The idempotency ledger: grants the execution of a non-idempotent request at
// most once per idempotency key.
#ifndef BRONZEBARROW_LEDGER_LEDGER_H_
#define BRONZEBARROW_LEDGER_LEDGER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "wire_generated.h"

namespace bronzebarrow::ledger {

/** Retention of a key after its issue time, in milliseconds. */
constexpr std::uint64_t kKeyRetentionMs = 15 * 60 * 1000;
/**
 * How far the issue time of an accepted key may be ahead of the log's clock, in
 * milliseconds.
 */
constexpr std::uint64_t kMaxClockSkewMs = 30 * 1000;
/**
 * Size of the largest response body stored for resends. Of a larger response
 * only the status is stored.
 */
constexpr std::size_t kMaxStoredAnswerBytes = 4096;
/** Most keys retained at once. */
constexpr std::size_t kMaxKeys = 200'000;

/**
 * kGranted: one attempt may execute the request. kCompleted: it was executed,
 * and its response is stored. kRefused: it was not and will not be executed.
 */
enum class RecordState : std::int8_t { kGranted, kCompleted, kRefused };

/** Answer to a ledger command; status and body only if completed. */
struct LedgerAnswer {
  wire::LedgerVerdict m_verdict = wire::LedgerVerdict::Unavailable;
  std::uint16_t m_status = 0;
  std::vector<std::uint8_t> m_body;
};

/**
 * Replicated state machine: an answer depends only on the records and the log's
 * clock. A key is a version 7 UUID and contains its issue time, so a key whose
 * record was dropped after the retention is recognised as expired and is never
 * taken for a new one.
 */
class Ledger {
 public:
  /**
   * @param now_ms the log's clock in Unix milliseconds; never decreases between
   * calls
   */
  LedgerAnswer Apply(const wire::LedgerCommandT& command, std::uint64_t now_ms);

  std::size_t size() const { return m_records.size(); }

  std::vector<std::unique_ptr<wire::LedgerRecordT>> ToWire() const;
  void FromWire(
      const std::vector<std::unique_ptr<wire::LedgerRecordT>>& records);

 private:
  struct Record {
    RecordState m_state = RecordState::kGranted;
    std::uint64_t m_digest = 0;
    std::uint64_t m_issued_ms = 0;
    std::string m_holder;         // Process whose command added the record.
    std::uint64_t m_attempt = 0;  // Request number, unique within the holder.
    std::uint16_t m_status = 0;
    std::vector<std::uint8_t> m_body;
  };

  LedgerAnswer Grant(const wire::LedgerCommandT& command, std::uint64_t now_ms);
  LedgerAnswer Refuse(const wire::LedgerCommandT& command,
                      std::uint64_t now_ms);
  LedgerAnswer Complete(const wire::LedgerCommandT& command);
  LedgerAnswer Insert(const wire::LedgerCommandT& command, RecordState state,
                      std::uint64_t now_ms);
  static bool IsHeldBy(const Record& record,
                       const wire::LedgerCommandT& command);
  static LedgerAnswer AnswerFor(const Record& record,
                                const wire::LedgerCommandT& command);
  void DropExpired(std::uint64_t now_ms);

  std::unordered_map<std::string, Record> m_records;
  // Keys by issue time in Unix milliseconds; one entry per record.
  std::multimap<std::uint64_t, std::string> m_keys_by_issue_ms;
};

}  // namespace bronzebarrow::ledger

#endif  // BRONZEBARROW_LEDGER_LEDGER_H_
