// Encoding of FlatBuffers tables, and decoding with verification.
#ifndef BRONZEBARROW_WIRE_CODEC_H_
#define BRONZEBARROW_WIRE_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "wire_generated.h"

namespace bronzebarrow::wire {

/** Verifier limits that protect against hostile or corrupted input. */
constexpr unsigned kMaxTableDepth = 16;
constexpr unsigned kMaxTables = 4'000'000;

/** Alignment in bytes that the scalars of a table require. */
constexpr std::uintptr_t kTableAlignment = 8;

/**
 * @param header_bytes number of zero bytes to put in front, for a header that
 * the caller fills in
 * @return the serialised `Table` of its object form `value`
 */
template <typename Table>
std::vector<std::uint8_t> Encode(const typename Table::NativeTableType& value,
                                 std::size_t header_bytes = 0) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Table::Pack(builder, &value));
  const auto* const data = builder.GetBufferPointer();
  std::vector<std::uint8_t> bytes;
  bytes.reserve(header_bytes + builder.GetSize());
  bytes.resize(header_bytes);
  bytes.insert(bytes.end(), data, data + builder.GetSize());
  return bytes;
}

/** @return the object form of the table, or null if verification fails. */
template <typename Table>
std::unique_ptr<typename Table::NativeTableType> Decode(
    std::span<const std::uint8_t> bytes) {
  std::vector<std::uint8_t> aligned;
  if (reinterpret_cast<std::uintptr_t>(bytes.data()) % kTableAlignment != 0) {
    aligned.assign(bytes.begin(), bytes.end());
    bytes = aligned;
  }
  flatbuffers::Verifier verifier(bytes.data(), bytes.size(), kMaxTableDepth,
                                 kMaxTables);
  if (!verifier.VerifyBuffer<Table>(nullptr)) {
    return nullptr;
  }
  const auto* const table = flatbuffers::GetRoot<Table>(bytes.data());
  return std::unique_ptr<typename Table::NativeTableType>(table->UnPack());
}

}  // namespace bronzebarrow::wire

#endif  // BRONZEBARROW_WIRE_CODEC_H_
