// Exchangeable policies of the router: queue order and choice of target.
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
  kClassDeadline,  // Urgent before normal before overnight, then by deadline.
  kArrival,        // First in, first out.
};

enum class BalancePolicy { kLeastLoaded, kRoundRobin };

/** Place in a queue; smaller is served first. */
struct QueueKey {
  int m_rank = 0;
  Instant m_deadline;
  std::uint64_t m_request_id = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): misread in a defaulted <=>.
  auto operator<=>(const QueueKey&) const = default;
};

/** A target with a free slot. */
struct Candidate {
  std::uint32_t m_in_flight = 0;
  std::uint32_t m_share = 1;
};

/** @return the place of a request in the queue under `policy`. */
QueueKey PlaceInQueue(QueuePolicy policy, fleet::RequestClass request_class,
                      Instant deadline, std::uint64_t request_id);

/**
 * @param turn increases with each choice
 * @return the index of the candidate to use; `candidates` is not empty.
 */
std::size_t ChooseTarget(BalancePolicy policy,
                         std::span<const Candidate> candidates,
                         std::uint64_t turn);

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
