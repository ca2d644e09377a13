// The replicated state machine: the plans and uses lists, the fleet's records
// and the idempotency ledger.
#ifndef BRONZEBARROW_CONTROL_CONTROL_STATE_H_
#define BRONZEBARROW_CONTROL_CONTROL_STATE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "bronzebarrow/fleet.h"
#include "bronzebarrow/ledger.h"
#include "wire_generated.h"

namespace bronzebarrow::control {

/** Number of accepted changes kept to recognise changes that are sent again. */
constexpr std::size_t kMaxKeptChanges = 10'000;

/** The result of applying one command. */
struct ApplyResult {
  std::uint64_t m_token = 0;      // Token of the applied command.
  fleet::Outcome m_outcome;       // Result of any command but a ledger command.
  ledger::LedgerAnswer m_ledger;  // Result of a ledger command.
  // Configuration version that contains an accepted change of the lists.
  std::uint64_t m_config_version = 0;
  bool m_is_ledger_command = false;
};

/**
 * The state depends only on the sequence of committed commands, so every
 * member that applies the same commands has the same state.
 */
class ControlState {
 public:
  ControlState();
  ControlState(const ControlState&) = delete;
  ControlState& operator=(const ControlState&) = delete;

  ApplyResult Apply(const wire::CommandT& command);

  /** @return the whole state, serialized for a snapshot. */
  std::vector<std::uint8_t> Image() const;
  /** Replaces the state by a snapshot. @return false if it is invalid. */
  bool Load(std::span<const std::uint8_t> image);

  std::uint64_t config_version() const { return m_config_version; }
  const std::string& plans_text() const { return m_plans_text; }
  const std::string& uses_text() const { return m_uses_text; }
  const fleet::Lists& lists() const { return m_lists; }
  const fleet::Fleet& fleet() const { return m_fleet; }
  std::size_t ledger_size() const { return m_ledger.size(); }
  std::uint64_t time_ms() const { return m_time_ms; }

 private:
  /** An accepted change of the lists. */
  struct AcceptedChange {
    std::string m_change_id;
    std::uint64_t m_digest = 0;
    std::uint64_t m_version = 0;
    std::string m_operator;
  };

  /**
   * Validates a change of the lists; fills `lists` if it is new and valid.
   * @param known the accepted change with the same id, or null
   */
  fleet::Outcome ValidateChange(const wire::ApplyListsT& change,
                                const AcceptedChange* known,
                                fleet::Lists& lists) const;
  fleet::Outcome ApplyChange(const wire::ApplyListsT& change,
                             std::uint64_t& version);
  fleet::Outcome ApplyObservations(const wire::ObserveInstancesT& command);
  const AcceptedChange* FindChange(const std::string& change_id) const;

  std::uint64_t m_time_ms = 0;         // Log time; never decreases.
  std::uint64_t m_config_version = 0;  // Increases by one per change.
  std::string m_plans_text;
  std::string m_uses_text;
  fleet::Lists m_lists;                  // Parsed from the two texts.
  std::deque<AcceptedChange> m_changes;  // In order of version.
  fleet::Fleet m_fleet;
  ledger::Ledger m_ledger;
};

}  // namespace bronzebarrow::control

#endif  // BRONZEBARROW_CONTROL_CONTROL_STATE_H_
