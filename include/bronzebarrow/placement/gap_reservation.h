// Keeps the room that a large task waits for. Load pattern: a stream of small
// tasks refills each gap that one of them leaves, so that a task of several
// times their size finds no runner with enough room for as long as the stream
// lasts. The first large task that fits nowhere gets the runner on which it is
// expected to fit first; smaller tasks still start there if they are expected
// to end by then, or fit beside it (EASY backfilling, Lifka, "The ANL/IBM SP
// Scheduling System", JSSPP 1995). Tests: tests/gap_reservation_test.cc; the
// choice is described in docs/design/gap-reservations.md.
#ifndef BRONZEBARROW_PLACEMENT_GAP_RESERVATION_H_
#define BRONZEBARROW_PLACEMENT_GAP_RESERVATION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "bronzebarrow/base/resources.h"

namespace bronzebarrow::placement {

/** Resources that a run is expected to free. */
struct ExpectedEnd {
  std::int64_t m_in_ms = 0;
  Resources m_resources;
};

/**
 * @param estimate_ms duration of the task as its submitter estimated it
 * @param age_ms time since the run was assigned
 * @return expected time until its end. A run past its estimate is expected to
 * last for as long again as it is late: the longer it has run, the longer the
 * rest of a heavy-tailed duration is.
 */
std::int64_t ExpectedRemainingMs(std::int64_t estimate_ms, std::int64_t age_ms);

/** Room on one runner that is kept for a task. */
class GapReservation {
 public:
  /** Reservations further ahead are not made: ends so late are not known. */
  static constexpr std::int64_t kMaxStartMs = 2000;

  /**
   * @param free what is free on the runner now
   * @param ends expected ends of its runs, in any order
   * @return the reservation for a task that needs `need`; nothing if it is not
   * expected to fit within kMaxStartMs, or fits now
   */
  static std::optional<GapReservation> Make(Resources free,
                                            std::vector<ExpectedEnd> ends,
                                            const Resources& need);

  /** @return time until the task is expected to fit. */
  std::int64_t start_ms() const { return m_start_ms; }
  /** @return whether the start of a task would not delay the reserved one. */
  bool Permits(const Resources& need, std::int64_t estimate_ms) const;
  /** Records the start of a permitted task. */
  void Take(const Resources& need, std::int64_t estimate_ms);

 private:
  std::int64_t m_start_ms = 0;
  Resources m_spare;  // Free at the start beside the reserved task.
};

}  // namespace bronzebarrow::placement

#endif  // BRONZEBARROW_PLACEMENT_GAP_RESERVATION_H_
