// Tests the memory for accepted jobs.
#include "bronzebarrow/node/job_room.h"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>

#include "bronzebarrow/jobs.h"

namespace bronzebarrow::node {
namespace {

constexpr std::size_t kSmall = 1000;
constexpr std::size_t kLarge = 100'000;

class JobRoomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobRoomTest);
  CPPUNIT_TEST(ProposedJobsCount);
  CPPUNIT_TEST(LargerJobsLeaveMoreFree);
  CPPUNIT_TEST(OverlappingOccurrencesLeaveHalfFree);
  CPPUNIT_TEST(NoLimitWithoutSettings);
  CPPUNIT_TEST(StoredBytesFollowTheTasks);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a burst of submissions that are all judged before the first
  // of them is applied.
  void ProposedJobsCount() {
    JobRoom room(10 * kSmall);
    for (jobs::JobId id = 1; id <= 10; ++id) {
      CPPUNIT_ASSERT(room.FitsJob(0, kSmall));
      room.Propose(id, kSmall);
    }
    CPPUNIT_ASSERT(!room.FitsJob(0, kSmall));
    room.OnApplied(3);
    room.OnApplied(3);
    CPPUNIT_ASSERT(room.FitsJob(0, kSmall));
    CPPUNIT_ASSERT(!room.FitsJob(kSmall, kSmall));
    room.Clear();
    CPPUNIT_ASSERT(room.FitsJob(9 * kSmall, kSmall));
  }

  // Guards against a crowd whose large jobs keep ordinary ones out for good.
  void LargerJobsLeaveMoreFree() {
    constexpr std::size_t kMax = 8 * kLarge;
    const JobRoom room(kMax);
    for (const auto& [job, eighths] :
         {std::pair<std::size_t, std::size_t>{4096, 8},
          {16'384, 7},
          {65'536, 6},
          {65'537, 4}}) {
      const std::size_t limit = kMax / 8 * eighths;
      CPPUNIT_ASSERT(room.FitsJob(limit - job, job));
      CPPUNIT_ASSERT(!room.FitsJob(limit - job + 1, job));
    }
  }

  // Guards against a job that fills the memory with occurrences that are due.
  void OverlappingOccurrencesLeaveHalfFree() {
    const JobRoom room(8 * kLarge);
    CPPUNIT_ASSERT(room.FitsOccurrences(7 * kLarge, 0, kSmall));
    CPPUNIT_ASSERT(!room.FitsOccurrences(7 * kLarge, kSmall, kSmall));
    CPPUNIT_ASSERT(room.FitsOccurrences(3 * kLarge, kSmall, kSmall));
  }

  void NoLimitWithoutSettings() {
    CPPUNIT_ASSERT(JobRoom(0).FitsJob(kLarge, kLarge));
  }

  // Guards against a small submission that stands for much memory.
  void StoredBytesFollowTheTasks() {
    wire::JobSpecT spec;
    spec.steps.push_back(std::make_unique<wire::StepSpecT>());
    spec.steps[0]->count = jobs::kMaxTasks;
    CPPUNIT_ASSERT(jobs::OccurrenceBytes(spec) >=
                   jobs::kMaxTasks * sizeof(jobs::Task));
    CPPUNIT_ASSERT(jobs::StoredBytes(spec, 3) >=
                   3 * jobs::OccurrenceBytes(spec));
    CPPUNIT_ASSERT(jobs::CallBytes(spec) < 4096);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRoomTest);

}  // namespace
}  // namespace bronzebarrow::node
