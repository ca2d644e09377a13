// States and events of instances, planned stops and waves.
#ifndef BRONZEBARROW_FLEET_LIFECYCLE_H_
#define BRONZEBARROW_FLEET_LIFECYCLE_H_

#include <optional>

#include "bronzebarrow/base/enum_names.h"

namespace bronzebarrow::fleet {

enum class InstanceState {
  kInService,
  kDraining,   // A stop is announced; requests in flight finish.
  kStopped,    // Released: no requests are in flight; it may go down.
  kProbation,  // Serves again, but may be lost again soon.
  kLost,       // Went missing without a planned stop.
};

enum class InstanceEvent {
  kStopAnnounced,
  kStopReleased,
  kStopAbandoned,    // The stop expired or was cancelled while draining.
  kReturned,         // Present again, usually with a new incarnation.
  kProbationPassed,  // Stayed present for the whole probation.
  kWentMissing,      // No entry reports it any more.
};

enum class StopState { kDraining, kReleased, kReturned, kExpired, kCancelled };

enum class StopEvent { kRelease, kReturn, kExpire, kCancel };

enum class WaveState { kRunning, kHalted, kFinished };

/** @return the state after `event`, or nothing if it is not allowed. */
std::optional<InstanceState> NextState(InstanceState state,
                                       InstanceEvent event);

/** @return the state after `event`, or nothing if it is not allowed. */
std::optional<StopState> NextState(StopState state, StopEvent event);

/**
 * @return whether a stop in this state is still in progress; its instance can
 * have no other stop.
 */
constexpr bool IsOpen(StopState state) {
  return state == StopState::kDraining || state == StopState::kReleased;
}

/** @return whether an instance in this state serves new requests. */
constexpr bool Serves(InstanceState state) {
  return state == InstanceState::kInService ||
         state == InstanceState::kProbation;
}

}  // namespace bronzebarrow::fleet

template <>
struct bronzebarrow::EnumNames<bronzebarrow::fleet::InstanceState> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "in-service", "draining", "stopped", "probation", "lost"};
};

template <>
struct bronzebarrow::EnumNames<bronzebarrow::fleet::StopState> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "draining", "released", "returned", "expired", "cancelled"};
};

template <>
struct bronzebarrow::EnumNames<bronzebarrow::fleet::WaveState> {
  static constexpr std::array<std::string_view, 3> kNames = {
      "running", "halted", "finished"};
};

#endif  // BRONZEBARROW_FLEET_LIFECYCLE_H_
