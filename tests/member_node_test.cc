// Tests of MemberNode: which data folders a member keeps and which it discards.
#include "bronzebarrow/node/member_node.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <thread>

#include "scratch_folder.h"

namespace bronzebarrow::node {
namespace {

using NodePtr = std::shared_ptr<MemberNode>;
using Outcome = std::variant<NodePtr, Failure>;
using StorePtr = std::unique_ptr<consensus::LogStore>;

constexpr const char* kName = "a:1";
constexpr std::uint64_t kInitialGeneration =
    consensus::LogStore::kInitialGeneration;

class MemberNodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberNodeTest);
  CPPUNIT_TEST(WaitsForFolderThatIsInUse);
  CPPUNIT_TEST(WaitsForFolderThatCannotBeRead);
  CPPUNIT_TEST(KeepsFolderOfAnotherMember);
  CPPUNIT_TEST(RejoinsWithoutDamagedFolder);
  CPPUNIT_TEST(RepeatsInterruptedFirstStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_scratch = std::make_unique<ScratchFolder>(); }
  void tearDown() override { m_scratch.reset(); }

  // Guards against a restart that deletes the files of a process that has not
  // ended yet.
  void WaitsForFolderThatIsInUse() {
    InitializeFolder(kName);
    StorePtr held = OpenStore();
    AssertKept(OpenWhile([&] { held.reset(); }));
  }

  // Guards against intact data that is discarded after an error of the disk.
  // Reading a folder as a file fails.
  void WaitsForFolderThatCannotBeRead() {
    InitializeFolder(kName);
    const std::string unreadable = Folder() + "/log-00000000000000000002";
    std::filesystem::create_directory(unreadable);
    AssertKept(OpenWhile([&] { std::filesystem::remove(unreadable); }));
  }

  // Guards against the data of one member that another one discards.
  void KeepsFolderOfAnotherMember() {
    InitializeFolder("b:1");
    const Outcome opened = Open(false);
    const auto* const failure = std::get_if<Failure>(&opened);
    CPPUNIT_ASSERT(failure != nullptr);
    CPPUNIT_ASSERT(failure->m_code == ErrorCode::kDataFolderForeign);
    CPPUNIT_ASSERT(std::filesystem::exists(Folder() + "/identity"));
  }

  void RejoinsWithoutDamagedFolder() {
    InitializeFolder(kName);
    std::ofstream(Folder() + "/log-00000000000000000001") << "damaged";
    CPPUNIT_ASSERT(GenerationOf(Open(false)) != kInitialGeneration);
  }

  // The identity is written last.
  void RepeatsInterruptedFirstStart() {
    for (const bool is_first_start : {true, false}) {
      InitializeFolder(kName);
      std::filesystem::remove(Folder() + "/identity");
      CPPUNIT_ASSERT_EQUAL(is_first_start, GenerationOf(Open(is_first_start)) ==
                                               kInitialGeneration);
      std::filesystem::remove_all(Folder());
    }
  }

 private:
  void InitializeFolder(const std::string& name) {
    CPPUNIT_ASSERT(consensus::LogStore::Initialize(
        Folder(), name, consensus::Membership({{{name, 1}, true}})));
  }

  StorePtr OpenStore() {
    auto opened = Capture<StorePtr>(
        [&] { return consensus::LogStore::Open(Folder(), kName); });
    return std::move(std::get<StorePtr>(opened));
  }

  Outcome Open(bool is_first_start) {
    MemberSettings settings;
    settings.m_name = kName;
    settings.m_seeds = {kName};
    settings.m_data_folder = Folder();
    settings.m_is_first_start = is_first_start;
    return Capture<NodePtr>([&] {
      return MemberNode::Open(m_io.get_executor(), settings, nullptr);
    });
  }

  /** Opens the folder while `obstacle_removal` is carried out after a while. */
  Outcome OpenWhile(const std::function<void()>& obstacle_removal) {
    constexpr auto kPause = std::chrono::milliseconds(250);
    auto outcome =
        std::async(std::launch::async, [this] { return Open(false); });
    std::this_thread::sleep_for(kPause);
    obstacle_removal();
    return outcome.get();
  }

  static std::uint64_t GenerationOf(const Outcome& opened) {
    if (const auto* const failure = std::get_if<Failure>(&opened)) {
      CPPUNIT_FAIL(Describe(*failure));
    }
    return std::get<NodePtr>(opened)->core().replica().id().m_generation;
  }

  static void AssertKept(const Outcome& opened) {
    CPPUNIT_ASSERT_EQUAL(kInitialGeneration, GenerationOf(opened));
  }

  std::string Folder() const { return m_scratch->path() + "/data"; }

  std::unique_ptr<ScratchFolder> m_scratch;
  boost::asio::io_context m_io;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberNodeTest);

}  // namespace
}  // namespace bronzebarrow::node
