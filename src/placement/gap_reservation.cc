// Arithmetic of reservations for large tasks.
#include "bronzebarrow/placement/gap_reservation.h"

#include <algorithm>

namespace bronzebarrow::placement {
namespace {

// The end of a run becomes known, and its room free, only some time after it.
constexpr std::int64_t kLeastRemainingMs = 50;

}  // namespace

std::int64_t ExpectedRemainingMs(std::int64_t estimate_ms,
                                 std::int64_t age_ms) {
  return std::max(
      {estimate_ms - age_ms, age_ms - estimate_ms, kLeastRemainingMs});
}

std::optional<GapReservation> GapReservation::Make(
    Resources free, std::vector<ExpectedEnd> ends, const Resources& need) {
  if (free.Fits(need)) {
    return std::nullopt;
  }
  std::sort(ends.begin(), ends.end(),
            [](const ExpectedEnd& a, const ExpectedEnd& b) {
              return a.m_in_ms < b.m_in_ms;
            });
  for (const ExpectedEnd& end : ends) {
    if (end.m_in_ms > kMaxStartMs) {
      break;
    }
    free.Add(end.m_resources, 1);
    if (free.Fits(need)) {
      GapReservation reservation;
      reservation.m_start_ms = end.m_in_ms;
      reservation.m_spare = free;
      reservation.m_spare.Add(need, -1);
      return reservation;
    }
  }
  return std::nullopt;
}

bool GapReservation::Permits(const Resources& need,
                             std::int64_t estimate_ms) const {
  return estimate_ms <= m_start_ms || m_spare.Fits(need);
}

void GapReservation::Take(const Resources& need, std::int64_t estimate_ms) {
  if (estimate_ms > m_start_ms) {
    m_spare.Add(need, -1);
  }
}

}  // namespace bronzebarrow::placement
