// Tests of LogStore: recovery, torn and damaged logs, foreign folders.
#include "bronzebarrow/consensus/log_store.h"

#include <cppunit/extensions/HelperMacros.h>
#include <dirent.h>
#include <dlfcn.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <set>

#include "scratch_folder.h"

namespace {

// Whether the wall clock of this process shows the same time at every call.
bool g_wall_clock_stopped = false;
bool g_listing_fails = false;

}  // namespace

// The functions below replace those of the C library for this test program.

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  if (clock == CLOCK_REALTIME && g_wall_clock_stopped) {
    *time = {1'000'000, 0};
    return 0;
  }
  return static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
}

extern "C" dirent* readdir(DIR* folder) {
  if (g_listing_fails) {
    errno = EIO;
    return nullptr;
  }
  using Function = dirent* (*)(DIR*);
  static const auto original =
      reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "readdir"));
  return original(folder);
}

namespace bronzebarrow::consensus {
namespace {

using StorePtr = std::unique_ptr<LogStore>;

class LogStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogStoreTest);
  CPPUNIT_TEST(RecoversWrittenBatches);
  CPPUNIT_TEST(EmptyFolderBecomesNewGeneration);
  CPPUNIT_TEST(RefusesToInitializeTwice);
  CPPUNIT_TEST(RefusesForeignFolder);
  CPPUNIT_TEST(RefusesFolderInUse);
  CPPUNIT_TEST(TruncatesTornTail);
  CPPUNIT_TEST(RefusesLogDamagedBeforeTail);
  CPPUNIT_TEST(ReplacesLogOnSnapshot);
  CPPUNIT_TEST(RefusesDamagedSnapshot);
  CPPUNIT_TEST(StoresBatchOnceAFullDiskHasSpace);
  CPPUNIT_TEST(StoresSnapshotOnceAFullDiskHasSpace);
  CPPUNIT_TEST(OpensWithoutWritingToAFullDisk);
  CPPUNIT_TEST(IgnoresSnapshotThatContradictsTheLog);
  CPPUNIT_TEST(GenerationsNeverRepeat);
  CPPUNIT_TEST(UnreadableLogIsNotATornLog);
  CPPUNIT_TEST(UnlistedFolderIsNotAnEmptyFolder);
  CPPUNIT_TEST(FailedWritesFreeTheirSpace);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_scratch = std::make_unique<ScratchFolder>(); }
  void tearDown() override { m_scratch.reset(); }

  void RecoversWrittenBatches() {
    InitializeFolder();
    {
      StorePtr store = Open();
      Write(*store, 1, 3);
      Write(*store, 4, 2);
    }
    StorePtr store = Open();
    const DurableState& state = store->recovered().m_state;
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, state.m_entries.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, state.m_hard_state.term);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         store->recovered().m_id.m_generation);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, state.m_base_membership.VoterCount());
  }

  void EmptyFolderBecomesNewGeneration() {
    StorePtr store = Open();
    CPPUNIT_ASSERT(store->recovered().m_is_new);
    CPPUNIT_ASSERT(store->recovered().m_id.m_generation > 1);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{0},
        store->recovered().m_state.m_base_membership.VoterCount());
  }

  void RefusesToInitializeTwice() {
    InitializeFolder();
    const auto second_result = Capture<bool>([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(LogStore::Initialize(Folder(), "a", InitialMembers()));
      return true;
    });
    AssertFailure(ErrorCode::kDataFolderNotEmpty, second_result);
  }

  void RefusesForeignFolder() {
    InitializeFolder();
    AssertFailure(ErrorCode::kDataFolderForeign, TryOpen("b"));
    std::filesystem::remove(Folder() + "/identity");
    AssertFailure(ErrorCode::kDataFolderForeign, TryOpen("a"));
  }

  void RefusesFolderInUse() {
    InitializeFolder();
    StorePtr store = Open();
    AssertFailure(ErrorCode::kDataFolderInUse, TryOpen("a"));
  }

  void TruncatesTornTail() {
    InitializeFolder();
    std::uint64_t first_batch_end = 0;
    {
      StorePtr store = Open();
      Write(*store, 1, 3);
      first_batch_end = store->log_bytes();
      Write(*store, 4, 2);
    }
    std::filesystem::resize_file(LogPath(), first_batch_end + 21);
    StorePtr store = Open();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{21}, store->recovered().m_cut_bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         store->recovered().m_state.m_entries.size());
    Write(*store, 4, 1);
    store.reset();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                         Open()->recovered().m_state.m_entries.size());
  }

  void RefusesLogDamagedBeforeTail() {
    InitializeFolder();
    std::uint64_t first_batch_end = 0;
    {
      StorePtr store = Open();
      Write(*store, 1, 3);
      first_batch_end = store->log_bytes();
      Write(*store, 4, 2);
    }
    for (const std::uint64_t offset :
         {first_batch_end - 5, first_batch_end - 60, std::uint64_t{3}}) {
      FlipByte(LogPath(), offset);
      AssertFailure(ErrorCode::kLogDamaged, TryOpen("a"));
      FlipByte(LogPath(), offset);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{5},
                         Open()->recovered().m_state.m_entries.size());
  }

  void ReplacesLogOnSnapshot() {
    InitializeFolder();
    {
      StorePtr store = Open();
      Write(*store, 1, 5);
      store->Write(SnapshotBatch());
      Write(*store, 7, 1);
    }
    StorePtr store = Open();
    const DurableState& state = store->recovered().m_state;
    CPPUNIT_ASSERT(state.m_snapshot != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, state.m_snapshot->last_index);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, state.m_base_index);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, state.m_entries.size());
  }

  void RefusesDamagedSnapshot() {
    InitializeFolder();
    {
      StorePtr store = Open();
      Write(*store, 1, 5);
      store->Write(SnapshotBatch());
    }
    FlipByte(PathWithPrefix("snapshot-"), 40);
    AssertFailure(ErrorCode::kLogDamaged, TryOpen("a"));
  }

  // Guards against a member that ends itself, or loses entries, because its
  // disk was full for a while. The write fails after a part of the record.
  void StoresBatchOnceAFullDiskHasSpace() {
    InitializeFolder();
    {
      StorePtr store = Open();
      Write(*store, 1, 3);
      {
        const FullDisk full(store->log_bytes() + 20);
        CPPUNIT_ASSERT(!TryWrite(*store, 4, 5));
        CPPUNIT_ASSERT(!TryWrite(*store, 4, 5));
      }
      CPPUNIT_ASSERT(TryWrite(*store, 4, 5));
      Write(*store, 9, 1);
    }
    const StorePtr store = Open();
    CPPUNIT_ASSERT_EQUAL(std::size_t{9},
                         store->recovered().m_state.m_entries.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, store->recovered().m_cut_bytes);
  }

  void StoresSnapshotOnceAFullDiskHasSpace() {
    InitializeFolder();
    {
      StorePtr store = Open();
      Write(*store, 1, 5);
      for (const std::uint64_t space : {0, 50, 200, 300}) {
        const FullDisk full(space);
        CPPUNIT_ASSERT(
            !Captured([&] { return store->Write(SnapshotBatch()); }));
      }
      CPPUNIT_ASSERT(Captured([&] { return store->Write(SnapshotBatch()); }));
      Write(*store, 7, 1);
    }
    const StorePtr store = Open();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4},
                         store->recovered().m_state.m_base_index);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         store->recovered().m_state.m_entries.size());
  }

  // Guards against a restart on a full disk that treats the folder as lost.
  void OpensWithoutWritingToAFullDisk() {
    InitializeFolder();
    {
      StorePtr store = Open();
      Write(*store, 1, 3);
    }
    const FullDisk full(0);
    const StorePtr store = Open();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         store->recovered().m_state.m_entries.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         store->recovered().m_id.m_generation);
  }

  // Guards against a restart, between the snapshot and the log of a batch, that
  // treats entries of another leader as committed.
  void IgnoresSnapshotThatContradictsTheLog() {
    InitializeFolder();
    {
      StorePtr store = Open();
      Write(*store, 1, 6);
      DurableBatchOut batch = SnapshotBatch();
      auto of_later_term =
          std::make_shared<wire::SnapshotFileT>(*batch.m_snapshot);
      of_later_term->last_term = 8;
      batch.m_snapshot = of_later_term;
      const std::string log = LogPath();
      std::filesystem::copy_file(log, Folder() + "/kept");
      CPPUNIT_ASSERT(store->Write(batch));
      std::filesystem::remove(LogPath());
      std::filesystem::rename(Folder() + "/kept", log);
    }
    const StorePtr store = Open();
    const DurableState& state = store->recovered().m_state;
    CPPUNIT_ASSERT(state.m_snapshot == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, state.m_entries.size());
  }

  // Guards against a lost disk whose votes the next generation contradicts,
  // because the wall clock was stepped back in between.
  void GenerationsNeverRepeat() {
    constexpr int kLosses = 50;
    const StoppedWallClock stopped;
    std::set<std::uint64_t> generations = {0, 1};
    for (int i = 0; i < kLosses; ++i) {
      generations.insert(Open()->recovered().m_id.m_generation);
      std::filesystem::remove_all(Folder());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kLosses + 2}, generations.size());
  }

  // Guards against a read error that is taken for the end of the log. Reading
  // a folder as a file fails.
  void UnreadableLogIsNotATornLog() {
    InitializeFolder();
    std::filesystem::create_directory(Folder() + "/log-00000000000000000002");
    AssertFailure(ErrorCode::kDataFolderUnusable, TryOpen("a"));
  }

  // Guards against fresh files over intact ones that could not be listed.
  void UnlistedFolderIsNotAnEmptyFolder() {
    InitializeFolder();
    Write(*Open(), 1, 3);
    g_listing_fails = true;
    const auto opened = TryOpen("a");
    g_listing_fails = false;
    AssertFailure(ErrorCode::kDataFolderUnusable, opened);
    const StorePtr store = Open();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         store->recovered().m_id.m_generation);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         store->recovered().m_state.m_entries.size());
  }

  // Guards against a full disk that repeated attempts fill up further.
  void FailedWritesFreeTheirSpace() {
    InitializeFolder();
    const StorePtr store = Open();
    Write(*store, 1, 5);
    for (const std::uint64_t space : {50, 300, 300}) {
      const FullDisk full(space);
      CPPUNIT_ASSERT(!Captured([&] { return store->Write(SnapshotBatch()); }));
    }
    for (const auto& item : std::filesystem::directory_iterator(Folder())) {
      CPPUNIT_ASSERT_MESSAGE(item.path(), item.path().extension() != ".tmp");
    }
  }

 private:
  /** Lets files grow to `bytes` only, like a disk without space. */
  class FullDisk {
   public:
    explicit FullDisk(std::uint64_t bytes) {
      std::signal(SIGXFSZ, SIG_IGN);
      ::getrlimit(RLIMIT_FSIZE, &m_before);
      rlimit full = m_before;
      full.rlim_cur = bytes;
      ::setrlimit(RLIMIT_FSIZE, &full);
    }
    FullDisk(const FullDisk&) = delete;
    FullDisk& operator=(const FullDisk&) = delete;
    ~FullDisk() { ::setrlimit(RLIMIT_FSIZE, &m_before); }

   private:
    rlimit m_before{};
  };

  class StoppedWallClock {
   public:
    StoppedWallClock() { g_wall_clock_stopped = true; }
    StoppedWallClock(const StoppedWallClock&) = delete;
    StoppedWallClock& operator=(const StoppedWallClock&) = delete;
    ~StoppedWallClock() { g_wall_clock_stopped = false; }
  };

  /** @return whether the operation succeeded. */
  template <typename Operation>
  static bool Captured(Operation operation) {
    const auto done = Capture<bool>([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(operation());
      return true;
    });
    return std::holds_alternative<bool>(done);
  }
  static bool TryWrite(LogStore& store, std::uint64_t first, int count) {
    return Captured([&] { return store.Write(MakeBatch(first, count)); });
  }

  static Membership InitialMembers() {
    return Membership({{{"a", 1}, true}, {{"b", 1}, true}, {{"c", 1}, true}});
  }

  static std::unique_ptr<wire::LogEntryT> Entry(std::uint64_t index) {
    auto entry = std::make_unique<wire::LogEntryT>();
    entry->index = index;
    entry->term = 7;
    entry->payload = {1, 2, 3};
    return entry;
  }

  static DurableBatchOut MakeBatch(std::uint64_t first, int count) {
    DurableBatchOut out;
    out.m_batch.hard_state = std::make_unique<wire::HardStateT>();
    out.m_batch.hard_state->term = 7;
    for (int i = 0; i < count; ++i) {
      out.m_batch.entries.push_back(
          Entry(first + static_cast<std::uint64_t>(i)));
    }
    return out;
  }
  static void Write(LogStore& store, std::uint64_t first, int count) {
    CPPUNIT_ASSERT(store.Write(MakeBatch(first, count)));
  }

  // A snapshot up to index 5; the log keeps entries 5 and 6 after base 4.
  static DurableBatchOut SnapshotBatch() {
    auto snapshot = std::make_shared<wire::SnapshotFileT>();
    snapshot->last_index = 5;
    snapshot->last_term = 7;
    snapshot->membership =
        std::make_unique<wire::MembershipT>(InitialMembers().ToWire());
    snapshot->data = std::vector<std::uint8_t>(100, 9);
    DurableBatchOut out;
    out.m_snapshot = snapshot;
    out.m_batch.base_index = 4;
    out.m_batch.base_term = 7;
    out.m_batch.base_membership =
        std::make_unique<wire::MembershipT>(InitialMembers().ToWire());
    out.m_batch.hard_state = std::make_unique<wire::HardStateT>();
    out.m_batch.entries.push_back(Entry(5));
    out.m_batch.entries.push_back(Entry(6));
    return out;
  }

  void InitializeFolder() {
    CPPUNIT_ASSERT(LogStore::Initialize(Folder(), "a", InitialMembers()));
  }

  std::variant<StorePtr, Failure> TryOpen(const std::string& name) {
    return Capture<StorePtr>([&] { return LogStore::Open(Folder(), name); });
  }

  StorePtr Open() {
    auto opened = TryOpen("a");
    if (const auto* failure = std::get_if<Failure>(&opened)) {
      CPPUNIT_FAIL(Describe(*failure));
    }
    return std::move(std::get<StorePtr>(opened));
  }

  template <typename T>
  static void AssertFailure(ErrorCode code,
                            const std::variant<T, Failure>& outcome) {
    const auto* failure = std::get_if<Failure>(&outcome);
    CPPUNIT_ASSERT(failure != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string(NameOf(code)),
                         std::string(NameOf(failure->m_code)));
  }

  static void FlipByte(const std::string& path, std::uint64_t offset) {
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    const char byte = static_cast<char>(file.get());
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(static_cast<char>(byte ^ 0x10));
  }

  std::string PathWithPrefix(const std::string& prefix) const {
    for (const auto& item : std::filesystem::directory_iterator(Folder())) {
      if (item.path().filename().string().starts_with(prefix)) {
        return item.path().string();
      }
    }
    return "";
  }

  std::string LogPath() const { return PathWithPrefix("log-"); }
  std::string Folder() const { return m_scratch->path() + "/data"; }

  std::unique_ptr<ScratchFolder> m_scratch;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStoreTest);

}  // namespace
}  // namespace bronzebarrow::consensus
