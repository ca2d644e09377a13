// State machines of instances and stops, built with Boost.MSM. The replicated
// records hold plain state values, so each transition constructs a machine,
// enters the given state from Start and processes one event.
#include "bronzebarrow/fleet/lifecycle.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace bronzebarrow::fleet {
namespace {

namespace msm = boost::msm;
using msm::front::Row;

// Event that moves a machine from Start to state `kState`.
template <auto kState>
struct Enter {};

// Lifecycle event `kEvent` as an MSM event type.
template <auto kEvent>
struct On {};

struct Start : msm::front::state<> {};

// Lifecycle state `kState` as an MSM state type.
template <auto kState>
struct In : msm::front::state<> {
  template <class Event, class Fsm>
  void on_entry(const Event&, Fsm& machine) {
    machine.m_state = kState;
  }
};

template <class State>
struct MachineBase {
  std::optional<State> m_state;  // Empty after an event that is not allowed.

  template <class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int) {
    m_state.reset();
  }
};

using IS = InstanceState;
using IE = InstanceEvent;

struct InstanceDef : msm::front::state_machine_def<InstanceDef>,
                     MachineBase<InstanceState> {
  using MachineBase<InstanceState>::no_transition;
  using initial_state = Start;  // NOLINT(readability-identifier-naming)

  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
      : boost::mpl::vector<
            Row<Start, Enter<IS::kInService>, In<IS::kInService>>,
            Row<Start, Enter<IS::kDraining>, In<IS::kDraining>>,
            Row<Start, Enter<IS::kStopped>, In<IS::kStopped>>,
            Row<Start, Enter<IS::kProbation>, In<IS::kProbation>>,
            Row<Start, Enter<IS::kLost>, In<IS::kLost>>,
            Row<In<IS::kInService>, On<IE::kStopAnnounced>, In<IS::kDraining>>,
            Row<In<IS::kInService>, On<IE::kWentMissing>, In<IS::kLost>>,
            Row<In<IS::kInService>, On<IE::kReturned>, In<IS::kProbation>>,
            Row<In<IS::kProbation>, On<IE::kStopAnnounced>, In<IS::kDraining>>,
            Row<In<IS::kProbation>, On<IE::kProbationPassed>,
                In<IS::kInService>>,
            Row<In<IS::kProbation>, On<IE::kReturned>, In<IS::kProbation>>,
            Row<In<IS::kProbation>, On<IE::kWentMissing>, In<IS::kLost>>,
            Row<In<IS::kDraining>, On<IE::kStopReleased>, In<IS::kStopped>>,
            Row<In<IS::kDraining>, On<IE::kStopAbandoned>, In<IS::kProbation>>,
            Row<In<IS::kDraining>, On<IE::kReturned>, In<IS::kProbation>>,
            Row<In<IS::kStopped>, On<IE::kReturned>, In<IS::kProbation>>,
            Row<In<IS::kLost>, On<IE::kReturned>, In<IS::kProbation>>> {};
};

using SS = StopState;
using SE = StopEvent;

struct StopDef : msm::front::state_machine_def<StopDef>,
                 MachineBase<StopState> {
  using MachineBase<StopState>::no_transition;
  using initial_state = Start;  // NOLINT(readability-identifier-naming)

  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
      : boost::mpl::vector<
            Row<Start, Enter<SS::kDraining>, In<SS::kDraining>>,
            Row<Start, Enter<SS::kReleased>, In<SS::kReleased>>,
            Row<Start, Enter<SS::kReturned>, In<SS::kReturned>>,
            Row<Start, Enter<SS::kExpired>, In<SS::kExpired>>,
            Row<Start, Enter<SS::kCancelled>, In<SS::kCancelled>>,
            Row<In<SS::kDraining>, On<SE::kRelease>, In<SS::kReleased>>,
            Row<In<SS::kDraining>, On<SE::kReturn>, In<SS::kReturned>>,
            Row<In<SS::kDraining>, On<SE::kExpire>, In<SS::kExpired>>,
            Row<In<SS::kDraining>, On<SE::kCancel>, In<SS::kCancelled>>,
            Row<In<SS::kReleased>, On<SE::kReturn>, In<SS::kReturned>>> {};
};

template <class Machine, auto kValue>
void EnterState(Machine& machine) {
  machine.process_event(Enter<kValue>());
}

template <class Machine, auto kValue>
void ProcessEvent(Machine& machine) {
  machine.process_event(On<kValue>());
}

template <class Def>
using Backend = msm::back::state_machine<Def>;

using InstanceEventFn = void (*)(Backend<InstanceDef>&);
using StopEventFn = void (*)(Backend<StopDef>&);

// The first table is indexed by InstanceState, the second by InstanceEvent.
constexpr std::array<InstanceEventFn, 5> kEnterInstance = {
    EnterState<Backend<InstanceDef>, IS::kInService>,
    EnterState<Backend<InstanceDef>, IS::kDraining>,
    EnterState<Backend<InstanceDef>, IS::kStopped>,
    EnterState<Backend<InstanceDef>, IS::kProbation>,
    EnterState<Backend<InstanceDef>, IS::kLost>};
constexpr std::array<InstanceEventFn, 6> kInstanceEvents = {
    ProcessEvent<Backend<InstanceDef>, IE::kStopAnnounced>,
    ProcessEvent<Backend<InstanceDef>, IE::kStopReleased>,
    ProcessEvent<Backend<InstanceDef>, IE::kStopAbandoned>,
    ProcessEvent<Backend<InstanceDef>, IE::kReturned>,
    ProcessEvent<Backend<InstanceDef>, IE::kProbationPassed>,
    ProcessEvent<Backend<InstanceDef>, IE::kWentMissing>};

// The first table is indexed by StopState, the second by StopEvent.
constexpr std::array<StopEventFn, 5> kEnterStop = {
    EnterState<Backend<StopDef>, SS::kDraining>,
    EnterState<Backend<StopDef>, SS::kReleased>,
    EnterState<Backend<StopDef>, SS::kReturned>,
    EnterState<Backend<StopDef>, SS::kExpired>,
    EnterState<Backend<StopDef>, SS::kCancelled>};
constexpr std::array<StopEventFn, 4> kStopEvents = {
    ProcessEvent<Backend<StopDef>, SE::kRelease>,
    ProcessEvent<Backend<StopDef>, SE::kReturn>,
    ProcessEvent<Backend<StopDef>, SE::kExpire>,
    ProcessEvent<Backend<StopDef>, SE::kCancel>};

}  // namespace

std::optional<InstanceState> NextState(InstanceState state,
                                       InstanceEvent event) {
  Backend<InstanceDef> machine;
  machine.start();
  kEnterInstance[static_cast<std::size_t>(state)](machine);
  kInstanceEvents[static_cast<std::size_t>(event)](machine);
  return machine.m_state;
}

std::optional<StopState> NextState(StopState state, StopEvent event) {
  Backend<StopDef> machine;
  machine.start();
  kEnterStop[static_cast<std::size_t>(state)](machine);
  kStopEvents[static_cast<std::size_t>(event)](machine);
  return machine.m_state;
}

}  // namespace bronzebarrow::fleet
