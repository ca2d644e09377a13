// Name tables for enumerations: one array of names per `enum class`.
#ifndef BRONZEBARROW_BASE_ENUM_NAMES_H_
#define BRONZEBARROW_BASE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace bronzebarrow {

/**
 * Specialised once per enumeration. A specialisation holds
 * `static constexpr std::array<std::string_view, N> kNames`, indexed by the
 * enumerator's value, which must start at zero without gaps.
 */
template <typename Enum>
struct EnumNames;

/** @return the name of `value`, or "invalid" if the table has no such entry. */
template <typename Enum>
constexpr std::string_view NameOf(Enum value) {
  const auto index = static_cast<std::size_t>(value);
  return index < EnumNames<Enum>::kNames.size() ? EnumNames<Enum>::kNames[index]
                                                : std::string_view("invalid");
}

/** @return the enumerator with this name, or nullopt if there is none. */
template <typename Enum>
constexpr std::optional<Enum> ParseName(std::string_view name) {
  for (std::size_t i = 0; i < EnumNames<Enum>::kNames.size(); ++i) {
    if (EnumNames<Enum>::kNames[i] == name) {
      return static_cast<Enum>(i);
    }
  }
  return std::nullopt;
}

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_BASE_ENUM_NAMES_H_
