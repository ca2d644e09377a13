// Settings: an INI file validated against a table of typed keys with ranges.
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
 * Specification of one key of a settings file. The key "*" allows any key in
 * its section; each is then one element of a list (peers, members).
 */
struct SettingSpec {
  std::string_view m_section;
  std::string_view m_key;
  SettingType m_type = SettingType::kText;
  /** Value of an absent key; the key is required if the default is empty. */
  std::string_view m_default;
  /** Inclusive range of a kInteger value. */
  std::int64_t m_min = 0;
  std::int64_t m_max = 0;
  std::string_view m_help;
};

/** The values of a settings file, validated against their specifications. */
class Settings {
 public:
  /**
   * Reads and validates the file.
   * @return the settings, or a failure that names file, line, section and key.
   */
  static Result<Settings> Load(const std::string& path,
                               std::span<const SettingSpec> specs);

  /** @return the value of a key; the key must be in the specifications. */
  const std::string& Text(std::string_view section, std::string_view key) const;
  std::int64_t Integer(std::string_view section, std::string_view key) const;
  /** @return the keys and values of a section, in key order. */
  std::map<std::string, std::string> Section(std::string_view section) const;

  /**
   * Checks that section `list` has as many keys as the integer under key
   * `list` of `section` states.
   * @return kSettingsTruncated when the counts differ
   */
  Result<void> CheckCount(std::string_view section,
                          std::string_view list) const;

 private:
  std::string m_path;
  std::map<std::string, std::map<std::string, std::string>> m_values;
};

/** @return a description of the keys for `--help`, one key per line. */
std::string DescribeSettings(std::span<const SettingSpec> specs);

/**
 * @return the 1-based line of `key` in `section` of an INI text, or of the
 * section header when `key` is empty; 0 when it is absent.
 */
int LineOf(const std::string& text, std::string_view section,
           std::string_view key);

/** @return the non-empty parts of `text` between separators, trimmed. */
std::vector<std::string> SplitTrimmed(const std::string& text, char separator);

/** @return whether `name` is 1 to 64 letters, digits, '-', '_' or '.'. */
bool IsName(std::string_view name);

/** @return `text` as an integer, or kUsage if any of it is not part of one. */
Result<std::int64_t> ParseInteger(const std::string& text);

/** @return the content of the file, or a failure with `code`. */
Result<std::string> ReadFile(const std::string& path, ErrorCode code);

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_BASE_SETTINGS_H_
