// Reads the resource usage from the kernel and from the traffic counters.
#include "programs/process_usage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

#include "bronzebarrow/net/traffic.h"

namespace bronzebarrow::programs {
namespace {

double ToSeconds(const timeval& time) {
  constexpr double kMicrosPerSecond = 1e6;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / kMicrosPerSecond;
}

double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

}  // namespace

void PublishProcessUsage(Metrics& metrics) {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const net::Traffic& traffic = net::Traffic::Global();
  metrics.SetGauge("process_cpu_seconds_total", "",
                   ToSeconds(usage.ru_utime) + ToSeconds(usage.ru_stime));
  metrics.SetGauge("process_resident_memory_bytes", "", ResidentBytes());
  metrics.SetGauge("bronzebarrow_frame_bytes_sent_total", "",
                   static_cast<double>(traffic.m_bytes_sent));
  metrics.SetGauge("bronzebarrow_frame_bytes_received_total", "",
                   static_cast<double>(traffic.m_bytes_received));
  metrics.SetGauge("bronzebarrow_frames_sent_total", "",
                   static_cast<double>(traffic.m_frames_sent));
}

}  // namespace bronzebarrow::programs
