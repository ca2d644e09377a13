// Amounts of CPU, memory and GPUs.
#ifndef BRONZEBARROW_BASE_RESOURCES_H_
#define BRONZEBARROW_BASE_RESOURCES_H_

#include <cstdint>

namespace bronzebarrow {

/** Amounts of CPU, memory and GPUs. */
struct Resources {
  std::int64_t m_cpu_milli = 0;
  std::int64_t m_memory_mb = 0;
  std::int64_t m_gpu = 0;

  void Add(const Resources& other, std::int64_t times) {
    m_cpu_milli += other.m_cpu_milli * times;
    m_memory_mb += other.m_memory_mb * times;
    m_gpu += other.m_gpu * times;
  }
  bool Fits(const Resources& need) const {
    return need.m_cpu_milli <= m_cpu_milli && need.m_memory_mb <= m_memory_mb &&
           need.m_gpu <= m_gpu;
  }
  bool operator==(const Resources&) const = default;
};

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_BASE_RESOURCES_H_
