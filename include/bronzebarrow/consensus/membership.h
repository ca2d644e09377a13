// Membership of a group: its voters and learners. A change concerns one member.
#ifndef BRONZEBARROW_CONSENSUS_MEMBERSHIP_H_
#define BRONZEBARROW_CONSENSUS_MEMBERSHIP_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "bronzebarrow/consensus/replica_id.h"
#include "wire_generated.h"

namespace bronzebarrow::consensus {

struct Member {
  ReplicaId m_id;
  bool m_voter = false;  // False for a learner.

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted <=>.
  auto operator<=>(const Member&) const = default;
};

/**
 * List of members, sorted by name, at most one per name. Successive memberships
 * differ by at most one voter, so every majority of one and every majority of
 * the next intersect.
 */
class Membership {
 public:
  Membership() = default;
  explicit Membership(std::vector<Member> members);
  static Membership FromWire(const wire::MembershipT& message);
  wire::MembershipT ToWire() const;

  const std::vector<Member>& members() const { return m_members; }
  bool IsVoter(const ReplicaId& id) const;
  bool Contains(const ReplicaId& id) const;
  std::optional<Member> FindByName(const std::string& name) const;
  std::size_t VoterCount() const;
  std::size_t Quorum() const { return VoterCount() / 2 + 1; }

  Membership WithLearner(const ReplicaId& id) const;
  Membership WithVoter(const ReplicaId& id) const;
  Membership Without(const std::string& name) const;

  bool operator==(const Membership&) const = default;

 private:
  std::vector<Member> m_members;  // Sorted by name; names are distinct.
};

}  // namespace bronzebarrow::consensus

#endif  // BRONZEBARROW_CONSENSUS_MEMBERSHIP_H_
