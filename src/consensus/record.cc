// Records: a header of magic, length and XXH3 checksum, then the payload.
#include "consensus/record.h"

#include <xxhash.h>

#include <cstring>

namespace bronzebarrow::consensus {
namespace {

constexpr std::uint32_t kRecordMagic = 0x42425231;

struct RecordHeader {
  std::uint32_t m_magic;
  std::uint32_t m_length;
  std::uint64_t m_checksum;
};
static_assert(sizeof(RecordHeader) == kRecordHeaderBytes);

}  // namespace

Bytes EncodeRecord(ByteView payload) {
  const RecordHeader header = {kRecordMagic,
                               static_cast<std::uint32_t>(payload.size()),
                               XXH3_64bits(payload.data(), payload.size())};
  Bytes record(kRecordHeaderBytes + payload.size());
  std::memcpy(record.data(), &header, kRecordHeaderBytes);
  std::memcpy(record.data() + kRecordHeaderBytes, payload.data(),
              payload.size());
  return record;
}

std::optional<ByteView> DecodeRecord(ByteView bytes) {
  if (bytes.size() < kRecordHeaderBytes) {
    return std::nullopt;
  }
  RecordHeader header;
  std::memcpy(&header, bytes.data(), kRecordHeaderBytes);
  if (header.m_magic != kRecordMagic ||
      header.m_length > bytes.size() - kRecordHeaderBytes) {
    return std::nullopt;
  }
  const ByteView payload = bytes.subspan(kRecordHeaderBytes, header.m_length);
  if (XXH3_64bits(payload.data(), payload.size()) != header.m_checksum) {
    return std::nullopt;
  }
  return payload;
}

bool ContainsValidRecord(ByteView bytes) {
  for (std::size_t offset = 0; offset + kRecordHeaderBytes <= bytes.size();
       ++offset) {
    if (DecodeRecord(bytes.subspan(offset))) {
      return true;
    }
  }
  return false;
}

}  // namespace bronzebarrow::consensus
