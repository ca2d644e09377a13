// Tests of LogStore on a disk that rejects operations, with crashes and losses
// of power: what was stored is recovered, and the folder is never refused.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <variant>

#include "bronzebarrow/consensus/log_store.h"
#include "fake_group.h"
#include "faulty_disk.h"
#include "scratch_folder.h"

namespace bronzebarrow::consensus {
namespace {

using StorePtr = std::unique_ptr<LogStore>;

constexpr int kSeeds = 40;
constexpr int kCrashesPerSeed = 12;
constexpr int kMaxBatchesPerLife = 8;
constexpr int kMaxAttempts = 40;

/** A replica's batches, and what the disk must hold of them. */
class Writer {
 public:
  explicit Writer(std::uint64_t seed) : m_random(seed) {}

  std::uint64_t Below(std::uint64_t limit) { return m_random() % limit; }

  DurableBatchOut MakeBatch() {
    DurableBatchOut out;
    const DurableState& state = m_stored.m_state;
    out.m_batch.hard_state = std::make_unique<wire::HardStateT>();
    out.m_batch.hard_state->term = state.m_hard_state.term + Below(2);
    std::uint64_t last = state.m_base_index + state.m_entries.size();
    if (!state.m_entries.empty() && Below(4) == 0) {
      AddSnapshot(out);
    } else if (!state.m_entries.empty() && Below(5) == 0) {
      last = std::max(Floor(), last - std::min(last, Below(3)));
      out.m_batch.truncate_from = last + 1;
    }
    const std::uint64_t count = Below(4);
    for (std::uint64_t i = 0; i < count; ++i) {
      auto entry = std::make_unique<wire::LogEntryT>();
      entry->index = ++last;
      entry->term = out.m_batch.hard_state->term;
      entry->payload.assign(Below(9000), static_cast<std::uint8_t>(Below(256)));
      out.m_batch.entries.push_back(std::move(entry));
    }
    return out;
  }

  void OnStored(const DurableBatchOut& batch) { m_stored.Sync(batch); }

  /** Adopts the recovered state if it has what was stored. */
  void CheckRecovered(const DurableState& recovered,
                      const DurableBatchOut& unanswered) {
    FakeDisk with_unanswered = m_stored;
    with_unanswered.Sync(unanswered);
    const bool is_stored = IsEqual(recovered, m_stored.m_state);
    CPPUNIT_ASSERT(is_stored || IsEqual(recovered, with_unanswered.m_state));
    const std::uint64_t snapshot =
        recovered.m_snapshot ? recovered.m_snapshot->last_index : 0;
    CPPUNIT_ASSERT(snapshot >= Floor());
    if (!is_stored) {
      m_stored = with_unanswered;
    }
    m_stored.m_state.m_snapshot = recovered.m_snapshot;
  }

 private:
  /** Index up to which the log must not be truncated. */
  std::uint64_t Floor() const {
    const DurableState& state = m_stored.m_state;
    return state.m_snapshot ? state.m_snapshot->last_index : state.m_base_index;
  }

  void AddSnapshot(DurableBatchOut& out) {
    const DurableState& state = m_stored.m_state;
    const std::uint64_t last = state.m_base_index + state.m_entries.size();
    const std::uint64_t index = Floor() + Below(last - Floor() + 1);
    if (index == state.m_base_index) {
      return;
    }
    auto snapshot = std::make_shared<wire::SnapshotFileT>();
    snapshot->last_index = index;
    snapshot->last_term = state.m_entries[index - state.m_base_index - 1].term;
    snapshot->membership =
        std::make_unique<wire::MembershipT>(Membership().ToWire());
    snapshot->data.assign(Below(9000), 7);
    out.m_snapshot = snapshot;
    const std::uint64_t base =
        state.m_base_index + Below(index - state.m_base_index + 1);
    out.m_batch.base_index = base;
    out.m_batch.base_term =
        base == state.m_base_index
            ? state.m_base_term
            : state.m_entries[base - state.m_base_index - 1].term;
    out.m_batch.base_membership =
        std::make_unique<wire::MembershipT>(Membership().ToWire());
    for (const wire::LogEntryT& entry : state.m_entries) {
      if (entry.index > base) {
        out.m_batch.entries.push_back(std::make_unique<wire::LogEntryT>(entry));
      }
    }
  }

