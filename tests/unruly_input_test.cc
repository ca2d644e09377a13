// A seeded generator of unruly input over the request parser and the JSON
// documents. It checks how many bytes are held for a byte that was sent, with
// an allocator that counts. UNRULY_INPUT_SEEDS sets the number of seeds for a
// long run by hand.
#include <cppunit/extensions/HelperMacros.h>
#include <malloc.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <new>
#include <optional>
#include <random>
#include <string>
#include <type_traits>
#include <vector>

#include "bronzebarrow/jobs.h"
#include "documents.h"
#include "net/request_parser.h"

namespace {

std::size_t live_bytes = 0;
std::size_t peak_bytes = 0;

}  // namespace

void* operator new(std::size_t size) {
  void* const block = std::malloc(size);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  live_bytes += malloc_usable_size(block);
  peak_bytes = std::max(peak_bytes, live_bytes);
  return block;
}
void operator delete(void* block) noexcept {
  live_bytes -= block == nullptr ? 0 : malloc_usable_size(block);
  std::free(block);
}
void operator delete(void* block, std::size_t) noexcept {
  operator delete(block);
}

namespace bronzebarrow::platform {
namespace {

constexpr std::uint64_t kDefaultSeeds = 300;
// The pages' limits on a head and a body.
constexpr std::size_t kHeadBytes = 16 * 1024;
constexpr std::size_t kBodyBytes = 256 * 1024;
constexpr std::uint64_t kNowMs = 1'700'000'000'000;

/** Bytes that may be held: so many for each byte sent, and a constant. */
struct Bound {
  std::size_t m_factor;
  std::size_t m_constant;
  std::size_t For(std::size_t sent) const {
    return m_factor * sent + m_constant;
  }
};
// While a body is parsed, which one request does at a time; a value of two
// bytes takes 16, and is moved to a larger array as they become more.
constexpr Bound kPeakOfBody = {32, 1 << 20};
// What stays until the reply: at most 1,000 steps, and their dependencies.
constexpr Bound kHeldOfBody = {4, 512 << 10};
constexpr Bound kHeldOfHead = {4, 64 << 10};

/** Names of a document's fields, and of items inside of its arrays. */
const std::vector<std::string> field_names = {
    "spec", "steps", "depends_on", "labels",  "routes",   "services",
    "name", "count", "machines",   "tenants", "capacity", "x"};

/** Draws texts in which one pattern repeats until they are as long as allowed.
 */
class Generator {
 public:
  explicit Generator(std::uint64_t seed) : m_random(seed) {}

  std::string Head() {
    std::string text = "POST /q/1 HTTP/1.1\r\n";
    const std::string line = Draw({"a:\r\n", "a: b\r\n", ":\r\n", "X-" + Word(),
                                   Word() + ": " + Word() + "\r\n", "\r\n",
                                   "Host: h\r\n", " folded\r\n"});
    Fill(text, line, kHeadBytes - 4);
    return text + "\r\n\r\n";
  }

  std::string Body() { return m_random() % 2 == 0 ? Array() : Garbage(); }

 private:
  // A well-formed document with one long array.
  std::string Array() {
    const std::string item =
        Draw({"{}", "[]", "0", "\"\"", "null", "{\"count\":1}", "[[]]",
              "{\"a\":{}}", "\"" + Word() + "\""});
    std::string text = "{\"" + Name() + "\":[";
    Fill(text, item + ",", kBodyBytes - 64);
    return text + item + "]}";
  }

  std::string Garbage() {
    const std::string item = Item(0);
    std::string text = Draw({"{\"", "[\""});
    text = text[0] == '[' ? "[" : "{\"" + Name() + "\":" + Draw({"[", "{"});
    Fill(text, item + Draw({",", ", ", " "}), kBodyBytes - 16);
    text += item;
    for (std::size_t i = m_random() % 3; i > 0; --i) {
      text += Draw({"]", "}", ",\"steps\":[]", "\"", ",1"});
    }
    return text + "]}";
  }

  std::string Draw(const std::vector<std::string>& choices) {
    return choices[m_random() % choices.size()];
  }
  std::string Name() { return Draw(field_names); }
  std::string Word() { return std::string(1 + m_random() % 40, 'w'); }

  std::string Item(int depth) {
    const std::string leaf =
        Draw({"{}", "[]", "0", "\"\"", "null", "1e9", "{\"a\":1}", "[",
              "\"" + Word() + "\"", "{\"count\":1}", "-1", "\\u0000"});
    return depth > 2 || m_random() % 3 != 0
               ? leaf
               : Draw({"{\"" + Name() + "\":" + Item(depth + 1) + "}",
                       "[" + Item(depth + 1) + "]",
                       "\"" + Name() + "\":" + Item(depth + 1)});
  }

