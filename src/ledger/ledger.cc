// State transitions of the idempotency ledger.
#include "bronzebarrow/ledger/ledger.h"

#include <utility>

#include "bronzebarrow/ledger/request_key.h"

namespace bronzebarrow::ledger {

LedgerAnswer Ledger::Apply(const wire::LedgerCommandT& command,
                           std::uint64_t now_ms) {
  DropExpired(now_ms);
  switch (command.op) {
    case wire::LedgerOp::Grant:
      return Grant(command, now_ms);
    case wire::LedgerOp::Refuse:
      return Refuse(command, now_ms);
    case wire::LedgerOp::Complete:
      return Complete(command);
  }
  return {};
}

LedgerAnswer Ledger::Grant(const wire::LedgerCommandT& command,
                           std::uint64_t now_ms) {
  const auto found = m_records.find(command.key);
  if (found == m_records.end()) {
    return Insert(command, RecordState::kGranted, now_ms);
  }
  return AnswerFor(found->second, command);
}

LedgerAnswer Ledger::Refuse(const wire::LedgerCommandT& command,
                            std::uint64_t now_ms) {
  const auto found = m_records.find(command.key);
  if (found == m_records.end()) {
    return Insert(command, RecordState::kRefused, now_ms);
  }
  Record& record = found->second;
  if (record.m_state == RecordState::kGranted && IsHeldBy(record, command)) {
    record.m_state = RecordState::kRefused;
  }
  return AnswerFor(record, command);
}

LedgerAnswer Ledger::Complete(const wire::LedgerCommandT& command) {
  const auto found = m_records.find(command.key);
  if (found == m_records.end()) {
    return {wire::LedgerVerdict::Expired, 0, {}};
  }
  Record& record = found->second;
  if (record.m_state == RecordState::kGranted && IsHeldBy(record, command)) {
    record.m_state = RecordState::kCompleted;
    record.m_status = command.status;
    if (command.body.size() <= kMaxStoredAnswerBytes) {
      record.m_body = command.body;
    }
  }
  return AnswerFor(record, command);
}

LedgerAnswer Ledger::Insert(const wire::LedgerCommandT& command,
                            RecordState state, std::uint64_t now_ms) {
  const auto issued_ms = ParseIssueTimeMs(command.key);
  if (!issued_ms || *issued_ms > now_ms + kMaxClockSkewMs) {
    return {wire::LedgerVerdict::KeyInvalid, 0, {}};
  }
  if (*issued_ms + kKeyRetentionMs < now_ms) {
    return {wire::LedgerVerdict::Expired, 0, {}};
  }
  if (m_records.size() >= kMaxKeys) {
    return {wire::LedgerVerdict::Full, 0, {}};
  }
  Record& record = m_records[command.key];
  record.m_state = state;
  record.m_digest = command.digest;
  record.m_issued_ms = *issued_ms;
  record.m_holder = command.holder;
  record.m_attempt = command.attempt;
  m_keys_by_issue_ms.emplace(*issued_ms, command.key);
  return AnswerFor(record, command);
}

bool Ledger::IsHeldBy(const Record& record,
                      const wire::LedgerCommandT& command) {
  return record.m_holder == command.holder &&
         record.m_attempt == command.attempt;
}

LedgerAnswer Ledger::AnswerFor(const Record& record,
                               const wire::LedgerCommandT& command) {
  if (record.m_digest != command.digest) {
    return {wire::LedgerVerdict::DigestMismatch, 0, {}};
  }
  switch (record.m_state) {
    case RecordState::kGranted:
      return {IsHeldBy(record, command) ? wire::LedgerVerdict::Granted
                                        : wire::LedgerVerdict::InProgress,
              0,
              {}};
    case RecordState::kCompleted:
      return {wire::LedgerVerdict::Completed, record.m_status, record.m_body};
    case RecordState::kRefused:
      return {wire::LedgerVerdict::Refused, 0, {}};
  }
  return {};
}

void Ledger::DropExpired(std::uint64_t now_ms) {
  while (!m_keys_by_issue_ms.empty() &&
         m_keys_by_issue_ms.begin()->first + kKeyRetentionMs < now_ms) {
    m_records.erase(m_keys_by_issue_ms.begin()->second);
    m_keys_by_issue_ms.erase(m_keys_by_issue_ms.begin());
  }
}

std::vector<std::unique_ptr<wire::LedgerRecordT>> Ledger::ToWire() const {
  std::vector<std::unique_ptr<wire::LedgerRecordT>> records;
  records.reserve(m_records.size());
  for (const auto& [issued_ms, key] : m_keys_by_issue_ms) {
    const Record& record = m_records.at(key);
    auto record_image = std::make_unique<wire::LedgerRecordT>();
    record_image->key = key;
    record_image->state = static_cast<std::int8_t>(record.m_state);
    record_image->digest = record.m_digest;
    record_image->issued_ms = issued_ms;
    record_image->holder = record.m_holder;
    record_image->attempt = record.m_attempt;
    record_image->status = record.m_status;
    record_image->body = record.m_body;
    records.push_back(std::move(record_image));
  }
  return records;
}

void Ledger::FromWire(
    const std::vector<std::unique_ptr<wire::LedgerRecordT>>& records) {
  m_records.clear();
  m_keys_by_issue_ms.clear();
  for (const auto& stored_record : records) {
    Record& record = m_records[stored_record->key];
    record.m_state = static_cast<RecordState>(stored_record->state);
    record.m_digest = stored_record->digest;
    record.m_issued_ms = stored_record->issued_ms;
    record.m_holder = stored_record->holder;
    record.m_attempt = stored_record->attempt;
    record.m_status = stored_record->status;
    record.m_body = stored_record->body;
    m_keys_by_issue_ms.emplace(stored_record->issued_ms, stored_record->key);
  }
}

}  // namespace bronzebarrow::ledger
