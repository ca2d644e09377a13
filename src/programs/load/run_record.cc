// JSON form of the execution counts.
#include "programs/load/run_record.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace bronzebarrow::programs {

std::string ExecutionRecord::ToJson() const {
  const std::lock_guard lock(m_mutex);
  boost::json::object runs;
  for (const auto& [key, count] : m_executions) {
    runs[key] = count;
  }
  boost::json::object record;
  record["runs"] = std::move(runs);
  record["requests"] = m_requests;
  record["cut"] = m_interrupted;
  record["stops"] = m_stops;
  return boost::json::serialize(record) + "\n";
}

}  // namespace bronzebarrow::programs
