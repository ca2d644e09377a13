// RoleMachine as a Boost.MSM state machine.
#include "bronzebarrow/consensus/role.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace bronzebarrow::consensus {
namespace {

namespace msm = boost::msm;
using msm::front::Row;

template <RoleEvent>
struct On {};

template <Role kValue>
struct RoleState : msm::front::state<> {
  static constexpr Role kRole = kValue;
};

using Learner = RoleState<Role::kLearner>;
using Follower = RoleState<Role::kFollower>;
using PreCandidate = RoleState<Role::kPreCandidate>;
using Candidate = RoleState<Role::kCandidate>;
using Leader = RoleState<Role::kLeader>;

struct RoleDef : msm::front::state_machine_def<RoleDef> {
  using initial_state = Learner;  // NOLINT(readability-identifier-naming)

  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
      : boost::mpl::vector<
            Row<Learner, On<RoleEvent::kBecameVoter>, Follower>,
            Row<Follower, On<RoleEvent::kNoLongerVoter>, Learner>,
            Row<PreCandidate, On<RoleEvent::kNoLongerVoter>, Learner>,
            Row<Candidate, On<RoleEvent::kNoLongerVoter>, Learner>,
            Row<Leader, On<RoleEvent::kNoLongerVoter>, Learner>,
            Row<Follower, On<RoleEvent::kElectionTimeout>, PreCandidate>,
            Row<Candidate, On<RoleEvent::kElectionTimeout>, PreCandidate>,
            Row<PreCandidate, On<RoleEvent::kElectionTimeout>, PreCandidate>,
            Row<PreCandidate, On<RoleEvent::kPreVoteWon>, Candidate>,
            Row<Candidate, On<RoleEvent::kVoteWon>, Leader>,
            Row<PreCandidate, On<RoleEvent::kSteppedDown>, Follower>,
            Row<Candidate, On<RoleEvent::kSteppedDown>, Follower>,
            Row<Leader, On<RoleEvent::kSteppedDown>, Follower>> {};

  template <class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int) {}
};

// MSM numbers the states in the order of their first appearance in the rows of
// transition_table; this array lists the roles in that order.
constexpr std::array<Role, 5> kRoleOfStateId = {
    Role::kLearner, Role::kFollower, Role::kPreCandidate, Role::kCandidate,
    Role::kLeader};

}  // namespace

struct RoleMachine::Machine : msm::back::state_machine<RoleDef> {};

RoleMachine::RoleMachine() : m_machine(std::make_unique<Machine>()) {
  m_machine->start();
}

RoleMachine::~RoleMachine() = default;

Role RoleMachine::Current() const {
  return kRoleOfStateId[static_cast<std::size_t>(
      m_machine->current_state()[0])];
}

bool RoleMachine::Process(RoleEvent event) {
  const auto handled = [](msm::back::HandledEnum result) {
    return result == msm::back::HANDLED_TRUE;
  };
  switch (event) {
    case RoleEvent::kBecameVoter:
      return handled(m_machine->process_event(On<RoleEvent::kBecameVoter>()));
    case RoleEvent::kNoLongerVoter:
      return handled(m_machine->process_event(On<RoleEvent::kNoLongerVoter>()));
    case RoleEvent::kElectionTimeout:
      return handled(
          m_machine->process_event(On<RoleEvent::kElectionTimeout>()));
    case RoleEvent::kPreVoteWon:
      return handled(m_machine->process_event(On<RoleEvent::kPreVoteWon>()));
    case RoleEvent::kVoteWon:
      return handled(m_machine->process_event(On<RoleEvent::kVoteWon>()));
    case RoleEvent::kSteppedDown:
      return handled(m_machine->process_event(On<RoleEvent::kSteppedDown>()));
  }
  return false;
}

}  // namespace bronzebarrow::consensus
