// The replicated state machine: the two lists, the fleet and the ledger.
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

/** How many accepted changes are remembered for resends. */
constexpr std::size_t kKeptChanges = 10'000;

/** What applying one command gave. */
struct ApplyResult {
  std::uint64_t m_token = 0;  // Of the command.
  fleet::Outcome m_outcome;
  ledger::LedgerAnswer m_ledger;       // Of a ledger command.
  std::uint64_t m_config_version = 0;  // In which a list change is in force.
  bool m_is_ledger = false;
};

/** Deterministic over the sequence of committed commands. */
class ControlState {
 public:
  ControlState();
  ControlState(const ControlState&) = delete;
  ControlState& operator=(const ControlState&) = delete;

  ApplyResult Apply(const wire::CommandT& command);

  std::vector<std::uint8_t> Image() const;
  /** @return whether the image was valid and is loaded. */
  bool Load(std::span<const std::uint8_t> image);

  std::uint64_t config_version() const { return m_config_version; }
  const std::string& plans_text() const { return m_plans_text; }
  const std::string& uses_text() const { return m_uses_text; }
  const fleet::Lists& lists() const { return m_lists; }
  const fleet::Fleet& fleet() const { return m_fleet; }
  std::size_t ledger_size() const { return m_ledger.size(); }
  std::uint64_t time_ms() const { return m_time_ms; }

 private:
  struct Change {
    std::string m_change_id;
    std::uint64_t m_digest = 0;
    std::uint64_t m_version = 0;
    std::string m_operator;
  };

  /** Sets `lists` when the change is new and valid. */
  fleet::Outcome Check(const wire::ApplyListsT& change, const Change* known,
                       fleet::Lists& lists) const;
  fleet::Outcome ApplyChange(const wire::ApplyListsT& change,
                             std::uint64_t& version);
  fleet::Outcome ApplyObservations(const wire::ObserveInstancesT& command);
  const Change* FindChange(const std::string& change_id) const;

  std::uint64_t m_time_ms = 0;         // Never decreases.
  std::uint64_t m_config_version = 0;  // Increases by one per change.
  std::string m_plans_text;
  std::string m_uses_text;
  fleet::Lists m_lists;          // Parsed from the two texts.
  std::deque<Change> m_changes;  // In version order.
  fleet::Fleet m_fleet;
  ledger::Ledger m_ledger;
};

}  // namespace bronzebarrow::control

#endif  // BRONZEBARROW_CONTROL_CONTROL_STATE_H_
