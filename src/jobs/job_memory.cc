// Sums of the parts of a specification.
#include "bronzebarrow/jobs/job_memory.h"

#include "bronzebarrow/jobs/job.h"

namespace bronzebarrow::jobs {
namespace {

// Header and rounding of a block of the allocator.
constexpr std::size_t kBlockBytes = 32;

}  // namespace

std::size_t SpecBytes(const wire::JobSpecT& spec) {
  std::size_t bytes = sizeof(wire::JobSpecT) + spec.spec.capacity();
  for (const auto& step : spec.steps) {
    bytes += sizeof(step) + sizeof(wire::StepSpecT) + kBlockBytes +
             step->depends_on.capacity() * sizeof(std::uint32_t) +
             step->required_label.capacity() + step->data_rack.capacity() +
             step->image.capacity();
  }
  return bytes;
}

std::size_t OccurrenceBytes(const wire::JobSpecT& spec) {
  std::size_t bytes = sizeof(Occurrence);
  for (const auto& step : spec.steps) {
    bytes += sizeof(StepState) + kBlockBytes + step->count * kTaskBytes;
  }
  return bytes;
}

std::size_t CallBytes(const wire::JobSpecT& spec) {
  // The frame is no larger than the objects that it holds.
  return 2 * SpecBytes(spec);
}

std::size_t StoredBytes(const wire::JobSpecT& spec, std::size_t open) {
  return 2 * SpecBytes(spec) + sizeof(Job) + open * OccurrenceBytes(spec);
}

void JobMemory::Set(JobId job, std::size_t bytes, bool is_active) {
  Remove(job);
  const JobBytes counted = {bytes, is_active ? bytes : 0};
  m_bytes_by_job[job] = counted;
  m_bytes.m_all += counted.m_all;
  m_bytes.m_active += counted.m_active;
}

void JobMemory::Remove(JobId job) {
  const auto found = m_bytes_by_job.find(job);
  if (found != m_bytes_by_job.end()) {
    m_bytes.m_all -= found->second.m_all;
    m_bytes.m_active -= found->second.m_active;
    m_bytes_by_job.erase(found);
  }
}

void JobMemory::Clear() {
  m_bytes_by_job.clear();
  m_bytes = {};
}

}  // namespace bronzebarrow::jobs
