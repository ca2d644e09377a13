// Implementations of the policies and the tables that select them.
#include "bronzebarrow/routing/policy.h"

namespace bronzebarrow::routing {
namespace {

using Placer = QueueKey (*)(fleet::RequestClass, Instant, std::uint64_t);

QueueKey PlaceByClass(fleet::RequestClass request_class, Instant deadline,
                      std::uint64_t request_id) {
  return {static_cast<int>(request_class), deadline, request_id};
}

QueueKey PlaceByArrival(fleet::RequestClass, Instant,
                        std::uint64_t request_id) {
  return {0, Instant(), request_id};
}

// Indexed by QueuePolicy.
constexpr std::array<Placer, 2> kPlacers = {PlaceByClass, PlaceByArrival};

using Chooser = std::size_t (*)(std::span<const Candidate>, std::uint64_t);

// Chooses the lowest ratio of requests in flight to share; on a tie, the first
// candidate from the rotating start position.
std::size_t ChooseLeastLoaded(std::span<const Candidate> candidates,
                              std::uint64_t turn) {
  std::size_t best = turn % candidates.size();
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const std::size_t at = (turn + i) % candidates.size();
    const Candidate& challenger = candidates[at];
    const Candidate& holder = candidates[best];
    const bool is_less_loaded = challenger.m_in_flight * holder.m_share <
                                holder.m_in_flight * challenger.m_share;
    best = is_less_loaded ? at : best;
  }
  return best;
}

std::size_t ChooseInTurn(std::span<const Candidate> candidates,
                         std::uint64_t turn) {
  return turn % candidates.size();
}

// Indexed by BalancePolicy.
constexpr std::array<Chooser, 2> kChoosers = {ChooseLeastLoaded, ChooseInTurn};

}  // namespace

QueueKey PlaceInQueue(QueuePolicy policy, fleet::RequestClass request_class,
                      Instant deadline, std::uint64_t request_id) {
  return kPlacers[static_cast<std::size_t>(policy)](request_class, deadline,
                                                    request_id);
}

std::size_t ChooseTarget(BalancePolicy policy,
                         std::span<const Candidate> candidates,
                         std::uint64_t turn) {
  return kChoosers[static_cast<std::size_t>(policy)](candidates, turn);
}

}  // namespace bronzebarrow::routing
