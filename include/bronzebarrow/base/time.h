// Clock types. Decision cores (code without I/O) receive the time as an Instant
// argument and never read a clock.
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

/** @return whole milliseconds of a duration that is not negative. */
inline std::uint64_t ToMillis(Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(duration).count());
}

/**
 * @return the current time. Only the I/O layer may call this, never a decision
 * core. The clock includes the time that the machine spends suspended, which
 * std::chrono::steady_clock does not: a lease must not outlive a suspension.
 * The value must not be passed to a timer, which runs on the steady clock.
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

/** The time of one event on the monotonic clock and on the wall clock. */
struct Moment {
  Instant m_now;
  std::uint64_t m_wall_ms = 0;
};

/** @return the current time on both clocks; for the I/O layer only. */
inline Moment CurrentMoment() { return {Now(), WallMillis()}; }

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_BASE_TIME_H_
