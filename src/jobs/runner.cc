// Free resources of runners and completion of upkeep waves.
#include "bronzebarrow/jobs/runner.h"

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

void UpkeepWave::SetState(const std::string& machine, UpkeepState state) {
  const auto is_open = [](UpkeepState s) {
    return s == UpkeepState::kDue || s == UpkeepState::kRequested;
  };
  const auto [entry, is_new] = m_machines.try_emplace(machine, state);
  if (!is_new && is_open(entry->second)) {
    --m_open;
  }
  entry->second = state;
  m_open += is_open(state) ? 1 : 0;
}

}  // namespace bronzebarrow::jobs
