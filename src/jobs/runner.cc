// Free resources of runners and completion of upkeep waves.
#include "bronzebarrow/jobs/runner.h"

#include <algorithm>

#include "bronzebarrow/jobs/upkeep.h"

namespace bronzebarrow::jobs {

Room RoomOf(const wire::StepSpecT& step) {
  return {step.fills ? 0 : step.cpu_milli, step.memory_mb, step.gpu};
}

Room Runner::Free() const {
  Room room = {m_record.cpu_milli, m_record.memory_mb, m_record.gpu};
  room.Add(m_used, -1);
  return room;
}

bool Upkeep::IsCompleted() const {
  return std::all_of(m_machines.begin(), m_machines.end(),
                     [](const auto& machine) {
                       return machine.second == UpkeepState::kDone ||
                              machine.second == UpkeepState::kSkipped;
                     });
}

}  // namespace bronzebarrow::jobs
