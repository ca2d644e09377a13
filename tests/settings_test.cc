// Settings files: every kind of invalid input has its own typed error, which
// names the file, line, section and key.
#include "bronzebarrow/base/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>

#include "scratch_folder.h"

namespace bronzebarrow {
namespace {

constexpr SettingSpec kSpecs[] = {
    {"node", "name", SettingType::kName, "", 0, 0, "name of the node"},
    {"node", "port", SettingType::kInteger, "80", 1, 100, "a port"},
    {"peers", "*", SettingType::kAddress, "", 0, 0, "peers"},
};

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ReadsValuesAndDefaults);
  CPPUNIT_TEST(RejectsInvalidFiles);
  CPPUNIT_TEST(ErrorNamesFileLineSectionAndKey);
  CPPUNIT_TEST(ErrorNamesTheDuplicateKey);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsValuesAndDefaults() {
    const auto loaded = Load("[node]\nname = a\n[peers]\nb = 127.0.0.1:9\n");
    const auto& settings = std::get<Settings>(loaded);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), settings.Text("node", "name"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{80}, settings.Integer("node", "port"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, settings.Section("peers").size());
  }

  void RejectsInvalidFiles() {
    struct Case {
      const char* m_text;
      ErrorCode m_code;
    };
    const Case cases[] = {
        {"", ErrorCode::kSettingsTruncated},
        {"[node]\nname = a", ErrorCode::kSettingsTruncated},
        {"[node]\nname\n", ErrorCode::kSettingsMalformed},
        {"[node\nname = a\n", ErrorCode::kSettingsMalformed},
        {"[node]\nname = a\nname = b\n", ErrorCode::kSettingsMalformed},
        {"[node]\nname = a\n[node]\nport = 2\n", ErrorCode::kSettingsMalformed},
        {"name = a\n", ErrorCode::kSettingUnknown},
        {"[node]\nname = a\nnmae = b\n", ErrorCode::kSettingUnknown},
        {"[nodes]\nname = a\n", ErrorCode::kSettingUnknown},
        {"[node]\nport = 2\n", ErrorCode::kSettingMissing},
        {"[node]\nname = a\nport = 101\n", ErrorCode::kSettingOutOfRange},
        {"[node]\nname = a\nport = 2x\n", ErrorCode::kSettingOutOfRange},
        {"[node]\nname = a b\n", ErrorCode::kSettingOutOfRange},
        {"[node]\nname = a\n[peers]\nb = host:9\n",
         ErrorCode::kSettingOutOfRange},
    };
    for (const Case& item : cases) {
      const auto loaded = Load(item.m_text);
      const auto* failure = std::get_if<Failure>(&loaded);
      CPPUNIT_ASSERT_MESSAGE(item.m_text, failure != nullptr);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.m_text,
                                   std::string(NameOf(item.m_code)),
                                   std::string(NameOf(failure->m_code)));
    }
  }

  void ErrorNamesFileLineSectionAndKey() {
    const auto loaded = Load("[node]\nname = a\n\nport = 999\n");
    const auto& failure = std::get<Failure>(loaded);
    CPPUNIT_ASSERT(failure.m_context.find("file.ini:4 [node] port") !=
                   std::string::npos);
    CPPUNIT_ASSERT(failure.m_context.find("from 1 to 100") !=
                   std::string::npos);
  }

  void ErrorNamesTheDuplicateKey() {
    const auto loaded = Load("[node]\nname = a\nport = 3\nname = b\n");
    const auto& failure = std::get<Failure>(loaded);
    CPPUNIT_ASSERT_MESSAGE(
        failure.m_context,
        failure.m_context.find("file.ini:4 [node] \"name = b\": duplicate") !=
            std::string::npos);
  }

 private:
  std::variant<Settings, Failure> Load(const std::string& text) {
    const std::string path = m_scratch.path() + "/file.ini";
    std::ofstream(path) << text;
    return Capture<Settings>([&] { return Settings::Load(path, kSpecs); });
  }

  ScratchFolder m_scratch;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace bronzebarrow
