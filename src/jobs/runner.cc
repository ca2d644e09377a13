// Free resources of runners and completion of upkeep waves.
#include "bronzebarrow/jobs/runner.h"

#include <algorithm>

#include "bronzebarrow/jobs/upkeep.h"

namespace bronzebarrow::jobs {

Resources ResourcesOf(const wire::StepSpecT& step) {
  return {step.fills ? 0 : step.cpu_milli, step.memory_mb, step.gpu};
}

Resources Runner::TotalResources() const {
  return {m_record.cpu_milli, m_record.memory_mb, m_record.gpu};
}

Resources Runner::FreeResources() const {
  Resources free = TotalResources();
  free.Add(m_used, -1);
  return free;
}

bool UpkeepWave::IsCompleted() const {
  return std::all_of(m_machines.begin(), m_machines.end(),
                     [](const auto& machine) {
                       return machine.second == UpkeepState::kDone ||
                              machine.second == UpkeepState::kSkipped;
                     });
}

}  // namespace bronzebarrow::jobs
