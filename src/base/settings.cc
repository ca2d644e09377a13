// Reads INI files with Boost.PropertyTree and validates them against their
// specifications.
#include "bronzebarrow/base/settings.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <fstream>
#include <sstream>

#include "bronzebarrow/base/address.h"
#include "bronzebarrow/base/check.h"

namespace bronzebarrow {
namespace {

constexpr std::string_view kAnyKey = "*";
constexpr std::size_t kReadBytes = 65536;  // Read from a file at once.

std::string KeyLocation(const std::string& path, int line,
                        std::string_view section, std::string_view key) {
  std::string location = path;
  if (line > 0) {
    location += ":" + std::to_string(line);
  }
  location += " [" + std::string(section) + "] " + std::string(key);
  return location;
}

const SettingSpec* FindSpec(std::span<const SettingSpec> specs,
                            std::string_view section, std::string_view key) {
  const auto matches = [&](const SettingSpec& spec) {
    return spec.m_section == section &&
           (spec.m_key == key || spec.m_key == kAnyKey);
  };
  const auto it = std::find_if(specs.begin(), specs.end(), matches);
  return it == specs.end() ? nullptr : &*it;
}

Result<void> CheckInteger(const SettingSpec& spec, const std::string& value,
                          const std::string& location) {
  std::int64_t number = 0;
  const auto* const end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number < spec.m_min ||
      number > spec.m_max) {
    return Fail(ErrorCode::kSettingOutOfRange,
                location + ": \"" + value + "\" is not an integer from " +
                    std::to_string(spec.m_min) + " to " +
                    std::to_string(spec.m_max));
  }
  return {};
}

Result<void> CheckAddress(const SettingSpec&, const std::string& value,
                          const std::string& location) {
  const auto parsed = Capture<Address>([&] { return Address::Parse(value); });
  if (std::holds_alternative<Failure>(parsed)) {
    return Fail(ErrorCode::kSettingOutOfRange,
                location + ": \"" + value + "\" is not a numeric host:port");
  }
  return {};
}

Result<void> CheckName(const SettingSpec&, const std::string& value,
                       const std::string& location) {
  if (!IsName(value)) {
    return Fail(ErrorCode::kSettingOutOfRange,
                location + ": \"" + value + "\" is not a name");
  }
  return {};
}

Result<void> CheckText(const SettingSpec&, const std::string& value,
                       const std::string& location) {
  if (value.empty()) {
    return Fail(ErrorCode::kSettingOutOfRange, location + ": empty");
  }
  return {};
}

using TypeCheck = Result<void> (*)(const SettingSpec&, const std::string&,
                                   const std::string&);

// Indexed by SettingType.
constexpr std::array<TypeCheck, 4> kTypeChecks = {CheckText, CheckInteger,
                                                  CheckAddress, CheckName};

using Values = std::map<std::string, std::map<std::string, std::string>>;

// Returns the trimmed text of a 1-based line.
std::string LineAt(const std::string& text, unsigned long number) {
  std::istringstream stream(text);
  std::string line;
  for (unsigned long i = 0; i < number; ++i) {
    std::getline(stream, line);
  }
  boost::algorithm::trim(line);
  return line;
}

// Returns the header of the section that contains a 1-based line.
std::string SectionAt(const std::string& text, unsigned long number) {
  for (unsigned long i = number; i > 0; --i) {
    const std::string line = LineAt(text, i);
    if (line.starts_with('[')) {
      return line;
    }
  }
  return "";
}

Result<Values> ParseIni(const std::string& path, const std::string& text) {
  namespace pt = boost::property_tree;
  pt::ptree tree;
  try {
    std::istringstream stream(text);
    pt::read_ini(stream, tree);
  } catch (const pt::ini_parser_error& error) {
    return Fail(ErrorCode::kSettingsMalformed,
                path + ":" + std::to_string(error.line()) + " " +
                    SectionAt(text, error.line()) + " \"" +
                    LineAt(text, error.line()) + "\": " + error.message());
  }
  Values values;
  for (const auto& [section, keys] : tree) {
    if (keys.empty() && !keys.data().empty()) {
      return Fail(ErrorCode::kSettingUnknown,
                  path + ": key \"" + section + "\" stands outside a section");
    }
    auto& stored = values[section];
    for (const auto& [key, value] : keys) {
      stored[key] = value.data();
    }
  }
  return values;
}

}  // namespace