  void Fill(std::string& text, const std::string& piece, std::size_t size) {
    const std::size_t wanted = m_random() % 4 == 0 ? m_random() % size : size;
    while (text.size() + piece.size() <= wanted) {
      text += piece;
    }
  }

  std::mt19937_64 m_random;
};

class UnrulyInputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnrulyInputTest);
  CPPUNIT_TEST(HeadsHoldFewBytesForEachSent);
  CPPUNIT_TEST(BodiesHoldFewBytesForEachSent);
  CPPUNIT_TEST(EstimatesOfJobsCoverWhatTheyHold);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field that takes twenty times its bytes.
  void HeadsHoldFewBytesForEachSent() {
    for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
      const std::string head = Generator(seed).Head();
      const std::size_t before = live_bytes;
      net::RequestParser parser;
      parser.header_limit(kHeadBytes);
      parser.eager(true);
      boost::beast::error_code error;
      parser.put(boost::asio::buffer(head), error);
      Check("head", seed, live_bytes - before, kHeldOfHead, head);
    }
  }

  // Guards against values that take many times their bytes.
  void BodiesHoldFewBytesForEachSent() {
    for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
      const std::string body = Generator(seed).Body();
      CheckReader("job", seed, body, [&] { return ReadJob("1", body); });
      CheckReader("configuration", seed, body,
                  [&] { return ReadConfig(body); });
      CheckReader("heartbeat", seed, body,
                  [&] { return ReadHeartbeat("1", body, kNowMs); });
      CheckReader("wave", seed, body, [&] { return ReadWave(body, kNowMs); });
    }
  }

  // Guards against memory that is held and not counted. The job is allowed, so
  // that no limit hides what its parts take.
  void EstimatesOfJobsCoverWhatTheyHold() {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      std::mt19937_64 random(seed);
      std::string body = R"({"spec":")" + std::string(random() % 4000, 's') +
                         R"(","steps":[{"count":1})";
      const std::size_t steps = 1 + random() % 999;
      const std::size_t dependencies = random() % 100;
      const std::string label(random() % 100, 'l');
      for (std::size_t i = 0; i < steps && body.size() < kBodyBytes; ++i) {
        body += R"(,{"count":2,"required_label":")" + label +
                R"(","depends_on":[0)";
        for (std::size_t j = 0; j < dependencies; ++j) {
          body += ",0";
        }
        body += "]}";
      }
      body += "]}";
      const std::size_t before = live_bytes;
      const auto job =
          Capture<wire::JobSpecT>([&] { return ReadJob("1", body); });
      const std::size_t held = live_bytes - before;
      CPPUNIT_ASSERT(std::holds_alternative<wire::JobSpecT>(job));
      const auto& spec = std::get<wire::JobSpecT>(job);
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": held " +
                                 std::to_string(held) + ", estimated " +
                                 std::to_string(jobs::SpecBytes(spec)),
                             held <= jobs::SpecBytes(spec));
    }
  }

  // The slopes of docs/CAPACITY.md.
  void tearDown() override {
    for (const auto& [what, worst] : m_worst) {
      std::cout << "\n"
                << what << ": at most " << worst.m_held << " bytes, for "
                << worst.m_sent << " sent";
    }
    std::cout << std::endl;
  }

 private:
  struct Worst {
    std::size_t m_held = 0;
    std::size_t m_sent = 0;
  };

  static std::uint64_t Seeds() {
    const char* const seeds = std::getenv("UNRULY_INPUT_SEEDS");
    return seeds == nullptr ? kDefaultSeeds : std::strtoull(seeds, nullptr, 10);
  }

  void Check(const std::string& what, std::uint64_t seed, std::size_t held,
             const Bound& bound, const std::string& text) {
    if (held > m_worst[what].m_held) {
      m_worst[what] = {held, text.size()};
    }
    CPPUNIT_ASSERT_MESSAGE(what + ", seed " + std::to_string(seed) + ": " +
                               std::to_string(held) + " bytes for " +
                               std::to_string(text.size()) + ", which begin " +
                               text.substr(0, 80),
                           held <= bound.For(text.size()));
  }

  template <typename Reader>
  void CheckReader(const std::string& what, std::uint64_t seed,
                   const std::string& body, Reader read) {
    using Value = std::decay_t<decltype(read().value())>;
    const std::size_t before = live_bytes;
    peak_bytes = live_bytes;
    const auto outcome = Capture<Value>(read);
    Check("peak of a " + what, seed, peak_bytes - before, kPeakOfBody, body);
    Check(what, seed, live_bytes - before, kHeldOfBody, body);
  }

  std::map<std::string, Worst> m_worst;  // By what was read.
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnrulyInputTest);

}  // namespace
}  // namespace bronzebarrow::platform
