// Clock types. Decision cores take an Instant and never read a clock.
#ifndef BRONZEBARROW_BASE_TIME_H_
#define BRONZEBARROW_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace bronzebarrow {

/** A point on the monotonic clock of one process. */
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Millis = std::chrono::milliseconds;

/** @return the current time; for shells only, never for decision cores. */
inline Instant Now() { return std::chrono::steady_clock::now(); }

/** @return wall-clock milliseconds since the Unix epoch. */
inline std::uint64_t WallMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(now).count());
}

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_BASE_TIME_H_
