// Tests of LogStore on a disk that loses its power.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <variant>

#include "bronzebarrow/consensus/log_store.h"
#include "faulty_disk.h"
#include "scratch_folder.h"

namespace bronzebarrow::consensus {
namespace {

using StorePtr = std::unique_ptr<LogStore>;

constexpr int kSeeds = 40;
constexpr int kMaxAttempts = 40;

class PowerLossTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PowerLossTest);
  CPPUNIT_TEST(KeepsNameOfNewFolder);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a loss of power that takes the folder with all its files.
  void KeepsNameOfNewFolder() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const ScratchFolder scratch;
      const std::string folder = scratch.path() + "/data";
      FaultyDisk disk(folder, seed);
      CPPUNIT_ASSERT(LogStore::Initialize(folder, "a", Membership()));
      disk.LosePower();
      Open(folder);
    }
  }

 private:
  static StorePtr Open(const std::string& folder) {
    for (int attempt = 0;; ++attempt) {
      auto opened =
          Capture<StorePtr>([&] { return LogStore::Open(folder, "a"); });
      const auto* const failure = std::get_if<Failure>(&opened);
      if (failure == nullptr) {
        StorePtr store = std::move(std::get<StorePtr>(opened));
        CPPUNIT_ASSERT_MESSAGE("the folder was empty",
                               !store->recovered().m_is_new);
        return store;
      }
      const bool may_succeed_later =
          failure->m_code == ErrorCode::kDiskWriteFailed ||
          failure->m_code == ErrorCode::kDataFolderUnusable;
      CPPUNIT_ASSERT_MESSAGE(Describe(*failure),
                             may_succeed_later && attempt < kMaxAttempts);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PowerLossTest);

}  // namespace
}  // namespace bronzebarrow::consensus
