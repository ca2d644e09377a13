// Role of a replica in its group, as a state machine.
#ifndef BRONZEBARROW_CONSENSUS_ROLE_H_
#define BRONZEBARROW_CONSENSUS_ROLE_H_

#include <memory>

#include "bronzebarrow/base/enum_names.h"

namespace bronzebarrow::consensus {

enum class Role { kLearner, kFollower, kPreCandidate, kCandidate, kLeader };

enum class RoleEvent {
  kBecameVoter,    // The membership lists this replica as a voter.
  kNoLongerVoter,  // The membership does not list it as a voter.
  // No message from a leader within the election timeout, or a leadership
  // transfer that makes this replica start an election at once.
  kElectionTimeout,
  kPreVoteWon,
  kVoteWon,
  kSteppedDown,  // Higher term seen, other leader found, or quorum lost.
};

/** State machine of the role; ignores events that its role does not allow. */
class RoleMachine {
 public:
  RoleMachine();
  RoleMachine(const RoleMachine&) = delete;
  RoleMachine& operator=(const RoleMachine&) = delete;
  ~RoleMachine();

  Role Current() const;
  /** @return whether the event led to a transition. */
  bool Process(RoleEvent event);

 private:
  struct Machine;
  std::unique_ptr<Machine> m_machine;
};

}  // namespace bronzebarrow::consensus

template <>
struct bronzebarrow::EnumNames<bronzebarrow::consensus::Role> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "learner", "follower", "pre-candidate", "candidate", "leader"};
};

#endif  // BRONZEBARROW_CONSENSUS_ROLE_H_
