// Metric storage and the Prometheus text exposition.
#include "bronzebarrow/base/metrics.h"

#include <boost/histogram.hpp>
#include <iomanip>
#include <limits>
#include <sstream>

namespace bronzebarrow {
namespace {

namespace bh = boost::histogram;

constexpr unsigned kLatencyBuckets = 24;
constexpr double kLatencyMinSeconds = 1e-4;
constexpr double kLatencyMaxSeconds = 100.0;

using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = bh::histogram<std::tuple<LatencyAxis>>;

LatencyHistogram MakeLatencyHistogram() {
  return bh::make_histogram(
      LatencyAxis(kLatencyBuckets, kLatencyMinSeconds, kLatencyMaxSeconds));
}

struct LatencySeries {
  LatencyHistogram m_buckets = MakeLatencyHistogram();
  double m_sum = 0;
  std::uint64_t m_count = 0;
};

std::string FormatLabels(const std::string& labels) {
  return labels.empty() ? std::string() : "{" + labels + "}";
}

void WriteLatency(std::ostream& out, const std::string& name,
                  const std::string& labels, const LatencySeries& latency) {
  const std::string prefix = labels.empty() ? "" : labels + ",";
  const auto& axis = latency.m_buckets.axis();
  double cumulative = 0;
  for (int i = -1; i < axis.size(); ++i) {
    cumulative += static_cast<double>(latency.m_buckets.at(i));
    out << name << "_bucket{" << prefix << "le=\"" << axis.value(i + 1)
        << "\"} " << cumulative << "\n";
  }
  out << name << "_bucket{" << prefix << "le=\"+Inf\"} " << latency.m_count
      << "\n";
  out << name << "_sum" << FormatLabels(labels) << " " << latency.m_sum << "\n";
  out << name << "_count" << FormatLabels(labels) << " " << latency.m_count
      << "\n";
}

}  // namespace

struct Metrics::Tables {
  std::map<std::string, std::map<std::string, std::uint64_t>> m_counters;
  std::map<std::string, std::map<std::string, double>> m_gauges;
  std::map<std::string, std::map<std::string, LatencySeries>> m_latencies;
};

Metrics::Metrics() : m_tables(std::make_unique<Tables>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name, const std::string& labels,
                    std::uint64_t increment) {
  const std::lock_guard lock(m_mutex);
  m_tables->m_counters[name][labels] += increment;
}

void Metrics::SetGauge(const std::string& name, const std::string& labels,
                       double value) {
  const std::lock_guard lock(m_mutex);
  m_tables->m_gauges[name][labels] = value;
}

void Metrics::Observe(const std::string& name, const std::string& labels,
                      double seconds) {
  const std::lock_guard lock(m_mutex);
  LatencySeries& latency = m_tables->m_latencies[name][labels];
  latency.m_buckets(seconds);
  latency.m_sum += seconds;
  ++latency.m_count;
}

std::string Metrics::Expose() const {
  const std::lock_guard lock(m_mutex);
  std::ostringstream out;
  out << std::setprecision(std::numeric_limits<double>::max_digits10);
  for (const auto& [name, series] : m_tables->m_counters) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [labels, value] : series) {
      out << name << FormatLabels(labels) << " " << value << "\n";
    }
  }
  for (const auto& [name, series] : m_tables->m_gauges) {
    out << "# TYPE " << name << " gauge\n";
    for (const auto& [labels, value] : series) {
      out << name << FormatLabels(labels) << " " << value << "\n";
    }
  }
  for (const auto& [name, series] : m_tables->m_latencies) {
    out << "# TYPE " << name << " histogram\n";
    for (const auto& [labels, latency] : series) {
      WriteLatency(out, name, labels, latency);
    }
  }
  return out.str();
}

}  // namespace bronzebarrow
