// Clock types. Decision cores take an Instant and never read a clock.
#ifndef BRONZEBARROW_BASE_TIME_H_
#define BRONZEBARROW_BASE_TIME_H_

#include <time.h>

#include <chrono>
#include <cstdint>

namespace bronzebarrow {

/** A point on the monotonic clock of one process. */
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Millis = std::chrono::milliseconds;

/**
 * @return the current time; for shells only, never for decision cores. Counts
 * the time that the machine spends suspended, which the steady clock does not:
 * a lease must not outlive a suspension. Never pass it to a timer.
 */
inline Instant Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(std::chrono::seconds(time.tv_sec) +
                 std::chrono::nanoseconds(time.tv_nsec));
}

/** @return wall-clock milliseconds since the Unix epoch. */
inline std::uint64_t WallMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(now).count());
}

/** The two times of one event. */
struct Moment {
  Instant m_now;
  std::uint64_t m_wall_ms = 0;
};

/** @return the current moment; for shells only. */
inline Moment CurrentMoment() { return {Now(), WallMillis()}; }

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_BASE_TIME_H_
