// Lifecycle of a replica's role.
#ifndef BRONZEBARROW_CONSENSUS_ROLE_H_
#define BRONZEBARROW_CONSENSUS_ROLE_H_

#include <memory>

#include "bronzebarrow/base/enum_names.h"

namespace bronzebarrow::consensus {

enum class Role { kLearner, kFollower, kPreCandidate, kCandidate, kLeader };

enum class RoleEvent {
  kBecameVoter,      // The membership now lists this replica as a voter.
  kLostVote,         // The membership no longer lists it as a voter.
  kElectionTimeout,  // No leader was heard within the election timeout.
  kPreVoteWon,
  kVoteWon,
  kSteppedDown,  // A higher term, a leader, or a lost quorum.
};

/** State machine of the role; refuses transitions that are not allowed. */
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
