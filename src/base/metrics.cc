// Metric storage and the Prometheus text exposition.
#include "bronzebarrow/base/metrics.h"

#include <boost/histogram.hpp>
#include <functional>
#include <iomanip>
#include <limits>
#include <map>
#include <sstream>
#include <string>
#include <string_view>

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

// Series by name, then by labels. Looked up by views, without a copy of the
// key.
template <typename Series>
using MetricMap =
    std::map<std::string, std::map<std::string, Series, std::less<>>,
             std::less<>>;

// The entry of the key; added if it is missing.
template <typename Value>
Value& FindOrAdd(std::map<std::string, Value, std::less<>>& map,
                 std::string_view key) {
  const auto found = map.find(key);
  return found != map.end() ? found->second : map[std::string(key)];
}

}  // namespace

struct Metrics::Tables {
  MetricMap<std::uint64_t> m_counters;
  MetricMap<double> m_gauges;
  MetricMap<LatencySeries> m_latencies;
};

Metrics::Metrics() : m_tables(std::make_unique<Tables>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name, std::string_view labels,
                    std::uint64_t increment) {
  const std::lock_guard lock(m_mutex);
  FindOrAdd(FindOrAdd(m_tables->m_counters, name), labels) += increment;
}

void Metrics::SetGauge(std::string_view name, std::string_view labels,
                       double value) {
  const std::lock_guard lock(m_mutex);
  FindOrAdd(FindOrAdd(m_tables->m_gauges, name), labels) = value;
}

void Metrics::Observe(std::string_view name, std::string_view labels,
                      double seconds) {
  const std::lock_guard lock(m_mutex);
  LatencySeries& latency =
      FindOrAdd(FindOrAdd(m_tables->m_latencies, name), labels);
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
