// Records of non-idempotent requests: one grant per key, ever.
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

/** How long after its issue time a key is kept, in milliseconds. */
constexpr std::uint64_t kKeyRetentionMs = 15 * 60 * 1000;
/** How far a key's issue time may lie ahead of the log's clock. */
constexpr std::uint64_t kMaxClockSkewMs = 30 * 1000;
/** The largest answer kept for resends; a larger one is kept as its status. */
constexpr std::size_t kMaxStoredAnswerBytes = 4096;
/** How many keys may be retained at once. */
constexpr std::size_t kMaxKeys = 200'000;

enum class RecordState : std::int8_t { kGranted, kCompleted, kRefused };

/** Answer to a ledger command. */
struct LedgerAnswer {
  wire::LedgerVerdict m_verdict = wire::LedgerVerdict::Unavailable;
  std::uint16_t m_status = 0;
  std::vector<std::uint8_t> m_body;
};

/**
 * Deterministic: the answer depends on the records and the log's clock only.
 * A key carries its issue time (a version 7 UUID), so a key whose record was
 * dropped after the retention is recognised as expired and never looks new.
 */
class Ledger {
 public:
  /** @param now_ms the log's clock; never decreases between calls */
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
    std::string m_holder;
    std::uint64_t m_attempt = 0;  // Unique within the holder.
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
  static LedgerAnswer AnswerFrom(const Record& record,
                                 const wire::LedgerCommandT& command);
  void DropExpired(std::uint64_t now_ms);

  std::unordered_map<std::string, Record> m_records;
  // Keys by issue time; one entry per record.
  std::multimap<std::uint64_t, std::string> m_by_issue;
};

}  // namespace bronzebarrow::ledger

#endif  // BRONZEBARROW_LEDGER_LEDGER_H_
