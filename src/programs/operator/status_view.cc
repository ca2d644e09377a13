// Formats the status JSON as text.
#include "programs/operator/status_view.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <iomanip>
#include <vector>

namespace bronzebarrow::programs {
namespace {

namespace json = boost::json;

struct TableSpec {
  const char* m_array_key;
  std::vector<const char*> m_columns;
};

const std::vector<TableSpec>& Tables() {
  static const std::vector<TableSpec> tables = {
      {"members", {"name", "generation", "voter"}},
      {"entries",
       {"name", "reported", "lease_ms", "config_version", "fleet_version",
        "targets"}},
      {"margins", {"plan", "pool", "available", "reserve", "floor", "spare"}},
      {"instances", {"name", "pool", "zone", "rack", "incarnation", "state"}},
      {"stops", {"id", "instance", "state", "reason", "waiting_for"}},
      {"waves", {"id", "pool", "state", "width", "waiting", "active", "done"}},
  };
  return tables;
}

void PrintTable(std::ostream& out, const TableSpec& spec,
                const json::array& rows) {
  std::vector<std::size_t> widths;
  for (const char* column : spec.m_columns) {
    std::size_t width = std::string(column).size();
    for (const json::value& row : rows) {
      width = std::max(width, ToText(row.as_object().at(column)).size());
    }
    widths.push_back(width + 2);
  }
  out << "\n" << spec.m_array_key << " (" << rows.size() << ")\n";
  out << std::left;
  for (std::size_t i = 0; i < spec.m_columns.size(); ++i) {
    out << std::setw(static_cast<int>(widths[i])) << spec.m_columns[i];
  }
  out << "\n";
  for (const json::value& row : rows) {
    for (std::size_t i = 0; i < spec.m_columns.size(); ++i) {
      out << std::setw(static_cast<int>(widths[i]))
          << ToText(row.as_object().at(spec.m_columns[i]));
    }
    out << "\n";
  }
}

}  // namespace

std::string ToText(const json::value& value) {
  return value.is_string() ? std::string(value.as_string())
                           : json::serialize(value);
}

const json::object* FindByField(const json::object& status,
                                const char* array_key, const char* key,
                                const std::string& value) {
  for (const json::value& item : status.at(array_key).as_array()) {
    if (ToText(item.as_object().at(key)) == value) {
      return &item.as_object();
    }
  }
  return nullptr;
}

void PrintStatus(std::ostream& out, const json::object& status) {
  for (const char* key : {"leader", "term", "commit_index", "log_entries",
                          "config_version", "fleet_version", "ledger_keys"}) {
    out << std::left << std::setw(16) << key << ToText(status.at(key)) << "\n";
  }
  for (const TableSpec& spec : Tables()) {
    PrintTable(out, spec, status.at(spec.m_array_key).as_array());
  }
}

void PrintProgress(std::ostream& out, const json::object& status) {
  for (const json::value& item : status.at("stops").as_array()) {
    const json::object& stop = item.as_object();
    const std::string state = ToText(stop.at("state"));
    if (state == "draining" || state == "released") {
      out << "stop " << ToText(stop.at("id")) << " of "
          << ToText(stop.at("instance")) << ": " << state;
      if (!stop.at("waiting_for").as_array().empty()) {
        out << ", waiting for " << ToText(stop.at("waiting_for"));
      }
      out << "\n";
    }
  }
  for (const json::value& item : status.at("waves").as_array()) {
    const json::object& wave = item.as_object();
    if (ToText(wave.at("state")) == "finished") {
      continue;
    }
    out << "wave " << ToText(wave.at("id")) << " over "
        << ToText(wave.at("pool")) << ": " << ToText(wave.at("state")) << ", "
        << ToText(wave.at("done")) << " done, " << ToText(wave.at("active"))
        << " active, " << ToText(wave.at("waiting")) << " waiting, width "
        << ToText(wave.at("width")) << "\n";
  }
}

}  // namespace bronzebarrow::programs
