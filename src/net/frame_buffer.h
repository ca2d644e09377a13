// Bytes read from a connection, cut into length-prefixed frames.
#ifndef BRONZEBARROW_NET_FRAME_BUFFER_H_
#define BRONZEBARROW_NET_FRAME_BUFFER_H_

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bronzebarrow::net {

constexpr std::size_t kLengthPrefixBytes = 4;  // Frame length, little-endian.

/** One read may bring many frames, and a large frame takes several reads. */
class FrameBuffer {
 public:
  static constexpr std::size_t kReadBytes = std::size_t{64} << 10;
  // For a peer that has sent no frame yet and may be none of ours.
  static constexpr std::size_t kFirstReadBytes = std::size_t{4} << 10;

  /** @param first_read_bytes least room until the first frame was taken */
  explicit FrameBuffer(std::size_t first_read_bytes = kReadBytes)
      : m_read_bytes(first_read_bytes) {}

  /** @return room for the next read; never empty. */
  std::span<std::uint8_t> Room() {
    const std::size_t wanted =
        kLengthPrefixBytes + std::size_t{NextLength().value_or(0)};
    std::copy(m_bytes.begin() + static_cast<std::ptrdiff_t>(m_begin),
              m_bytes.begin() + static_cast<std::ptrdiff_t>(m_end),
              m_bytes.begin());
    m_end -= m_begin;
    m_begin = 0;
    // Grows with what has arrived: a length that is only announced takes no
    // memory.
    const std::size_t size =
        std::max(m_read_bytes, std::min(wanted, 2 * m_end) + 1);
    m_bytes.reserve(size);  // Exactly, as the capacity counts as held.
    m_bytes.resize(size);
    if (m_bytes.capacity() > 2 * m_bytes.size()) {
      m_bytes.shrink_to_fit();
    }
    return {m_bytes.data() + m_end, m_bytes.size() - m_end};
  }

  /** @return bytes that were read and not taken. */
  std::size_t unread() const { return m_end - m_begin; }
  /** @return bytes of memory that are held. */
  std::size_t capacity() const { return m_bytes.capacity(); }

  /** Records that a read filled the first `count` bytes of the room. */
  void OnRead(std::size_t count) { m_end += count; }

  /** @return bytes of the next frame; nothing before its prefix is read. */
  std::optional<std::uint32_t> NextLength() const {
    if (m_end - m_begin < kLengthPrefixBytes) {
      return std::nullopt;
    }
    return boost::endian::load_little_u32(m_bytes.data() + m_begin);
  }

  /** @return the next frame without its prefix; nothing if it is incomplete. */
  std::optional<std::vector<std::uint8_t>> TakeFrame() {
    const auto length = NextLength();
    if (!length || m_end - m_begin - kLengthPrefixBytes < *length) {
      return std::nullopt;
    }
    const std::uint8_t* const first =
        m_bytes.data() + m_begin + kLengthPrefixBytes;
    m_begin += kLengthPrefixBytes + *length;
    m_read_bytes = kReadBytes;
    return std::vector<std::uint8_t>(first, first + *length);
  }

 private:
  std::vector<std::uint8_t> m_bytes;
  std::size_t m_begin = 0;  // Of the bytes that are not taken yet.
  std::size_t m_end = 0;
  std::size_t m_read_bytes;  // Least room for a read.
};

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_FRAME_BUFFER_H_
