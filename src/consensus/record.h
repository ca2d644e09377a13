// Record format of a replica's files: a header with a checksum, then payload.
#ifndef BRONZEBARROW_SRC_CONSENSUS_RECORD_H_
#define BRONZEBARROW_SRC_CONSENSUS_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bronzebarrow::consensus {

using Bytes = std::vector<std::uint8_t>;
using ByteView = std::span<const std::uint8_t>;

/** Size in bytes of a record's header: magic, length, checksum. */
constexpr std::size_t kRecordHeaderBytes = 16;

/** @return a record: a header with length and checksum, then `payload`. */
Bytes EncodeRecord(ByteView payload);

/** @return the payload of the record at the start of `bytes`, if valid. */
std::optional<ByteView> DecodeRecord(ByteView bytes);

/** @return whether a valid record starts anywhere in `bytes`. */
bool ContainsValidRecord(ByteView bytes);

}  // namespace bronzebarrow::consensus

#endif  // BRONZEBARROW_SRC_CONSENSUS_RECORD_H_
