// A frame as it was received: verified, and unpacked only by those who need its
// object form.
#ifndef BRONZEBARROW_NET_RECEIVED_FRAME_H_
#define BRONZEBARROW_NET_RECEIVED_FRAME_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "bronzebarrow/wire/codec.h"
#include "wire_generated.h"

namespace bronzebarrow::net {

/** The bytes are a verified frame whose body has a known type. */
class ReceivedFrame {
 public:
  /** @return nothing if the bytes are no valid frame. */
  static std::optional<ReceivedFrame> Verify(std::vector<std::uint8_t> bytes) {
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(),
                                   wire::kMaxTableDepth, wire::kMaxTables);
    if (!verifier.VerifyBuffer<wire::Frame>(nullptr)) {
      return std::nullopt;
    }
    ReceivedFrame frame(std::move(bytes));
    const wire::Body type = frame.table().body_type();
    if (type == wire::Body::NONE || type > wire::Body::MAX ||
        frame.table().body() == nullptr) {
      return std::nullopt;
    }
    return frame;
  }

  const wire::Frame& table() const {
    return *flatbuffers::GetRoot<wire::Frame>(m_bytes.data());
  }
  std::unique_ptr<wire::FrameT> Unpack() const {
    return std::unique_ptr<wire::FrameT>(table().UnPack());
  }

 private:
  explicit ReceivedFrame(std::vector<std::uint8_t> bytes)
      : m_bytes(std::move(bytes)) {}

  // From the allocator, hence aligned for every scalar of a table.
  std::vector<std::uint8_t> m_bytes;
};

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_RECEIVED_FRAME_H_
