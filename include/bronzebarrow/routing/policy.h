// Configurable policies of the router: queue order and target selection.
#ifndef BRONZEBARROW_ROUTING_POLICY_H_
#define BRONZEBARROW_ROUTING_POLICY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>

#include "bronzebarrow/base/enum_names.h"
#include "bronzebarrow/base/time.h"
#include "bronzebarrow/fleet/lists.h"

namespace bronzebarrow::routing {

enum class QueuePolicy {
  kClassDeadline,  // By class (urgent, normal, overnight), then deadline.
  kArrival,        // First in, first out, regardless of class.
};

enum class BalancePolicy { kLeastLoaded, kRoundRobin };

/** Sort key of a queued request; the smallest key is served first. */
struct QueueKey {
  int m_rank = 0;  // Request class; 0 for every class under kArrival.
  Instant m_deadline;
  std::uint64_t m_request_id = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in a defaulted <=>.
  auto operator<=>(const QueueKey&) const = default;
};

/** A target with a free slot in the share of this entry. */
struct Candidate {
  std::uint32_t m_in_flight = 0;
  std::uint32_t m_share = 1;  // Slots of the target that this entry may use.
};

/** @return the sort key of a request in its queue under `policy`. */
QueueKey MakeQueueKey(QueuePolicy policy, fleet::RequestClass request_class,
                      Instant deadline, std::uint64_t request_id);

/**
 * @param candidates must not be empty
 * @param rotation counter that increases with each choice; rotates the position
 * at which the selection starts
 * @return the index of the chosen candidate
 */
std::size_t ChooseTarget(BalancePolicy policy,
                         std::span<const Candidate> candidates,
                         std::uint64_t rotation);

}  // namespace bronzebarrow::routing

template <>
struct bronzebarrow::EnumNames<bronzebarrow::routing::QueuePolicy> {
  static constexpr std::array<std::string_view, 2> kNames = {"class-deadline",
                                                             "arrival"};
};

template <>
struct bronzebarrow::EnumNames<bronzebarrow::routing::BalancePolicy> {
  static constexpr std::array<std::string_view, 2> kNames = {"least-loaded",
                                                             "round-robin"};
};

#endif  // BRONZEBARROW_ROUTING_POLICY_H_
