// Parses and generates version 7 UUIDs with Boost.Uuid.
#include "bronzebarrow/ledger/request_key.h"

#include <algorithm>
#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <stdexcept>

namespace bronzebarrow::ledger {
namespace {

constexpr std::size_t kUuidTextLength = 36;
constexpr std::size_t kTimeBytes = 6;
constexpr std::size_t kVersionByte = 6;
constexpr std::size_t kVariantByte = 8;
constexpr std::uint8_t kVersion7 = 0x70;
constexpr std::uint8_t kVariantRfc = 0x80;

}  // namespace

std::optional<std::uint64_t> ParseIssueTimeMs(std::string_view key) {
  if (key.size() != kUuidTextLength) {
    return std::nullopt;
  }
  boost::uuids::uuid uuid;
  try {
    uuid = boost::uuids::string_generator()(key.begin(), key.end());
  } catch (const std::runtime_error&) {
    return std::nullopt;
  }
  const bool version7 = (uuid.data[kVersionByte] & 0xF0) == kVersion7 &&
                        (uuid.data[kVariantByte] & 0xC0) == kVariantRfc;
  if (!version7) {
    return std::nullopt;
  }
  std::uint64_t issued_ms = 0;
  for (std::size_t i = 0; i < kTimeBytes; ++i) {
    issued_ms = issued_ms << 8 | uuid.data[i];
  }
  return issued_ms;
}

std::string MakeKey(std::uint64_t now_ms, std::mt19937_64& random) {
  boost::uuids::uuid uuid;
  std::generate(std::begin(uuid.data), std::end(uuid.data),
                [&] { return static_cast<std::uint8_t>(random()); });
  for (std::size_t i = 0; i < kTimeBytes; ++i) {
    uuid.data[i] =
        static_cast<std::uint8_t>(now_ms >> (8 * (kTimeBytes - 1 - i)));
  }
  uuid.data[kVersionByte] =
      static_cast<std::uint8_t>((uuid.data[kVersionByte] & 0x0F) | kVersion7);
  uuid.data[kVariantByte] =
      static_cast<std::uint8_t>((uuid.data[kVariantByte] & 0x3F) | kVariantRfc);
  return boost::uuids::to_string(uuid);
}

}  // namespace bronzebarrow::ledger
