// Identity of a replica: its name and the generation of its data folder.
#ifndef BRONZEBARROW_CONSENSUS_REPLICA_ID_H_
#define BRONZEBARROW_CONSENSUS_REPLICA_ID_H_

#include <compare>
#include <cstdint>
#include <string>

namespace bronzebarrow::consensus {

/**
 * A replica that loses its disk keeps its name but gets a new generation. As a
 * new member it can never contradict the votes and acknowledgements that the
 * old generation gave and that were lost with the disk.
 */
struct ReplicaId {
  std::string m_name;
  std::uint64_t m_generation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted <=>.
  auto operator<=>(const ReplicaId&) const = default;
};

}  // namespace bronzebarrow::consensus

#endif  // BRONZEBARROW_CONSENSUS_REPLICA_ID_H_
