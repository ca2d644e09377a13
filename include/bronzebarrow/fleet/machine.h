// Machines in the platform's inventory, and the requests it accepts for them.
#ifndef BRONZEBARROW_FLEET_MACHINE_H_
#define BRONZEBARROW_FLEET_MACHINE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bronzebarrow/base/enum_names.h"

namespace bronzebarrow::fleet {

enum class MachineState { kUp, kMoving, kUpkeep, kDown, kUnknown };

/** One machine of the platform's inventory. */
struct Machine {
  std::string m_name;
  std::string m_pool;
  MachineState m_state = MachineState::kUnknown;
  std::string m_zone;
  std::vector<std::string> m_labels;
  std::string m_runner;  // Id of its runner; empty if it has none.
};

enum class MachineAction { kMove, kUpkeep };

/** A request for one machine; the owner's epoch is its fencing token. */
struct MachineRequest {
  MachineAction m_action = MachineAction::kUpkeep;
  std::string m_machine;
  std::string m_pool;         // Destination pool; for kMove only.
  std::uint64_t m_wave = 0;   // Wave of the upkeep; for kUpkeep only.
  std::string m_holder;       // Node name of the owner.
  std::uint64_t m_epoch = 0;  // Epoch of the owner.
};

/** The platform's response to a request. */
enum class MachineResponse {
  kOk,         // The move or upkeep has started, now or on an earlier request.
  kFenced,     // An owner with a later epoch has taken over.
  kBusy,       // The machine is not up, or is about to leave.
  kNotDue,     // The machine is not part of the wave.
  kInvalid,    // The machine does not exist, or the pool is not valid for it.
  kThrottled,  // The platform's request rate limit was reached.
  kNoAnswer,   // No response; the request may have been carried out.
};

}  // namespace bronzebarrow::fleet

template <>
struct bronzebarrow::EnumNames<bronzebarrow::fleet::MachineResponse> {
  static constexpr std::array<std::string_view, 7> kNames = {
      "ok", "fenced", "busy", "not_due", "invalid", "throttled", "no_answer"};
};

template <>
struct bronzebarrow::EnumNames<bronzebarrow::fleet::MachineState> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "up", "moving", "upkeep", "down", "unknown"};
};

#endif  // BRONZEBARROW_FLEET_MACHINE_H_
