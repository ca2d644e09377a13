// ControlState: application of committed commands and the snapshot image.
#include "bronzebarrow/control/control_state.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "bronzebarrow/base/check.h"
#include "bronzebarrow/base/settings.h"
#include "bronzebarrow/wire/codec.h"

namespace bronzebarrow::control {
namespace {

std::uint64_t DigestOf(const wire::ApplyListsT& change) {
  const std::uint64_t plans =
      XXH3_64bits(change.plans.data(), change.plans.size());
  return XXH3_64bits_withSeed(change.uses.data(), change.uses.size(), plans);
}

}  // namespace

ControlState::ControlState() { m_fleet.SetLists(&m_lists); }

ApplyResult ControlState::Apply(const wire::CommandT& command) {
  m_time_ms = std::max(m_time_ms, command.time_ms);
  m_fleet.AdvanceTime(m_time_ms);
  ApplyResult result;
  result.m_token = command.token;
  const wire::CommandBodyUnion& body = command.body;
  switch (body.type) {
    case wire::CommandBody::LedgerCommand:
      result.m_is_ledger_command = true;
      result.m_ledger = m_ledger.Apply(*body.AsLedgerCommand(), m_time_ms);
      break;
    case wire::CommandBody::ApplyLists:
      result.m_outcome =
          ApplyChange(*body.AsApplyLists(), result.m_config_version);
      break;
    case wire::CommandBody::AnnounceStop:
      result.m_outcome =
          m_fleet.AnnounceStop(*body.AsAnnounceStop(), m_time_ms);
      break;
    case wire::CommandBody::UpdateStop:
      result.m_outcome = m_fleet.Update(*body.AsUpdateStop(), m_time_ms);
      break;
    case wire::CommandBody::StartWave:
      result.m_outcome = m_fleet.Start(*body.AsStartWave(), m_time_ms);
      break;
    case wire::CommandBody::UpdateWave:
      result.m_outcome = m_fleet.Update(*body.AsUpdateWave(), m_time_ms);
      break;
    case wire::CommandBody::ObserveInstances:
      result.m_outcome = ApplyObservations(*body.AsObserveInstances());
      break;
    case wire::CommandBody::NONE:
      break;
  }
  return result;
}

const ControlState::AcceptedChange* ControlState::FindChange(
    const std::string& change_id) const {
  const auto it = std::find_if(m_changes.begin(), m_changes.end(),
                               [&](const AcceptedChange& change) {
                                 return change.m_change_id == change_id;
                               });
  return it == m_changes.end() ? nullptr : &*it;
}

fleet::Outcome ControlState::ValidateChange(const wire::ApplyListsT& change,
                                            const AcceptedChange* known,
                                            fleet::Lists& lists) const {
  if (!IsName(change.change_id)) {
    return {ErrorCode::kUsage, "the change id is not a name"};
  }
  if (known != nullptr) {
    return known->m_digest == DigestOf(change)
               ? fleet::Outcome{}
               : fleet::Outcome{ErrorCode::kChangeIdReused, change.change_id};
  }
  if (change.expect_version != m_config_version) {
    std::string conflict = "version is " + std::to_string(m_config_version);
    if (!m_changes.empty()) {
      conflict += ", set by change " + m_changes.back().m_change_id + " of " +
                  m_changes.back().m_operator;
    }
    return {ErrorCode::kVersionConflict, conflict};
  }
  auto parsed = Capture<fleet::Lists>(
      [&] { return fleet::Lists::Parse(change.plans, change.uses); });
  if (const auto* failure = std::get_if<Failure>(&parsed)) {
    return {failure->m_code, failure->m_context};
  }
  lists = std::move(std::get<fleet::Lists>(parsed));
  return {};
}

fleet::Outcome ControlState::ApplyChange(const wire::ApplyListsT& change,
                                         std::uint64_t& version) {
  const AcceptedChange* known = FindChange(change.change_id);
  fleet::Lists lists;
  fleet::Outcome outcome = ValidateChange(change, known, lists);
  if (!outcome.ok()) {
    return outcome;
  }
  if (known != nullptr) {
    version = known->m_version;
    return {};
  }
  m_lists = std::move(lists);
  m_plans_text = change.plans;
  m_uses_text = change.uses;
  version = ++m_config_version;
  m_changes.push_back(
      {change.change_id, DigestOf(change), version, change.operator_name});
  if (m_changes.size() > kMaxKeptChanges) {
    m_changes.pop_front();
  }
  return {};
}

fleet::Outcome ControlState::ApplyObservations(
    const wire::ObserveInstancesT& command) {
  fleet::Outcome first_refusal;
  for (const auto& observation : command.observations) {
    const fleet::Outcome outcome = m_fleet.Observe(*observation, m_time_ms);
    if (!outcome.ok() && first_refusal.ok()) {
      first_refusal = outcome;
    }
  }
  return first_refusal;
}

std::vector<std::uint8_t> ControlState::Image() const {
  wire::ControlImageT image;
  image.time_ms = m_time_ms;
  image.config_version = m_config_version;
  image.plans = m_plans_text;
  image.uses = m_uses_text;
  for (const AcceptedChange& change : m_changes) {
    auto record = std::make_unique<wire::ChangeRecordT>();
    record->change_id = change.m_change_id;
    record->digest = change.m_digest;
    record->version = change.m_version;
    record->operator_name = change.m_operator;
    image.changes.push_back(std::move(record));
  }
  m_fleet.ToWire(image);
  image.ledger = m_ledger.ToWire();
  return wire::Encode<wire::ControlImage>(image);
}

bool ControlState::Load(std::span<const std::uint8_t> bytes) {
  const auto image = wire::Decode<wire::ControlImage>(bytes);
  if (!image) {
    return false;
  }
  fleet::Lists lists;
  if (image->config_version != 0) {
    auto parsed = Capture<fleet::Lists>(
        [&] { return fleet::Lists::Parse(image->plans, image->uses); });
    if (std::holds_alternative<Failure>(parsed)) {
      return false;
    }
    lists = std::move(std::get<fleet::Lists>(parsed));
  }
  BRONZEBARROW_INVARIANT(image->config_version >= m_config_version);
  m_time_ms = image->time_ms;
  m_config_version = image->config_version;
  m_plans_text = image->plans;
  m_uses_text = image->uses;
  m_lists = std::move(lists);
  m_changes.clear();
  for (const auto& record : image->changes) {
    m_changes.push_back({record->change_id, record->digest, record->version,
                         record->operator_name});
  }
  m_fleet.FromWire(*image);
  m_ledger.FromWire(image->ledger);
  return true;
}

}  // namespace bronzebarrow::control