Result<Settings> Settings::Load(const std::string& path,
                                std::span<const SettingSpec> specs) {
  BOOST_LEAF_AUTO(text, ReadFile(path, ErrorCode::kSettingsUnreadable));
  if (text.empty() || text.back() != '\n') {
    return Fail(ErrorCode::kSettingsTruncated, path);
  }
  BOOST_LEAF_AUTO(values, ParseIni(path, text));
  for (const auto& [section, keys] : values) {
    for (const auto& [key, value] : keys) {
      const auto location =
          KeyLocation(path, LineOf(text, section, key), section, key);
      const SettingSpec* spec = FindSpec(specs, section, key);
      if (spec == nullptr) {
        return Fail(ErrorCode::kSettingUnknown, location);
      }
      const auto check = kTypeChecks[static_cast<std::size_t>(spec->m_type)];
      BOOST_LEAF_CHECK(check(*spec, value, location));
    }
  }
  for (const SettingSpec& spec : specs) {
    auto& section = values[std::string(spec.m_section)];
    if (spec.m_key == kAnyKey || section.contains(std::string(spec.m_key))) {
      continue;
    }
    if (spec.m_default.empty()) {
      return Fail(ErrorCode::kSettingMissing,
                  KeyLocation(path, 0, spec.m_section, spec.m_key));
    }
    section[std::string(spec.m_key)] = spec.m_default;
  }
  Settings settings;
  settings.m_path = path;
  settings.m_values = std::move(values);
  return settings;
}

const std::string& Settings::Text(std::string_view section,
                                  std::string_view key) const {
  const auto keys = m_values.find(std::string(section));
  BRONZEBARROW_INVARIANT(keys != m_values.end());
  const auto value = keys->second.find(std::string(key));
  BRONZEBARROW_INVARIANT(value != keys->second.end());
  return value->second;
}

std::int64_t Settings::Integer(std::string_view section,
                               std::string_view key) const {
  return std::stoll(Text(section, key));
}

std::map<std::string, std::string> Settings::Section(
    std::string_view section) const {
  const auto keys = m_values.find(std::string(section));
  return keys == m_values.end() ? std::map<std::string, std::string>()
                                : keys->second;
}

Result<void> Settings::CheckCount(std::string_view section,
                                  std::string_view list) const {
  const auto expected = static_cast<std::size_t>(Integer(section, list));
  const std::size_t found = Section(list).size();
  if (found != expected) {
    return Fail(ErrorCode::kSettingsTruncated,
                m_path + " [" + std::string(list) +
                    "]: " + std::to_string(found) + " of " +
                    std::to_string(expected) + " lines");
  }
  return {};
}

std::string DescribeSettings(std::span<const SettingSpec> specs) {
  std::ostringstream page;
  for (const SettingSpec& spec : specs) {
    page << "  [" << spec.m_section << "] " << spec.m_key << " ("
         << NameOf(spec.m_type);
    if (spec.m_type == SettingType::kInteger) {
      page << " " << spec.m_min << ".." << spec.m_max;
    }
    if (spec.m_key != kAnyKey) {
      page << (spec.m_default.empty() ? ", required" : ", default ")
           << spec.m_default;
    }
    page << "): " << spec.m_help << "\n";
  }
  return page.str();
}

int LineOf(const std::string& text, std::string_view section,
           std::string_view key) {
  std::istringstream stream(text);
  std::string line;
  std::string current;
  for (int number = 1; std::getline(stream, line); ++number) {
    boost::algorithm::trim(line);
    if (line.size() > 1 && line.front() == '[') {
      current = line.substr(1, line.find(']') - 1);
      if (key.empty() && current == section) {
        return number;
      }
      continue;
    }
    const auto equals = line.find('=');
    if (equals == std::string::npos || current != section) {
      continue;
    }
    auto name = line.substr(0, equals);
    boost::algorithm::trim(name);
    if (name == key) {
      return number;
    }
  }
  return 0;
}

std::vector<std::string> SplitTrimmed(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, separator)) {
    boost::algorithm::trim(part);
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

bool IsName(std::string_view name) {
  constexpr std::size_t kMaxNameLength = 64;
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), allowed);
}

Result<std::int64_t> ParseInteger(const std::string& text) {
  std::int64_t number = 0;
  const auto* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return Fail(ErrorCode::kUsage, "\"" + text + "\" is not an integer");
  }
  return number;
}

Result<std::string> ReadFile(const std::string& path, ErrorCode code) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Fail(code, path);
  }
  // A copy of the stream's buffer would end at a read error without a sign that
  // tells it from an empty file; read() sets the bad bit.
  std::string content;
  std::array<char, kReadBytes> buffer;
  while (file.read(buffer.data(), buffer.size()) || file.gcount() > 0) {
    content.append(buffer.data(), static_cast<std::size_t>(file.gcount()));
  }
  if (file.bad()) {
    return Fail(code, path);
  }
  return content;
}

}  // namespace bronzebarrow
