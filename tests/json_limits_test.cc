// Tests the structure limits of JSON documents.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "bronzebarrow/limits.h"

namespace bronzebarrow::limits {
namespace {

std::string Repeated(const std::string& piece, std::size_t count) {
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    text += piece;
  }
  return text;
}

// The limit that the text exceeds; empty if it is within all of them.
std::string Excess(const std::string& text, const JsonLimits& limits) {
  const auto outcome = Capture<int>([&]() -> Result<int> {
    BOOST_LEAF_CHECK(CheckJsonLimits(text, limits));
    return 0;
  });
  const auto* const failure = std::get_if<Failure>(&outcome);
  return failure == nullptr ? "" : failure->m_context;
}

class JsonLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonLimitsTest);
  CPPUNIT_TEST(ItemsOfAFieldAreCounted);
  CPPUNIT_TEST(InnerArraysOfThatNameAreNot);
  CPPUNIT_TEST(EscapedNameIsTheSameField);
  CPPUNIT_TEST(ValuesAndDepthAreLimited);
  CPPUNIT_TEST(MalformedTextIsLeftToItsParser);
  CPPUNIT_TEST(PartsOfTheMemoryLeaveRoomForTheProgram);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ItemsOfAFieldAreCounted() {
    const auto document = [](std::size_t count) {
      return R"({"spec":"s","steps":[{"depends_on":[1,2,3]})" +
             Repeated(",{}", count - 1) + R"(],"times":3})";
    };
    CPPUNIT_ASSERT_EQUAL(std::string(), Excess(document(5), m_limits));
    CPPUNIT_ASSERT_EQUAL(std::string("more than 5 items in steps"),
                         Excess(document(6), m_limits));
  }

  // Guards against a limit that also counts fields of the same name in steps.
  void InnerArraysOfThatNameAreNot() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        Excess(R"({"x":{"steps":[1,2,3,4,5,6,7]},"y":[1,2,3,4,5,6]})",
               m_limits));
  }

  // Guards against a limit that a client evades with an escape sequence, or by
  // naming the field twice.
  void EscapedNameIsTheSameField() {
    CPPUNIT_ASSERT(
        !Excess(R"({"st\u0065ps":[1,2,3,4,5,6]})", m_limits).empty());
    CPPUNIT_ASSERT(
        !Excess(R"({"steps":[],"steps":[1,2,3,4,5,6]})", m_limits).empty());
  }

  void ValuesAndDepthAreLimited() {
    CPPUNIT_ASSERT_EQUAL(std::string("more than 32 levels"),
                         Excess(std::string(100'000, '['), m_limits));
    JsonLimits few;
    few.m_max_values = 10;
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Excess("[" + Repeated("0,", 8) + "0]", few));
    CPPUNIT_ASSERT_EQUAL(std::string("more than 10 values"),
                         Excess("[" + Repeated("0,", 9) + "0]", few));
  }

  void MalformedTextIsLeftToItsParser() {
    for (const char* text : {"", "{", "}", "{\"steps\":[1,", "\xff", "nul"}) {
      CPPUNIT_ASSERT_EQUAL(std::string(), Excess(text, m_limits));
    }
  }

  // Guards against parts that together are the whole machine.
  void PartsOfTheMemoryLeaveRoomForTheProgram() {
    for (const auto role : {MemoryRole::kEntry, MemoryRole::kMember}) {
      for (const std::size_t memory : {48, 160, 256, 640}) {
        const std::size_t bytes = memory << 20;
        const MemoryPlan plan = PlanMemory(role, bytes);
        CPPUNIT_ASSERT(plan.m_requests + plan.m_request_sockets +
                           plan.m_frame_sockets + plan.m_frames +
                           plan.m_unsent_calls + plan.m_jobs <=
                       bytes * 7 / 8);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{640},
                         ConnectionsWithin(std::size_t{20} << 20, 16 << 10));
  }

 private:
  const JsonLimits m_limits = {kMaxJsonDepth, kMaxJsonValues, {{"steps", 5}}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonLimitsTest);

}  // namespace
}  // namespace bronzebarrow::limits