  static bool IsEqual(const DurableState& a, const DurableState& b) {
    return a.m_hard_state.term == b.m_hard_state.term &&
           a.m_base_index == b.m_base_index && a.m_base_term == b.m_base_term &&
           std::equal(a.m_entries.begin(), a.m_entries.end(),
                      b.m_entries.begin(), b.m_entries.end(),
                      [](const wire::LogEntryT& x, const wire::LogEntryT& y) {
                        return x.index == y.index && x.term == y.term &&
                               x.payload == y.payload;
                      });
  }

  std::mt19937_64 m_random;
  FakeDisk m_stored;
};

class PowerLossTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PowerLossTest);
  CPPUNIT_TEST(KeepsNameOfNewFolder);
  CPPUNIT_TEST(RecoversStoredBatches);
  CPPUNIT_TEST(KeepsRecordWhoseSyncFailedWhileOpening);
  CPPUNIT_TEST(RecoversStoredBatchesAfterFailures);
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

  // Guards against stored batches that are lost with the name of their file,
  // when a process was killed before it synced the folder.
  void RecoversStoredBatches() { CrashAtRandom(0); }
  void RecoversStoredBatchesAfterFailures() { CrashAtRandom(0.1); }

  // Guards against a hole in the log: a process is killed before the sync of a
  // record, and the first attempt to open the folder fails with that sync.
  void KeepsRecordWhoseSyncFailedWhileOpening() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const ScratchFolder scratch;
      const std::string folder = scratch.path() + "/data";
      FaultyDisk disk(folder, seed);
      Writer writer(seed);
      DurableBatchOut batch = writer.MakeBatch();
      CPPUNIT_ASSERT(LogStore::Initialize(folder, "a", Membership()));
      {
        const StorePtr store = Open(folder);
        disk.StopAfter(1);
        CPPUNIT_ASSERT(!WriteUntilStored(*store, batch));
      }
      disk.Revive();
      disk.SetFailures(0.3);
      {
        const StorePtr store = Open(folder);
        disk.SetFailures(0);
        writer.CheckRecovered(store->recovered().m_state, batch);
        batch = writer.MakeBatch();
        CPPUNIT_ASSERT(WriteUntilStored(*store, batch));
        writer.OnStored(batch);
      }
      disk.LosePower();
      writer.CheckRecovered(Open(folder)->recovered().m_state, batch);
    }
  }

 private:
  static void CrashAtRandom(double failures) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      try {
        CrashAtRandom(seed, failures);
      } catch (CppUnit::Exception& exception) {
        CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + exception.what());
      }
    }
  }

  static void CrashAtRandom(std::uint64_t seed, double failures) {
    const ScratchFolder scratch;
    const std::string folder = scratch.path() + "/data";
    FaultyDisk disk(folder, seed);
    Writer writer(seed);
    CPPUNIT_ASSERT(LogStore::Initialize(folder, "a", Membership()));
    DurableBatchOut unanswered = writer.MakeBatch();
    unanswered.m_batch.entries.clear();
    unanswered.m_batch.hard_state->term = 0;
    for (int crash = 0; crash < kCrashesPerSeed; ++crash) {
      disk.SetFailures(failures);
      {
        StorePtr store = Open(folder);
        writer.CheckRecovered(store->recovered().m_state, unanswered);
        disk.StopAfter(writer.Below(60));
        for (int i = 0; i < kMaxBatchesPerLife; ++i) {
          unanswered = writer.MakeBatch();
          if (!WriteUntilStored(*store, unanswered)) {
            break;
          }
          writer.OnStored(unanswered);
        }
      }
      disk.Revive();
      if (writer.Below(3) != 0) {
        disk.LosePower();
      }
    }
  }

  static StorePtr Open(const std::string& folder) {
    for (int attempt = 0;; ++attempt) {
      auto opened = Capture<StorePtr>([&] {
        return LogStore::Open(folder, "a",
                              attempt == 0
                                  ? LogStore::OpenAttempt::kFirst
                                  : LogStore::OpenAttempt::kAfterFailure);
      });
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

  /** @return false when the process stopped before the batch was stored. */
  static bool WriteUntilStored(LogStore& store, const DurableBatchOut& batch) {
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      const auto written = Capture<bool>([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(store.Write(batch));
        return true;
      });
      if (std::holds_alternative<bool>(written)) {
        return true;
      }
    }
    return false;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PowerLossTest);

}  // namespace
}  // namespace bronzebarrow::consensus
