// Identity of a replica: its name and the generation of its data folder.
#ifndef BRONZEBARROW_CONSENSUS_REPLICA_ID_H_
#define BRONZEBARROW_CONSENSUS_REPLICA_ID_H_

#include <compare>
#include <cstdint>
#include <string>

namespace bronzebarrow::consensus {

/**
 * A replica that loses its disk keeps its name and gets a new generation, so
 * that it can never vote on what its old generation promised.
 */
struct ReplicaId {
  std::string m_name;
  std::uint64_t m_generation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): misread in a defaulted <=>.
  auto operator<=>(const ReplicaId&) const = default;
};

}  // namespace bronzebarrow::consensus

#endif  // BRONZEBARROW_CONSENSUS_REPLICA_ID_H_
