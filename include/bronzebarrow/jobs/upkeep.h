// An upkeep wave: a set of machines that each need upkeep once, with a limit on
// how many may be down at the same time.
#ifndef BRONZEBARROW_JOBS_UPKEEP_H_
#define BRONZEBARROW_JOBS_UPKEEP_H_

#include <cstdint>
#include <map>
#include <string>

#include "bronzebarrow/base/enum_names.h"

namespace bronzebarrow::jobs {

enum class UpkeepState : std::uint8_t {
  kDue,        // Upkeep has not been requested.
  kRequested,  // The request may have been sent; the machine may be down.
  kDone,       // Upkeep began, and the machine counts as back in service.
  kSkipped,    // The machine left permanently, or is not part of the wave.
};

/** One life of a machine's runner. */
struct RunnerLife {
  std::string m_runner;  // Id; empty: none.
  std::uint64_t m_born_ms = 0;
  bool operator==(const RunnerLife&) const = default;
};

struct UpkeepWave {
  std::uint64_t m_wave = 0;                       // Id of the wave.
  std::map<std::string, UpkeepState> m_machines;  // Changed by SetState.
  // By machine: the runner that was registered when its upkeep was first
  // requested. Only its end follows from an answer that the upkeep was carried
  // out, as a repeated request gets that answer too.
  std::map<std::string, RunnerLife> m_lives_before;
  std::uint64_t m_complete_by_ms = 0;  // Deadline in Unix milliseconds.
  std::uint32_t m_cap = 1;             // Most machines in upkeep at once.
  std::size_t m_open = 0;  // Of m_machines, neither done nor skipped.

  /** Adds the machine, or changes its state. */
  void SetState(const std::string& machine, UpkeepState state);
  /** @return whether every machine is done or skipped. */
  bool IsCompleted() const { return m_open == 0; }
};

}  // namespace bronzebarrow::jobs

template <>
struct bronzebarrow::EnumNames<bronzebarrow::jobs::UpkeepState> {
  static constexpr std::array<std::string_view, 4> kNames = {"due", "ordered",
                                                             "done", "skipped"};
};

#endif  // BRONZEBARROW_JOBS_UPKEEP_H_
