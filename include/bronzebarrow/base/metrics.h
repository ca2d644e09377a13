// Labelled counters, gauges and latency histograms (Boost.Histogram), exposed
// in the Prometheus text exposition format.
#ifndef BRONZEBARROW_BASE_METRICS_H_
#define BRONZEBARROW_BASE_METRICS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace bronzebarrow {

/** Thread-safe registry of the metrics of one process. */
class Metrics {
 public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /**
   * Increments a counter.
   * @param labels e.g. `plan="a",class="urgent"`; may be empty.
   */
  void Count(std::string_view name, std::string_view labels,
             std::uint64_t increment = 1);
  void SetGauge(std::string_view name, std::string_view labels, double value);
  /** Adds a duration to the latency histogram `name`. */
  void Observe(std::string_view name, std::string_view labels, double seconds);

  /** @return all metrics in the text exposition format. */
  std::string Expose() const;

 private:
  struct Tables;
  // Guards m_tables. No other lock is taken under it.
  mutable std::mutex m_mutex;
  std::unique_ptr<Tables> m_tables;
};

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_BASE_METRICS_H_
