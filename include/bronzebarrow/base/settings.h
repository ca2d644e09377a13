// Checked settings: an INI file read against a table of typed, ranged keys.
#ifndef BRONZEBARROW_BASE_SETTINGS_H_
#define BRONZEBARROW_BASE_SETTINGS_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "bronzebarrow/base/failure.h"

namespace bronzebarrow {

enum class SettingType { kText, kInteger, kAddress, kName };

template <>
struct EnumNames<SettingType> {
  static constexpr std::array<std::string_view, 4> kNames = {"text", "integer",
                                                             "address", "name"};
};

/**
 * One key of a settings file. The key "*" admits any key of its section, each
 * an entry of a list (peers, members).
 */
struct SettingSpec {
  std::string_view m_section;
  std::string_view m_key;
  SettingType m_type = SettingType::kText;
  /** Used when the key is absent; an empty default makes the key required. */
  std::string_view m_default;
  std::int64_t m_min = 0;
  std::int64_t m_max = 0;
  std::string_view m_help;
};

/** The values of a settings file, all checked against their specs. */
class Settings {
 public:
  /**
   * Reads and checks the file.
   * @return the settings, or a failure that names file, line, section and key.
   */
  static Result<Settings> Load(const std::string& path,
                               std::span<const SettingSpec> specs);

  /** @return the text of a key that is in the specs. */
  const std::string& Text(std::string_view section, std::string_view key) const;
  std::int64_t Integer(std::string_view section, std::string_view key) const;
  /** @return the keys and values of a section, in key order. */
  std::map<std::string, std::string> Section(std::string_view section) const;

  /**
   * Checks that section `list` has as many keys as [section] `list` says.
   * @return a failure if it has not: the file was cut short
   */
  Result<void> CheckCount(std::string_view section,
                          std::string_view list) const;

 private:
  std::string m_path;
  std::map<std::string, std::map<std::string, std::string>> m_values;
};

/** @return a reference page of the specs, one key a line, for `--help`. */
std::string DescribeSettings(std::span<const SettingSpec> specs);

/** @return the 1-based line of `key` in `section` of an INI text, or 0. */
int LineOf(const std::string& text, std::string_view section,
           std::string_view key);

/** @return the parts of `text` between `separator`s, blanks trimmed. */
std::vector<std::string> SplitTrimmed(const std::string& text, char separator);

/** @return whether `name` is 1 to 64 letters, digits, '-', '_' or '.'. */
bool IsName(std::string_view name);

/** @return the integer that is the whole of `text`, or a failure. */
Result<std::int64_t> ParseInteger(const std::string& text);

/** @return the whole file, or a failure. */
Result<std::string> ReadFile(const std::string& path, ErrorCode code);

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_BASE_SETTINGS_H_
