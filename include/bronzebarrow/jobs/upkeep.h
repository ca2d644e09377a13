// A wave of upkeep: machines that each need one, at most `cap` at once.
#ifndef BRONZEBARROW_JOBS_UPKEEP_H_
#define BRONZEBARROW_JOBS_UPKEEP_H_

#include <cstdint>
#include <map>
#include <string>

#include "bronzebarrow/base/enum_names.h"

namespace bronzebarrow::jobs {

enum class UpkeepState : std::uint8_t {
  kDue,
  kOrdered,  // The order may have left; it may be down.
  kDone,     // It began its upkeep and a new runner of it is there.
  kSkipped,  // The machine has left for good.
};

struct Upkeep {
  std::uint64_t m_wave = 0;
  std::map<std::string, UpkeepState> m_machines;
  std::uint64_t m_complete_by_ms = 0;  // Unix time.
  std::uint32_t m_cap = 1;

  bool IsCompleted() const;
};

}  // namespace bronzebarrow::jobs

template <>
struct bronzebarrow::EnumNames<bronzebarrow::jobs::UpkeepState> {
  static constexpr std::array<std::string_view, 4> kNames = {"due", "ordered",
                                                             "done", "skipped"};
};

#endif  // BRONZEBARROW_JOBS_UPKEEP_H_
