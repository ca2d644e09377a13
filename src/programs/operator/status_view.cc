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
  const char* m_list;
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
      width = std::max(width, Text(row.as_object().at(column)).size());
    }
    widths.push_back(width + 2);
  }
  out << "\n" << spec.m_list << " (" << rows.size() << ")\n";
  out << std::left;
  for (std::size_t i = 0; i < spec.m_columns.size(); ++i) {
    out << std::setw(static_cast<int>(widths[i])) << spec.m_columns[i];
  }
  out << "\n";
  for (const json::value& row : rows) {
    for (std::size_t i = 0; i < spec.m_columns.size(); ++i) {
      out << std::setw(static_cast<int>(widths[i]))
          << Text(row.as_object().at(spec.m_columns[i]));
    }
    out << "\n";
  }
}

}  // namespace

std::string Text(const json::value& value) {
  return value.is_string() ? std::string(value.as_string())
                           : json::serialize(value);
}

const json::object* FindIn(const json::object& status, const char* list,
                           const char* key, const std::string& value) {
  for (const json::value& item : status.at(list).as_array()) {
    if (Text(item.as_object().at(key)) == value) {
      return &item.as_object();
    }
  }
  return nullptr;
}

void PrintStatus(std::ostream& out, const json::object& status) {
  for (const char* key : {"leader", "term", "commit_index", "log_entries",
                          "config_version", "fleet_version", "ledger_keys"}) {
    out << std::left << std::setw(16) << key << Text(status.at(key)) << "\n";
  }
  for (const TableSpec& spec : Tables()) {
    PrintTable(out, spec, status.at(spec.m_list).as_array());
  }
}

void PrintProgress(std::ostream& out, const json::object& status) {
  for (const json::value& item : status.at("stops").as_array()) {
    const json::object& stop = item.as_object();
    const std::string state = Text(stop.at("state"));
    if (state == "draining" || state == "released") {
      out << "stop " << Text(stop.at("id")) << " of "
          << Text(stop.at("instance")) << ": " << state;
      if (!stop.at("waiting_for").as_array().empty()) {
        out << ", waiting for " << Text(stop.at("waiting_for"));
      }
      out << "\n";
    }
  }
  for (const json::value& item : status.at("waves").as_array()) {
    const json::object& wave = item.as_object();
    if (Text(wave.at("state")) == "finished") {
      continue;
    }
    out << "wave " << Text(wave.at("id")) << " over " << Text(wave.at("pool"))
        << ": " << Text(wave.at("state")) << ", " << Text(wave.at("done"))
        << " done, " << Text(wave.at("active")) << " active, "
        << Text(wave.at("waiting")) << " waiting, width "
        << Text(wave.at("width")) << "\n";
  }
}

}  // namespace bronzebarrow::programs
