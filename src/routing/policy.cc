// Implementations of the policies and the tables that select them.
#include "bronzebarrow/routing/policy.h"

namespace bronzebarrow::routing {
namespace {

using KeyFunction = QueueKey (*)(fleet::RequestClass, Instant, std::uint64_t);

QueueKey KeyByClass(fleet::RequestClass request_class, Instant deadline,
                    std::uint64_t request_id) {
  return {static_cast<int>(request_class), deadline, request_id};
}

QueueKey KeyByArrival(fleet::RequestClass, Instant, std::uint64_t request_id) {
  return {0, Instant(), request_id};
}

// Indexed by QueuePolicy.
constexpr std::array<KeyFunction, 2> kKeyFunctions = {KeyByClass, KeyByArrival};

using TargetChooser = std::size_t (*)(std::span<const Candidate>,
                                      std::uint64_t);

// Chooses the lowest ratio of requests in flight to share; on a tie, the first
// candidate from the rotating start position.
std::size_t ChooseLeastLoaded(std::span<const Candidate> candidates,
                              std::uint64_t rotation) {
  std::size_t best_index = rotation % candidates.size();
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const std::size_t index = (rotation + i) % candidates.size();
    const Candidate& candidate = candidates[index];
    const Candidate& best = candidates[best_index];
    const bool is_less_loaded = candidate.m_in_flight * best.m_share <
                                best.m_in_flight * candidate.m_share;
    best_index = is_less_loaded ? index : best_index;
  }
  return best_index;
}

std::size_t ChooseRoundRobin(std::span<const Candidate> candidates,
                             std::uint64_t rotation) {
  return rotation % candidates.size();
}

// Indexed by BalancePolicy.
constexpr std::array<TargetChooser, 2> kTargetChoosers = {ChooseLeastLoaded,
                                                          ChooseRoundRobin};

}  // namespace

QueueKey MakeQueueKey(QueuePolicy policy, fleet::RequestClass request_class,
                      Instant deadline, std::uint64_t request_id) {
  return kKeyFunctions[static_cast<std::size_t>(policy)](request_class,
                                                         deadline, request_id);
}

std::size_t ChooseTarget(BalancePolicy policy,
                         std::span<const Candidate> candidates,
                         std::uint64_t rotation) {
  return kTargetChoosers[static_cast<std::size_t>(policy)](candidates,
                                                           rotation);
}

}  // namespace bronzebarrow::routing
