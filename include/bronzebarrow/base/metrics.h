// Counters, gauges and Boost.Histogram latency histograms with labels,
// written in the Prometheus text exposition format.
#ifndef BRONZEBARROW_BASE_METRICS_H_
#define BRONZEBARROW_BASE_METRICS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace bronzebarrow {

/** Thread-safe registry of the metrics of one process. */
class Metrics {
 public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /** @param labels e.g. `plan="a",class="urgent"`; may be empty. */
  void Count(const std::string& name, const std::string& labels,
             std::uint64_t by = 1);
  void SetGauge(const std::string& name, const std::string& labels,
                double value);
  /** Records a duration in seconds. */
  void Observe(const std::string& name, const std::string& labels,
               double seconds);

  /** @return all metrics in the text exposition format. */
  std::string Expose() const;

 private:
  struct Tables;
  mutable std::mutex m_mutex;  // Guards m_tables; a leaf lock.
  std::unique_ptr<Tables> m_tables;
};

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_BASE_METRICS_H_
