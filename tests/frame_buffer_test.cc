// Tests of FrameBuffer with frames that are cut by reads at any byte.
#include "net/frame_buffer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstring>
#include <random>
#include <string>

namespace bronzebarrow::net {
namespace {

using Bytes = std::vector<std::uint8_t>;

constexpr std::uint64_t kSeeds = 200;
constexpr std::size_t kFramesPerSeed = 60;
constexpr std::size_t kLargeFrameBytes = std::size_t{300} << 10;

class FrameBufferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameBufferTest);
  CPPUNIT_TEST(OneReadBringsManyFrames);
  CPPUNIT_TEST(FrameIsIncompleteUpToItsLastByte);
  CPPUNIT_TEST(FramesSurviveAnyCut);
  CPPUNIT_TEST(LengthIsKnownBeforeTheFrame);
  CPPUNIT_TEST(RoomShrinksAfterALargeFrame);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OneReadBringsManyFrames() {
    FrameBuffer buffer;
    Bytes stream;
    for (const std::uint8_t size : {3, 0, 5}) {
      Append(stream, Bytes(size, size));
    }
    Read(buffer, stream);
    CPPUNIT_ASSERT(buffer.TakeFrame() == Bytes(3, 3));
    CPPUNIT_ASSERT(buffer.TakeFrame() == Bytes());
    CPPUNIT_ASSERT(buffer.TakeFrame() == Bytes(5, 5));
    CPPUNIT_ASSERT(!buffer.TakeFrame());
    CPPUNIT_ASSERT(!buffer.NextLength());
  }

  void FrameIsIncompleteUpToItsLastByte() {
    Bytes stream;
    Append(stream, {1, 2, 3});
    for (std::size_t cut = 0; cut < stream.size(); ++cut) {
      const auto middle = stream.begin() + static_cast<std::ptrdiff_t>(cut);
      FrameBuffer buffer;
      Read(buffer, Bytes(stream.begin(), middle));
      CPPUNIT_ASSERT(!buffer.TakeFrame());
      Read(buffer, Bytes(middle, stream.end()));
      CPPUNIT_ASSERT(buffer.TakeFrame() == Bytes({1, 2, 3}));
      CPPUNIT_ASSERT(!buffer.TakeFrame());
    }
  }

  void FramesSurviveAnyCut() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const std::string label = "seed " + std::to_string(seed);
      std::mt19937_64 random(seed);
      std::vector<Bytes> sent;
      Bytes stream;
      for (std::size_t i = 0; i < kFramesPerSeed; ++i) {
        const std::size_t limit = i % 20 == 0 ? kLargeFrameBytes : 100;
        Bytes frame(random() % limit);
        for (std::uint8_t& byte : frame) {
          byte = static_cast<std::uint8_t>(random());
        }
        Append(stream, frame);
        sent.push_back(std::move(frame));
      }
      FrameBuffer buffer;
      std::vector<Bytes> received;
      std::size_t read = 0;
      while (read < stream.size()) {
        const std::span<std::uint8_t> room = buffer.Room();
        CPPUNIT_ASSERT_MESSAGE(label, !room.empty());
        const std::size_t count =
            std::min({room.size(), stream.size() - read,
                      std::size_t{1} + random() % room.size()});
        std::memcpy(room.data(), stream.data() + read, count);
        buffer.OnRead(count);
        read += count;
        while (auto frame = buffer.TakeFrame()) {
          received.push_back(std::move(*frame));
        }
      }
      CPPUNIT_ASSERT_MESSAGE(label, sent == received);
    }
  }

  // A connection refuses a frame that is too large before it makes room for it.
  void LengthIsKnownBeforeTheFrame() {
    FrameBuffer buffer;
    Read(buffer, {0xff, 0xff, 0xff});
    CPPUNIT_ASSERT(!buffer.NextLength());
    Read(buffer, {0x7f});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0x7fffffff}, *buffer.NextLength());
    CPPUNIT_ASSERT(!buffer.TakeFrame());
  }

  // Guards against a process whose memory stays at the largest frame of each of
  // its connections.
  void RoomShrinksAfterALargeFrame() {
    FrameBuffer buffer;
    const std::size_t usual = buffer.Room().size();
    Bytes stream;
    Append(stream, Bytes(kLargeFrameBytes, 7));
    Read(buffer, stream);
    CPPUNIT_ASSERT_EQUAL(kLargeFrameBytes, buffer.TakeFrame()->size());
    CPPUNIT_ASSERT_EQUAL(usual, buffer.Room().size());
  }

 private:
  static void Append(Bytes& stream, const Bytes& frame) {
    Bytes prefix(kLengthPrefixBytes);
    boost::endian::store_little_u32(prefix.data(),
                                    static_cast<std::uint32_t>(frame.size()));
    stream.insert(stream.end(), prefix.begin(), prefix.end());
    stream.insert(stream.end(), frame.begin(), frame.end());
  }

  // The bytes arrive in as few reads as the room allows.
  static void Read(FrameBuffer& buffer, const Bytes& bytes) {
    std::size_t read = 0;
    while (read < bytes.size()) {
      const std::span<std::uint8_t> room = buffer.Room();
      const std::size_t count = std::min(room.size(), bytes.size() - read);
      std::memcpy(room.data(), bytes.data() + read, count);
      buffer.OnRead(count);
      read += count;
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameBufferTest);

}  // namespace
}  // namespace bronzebarrow::net
