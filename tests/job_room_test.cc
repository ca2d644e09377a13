// Tests the memory for accepted jobs.
#include "bronzebarrow/placement/job_room.h"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>

#include "bronzebarrow/jobs.h"

namespace bronzebarrow::placement {
namespace {

constexpr std::size_t kSmall = 1000;
constexpr std::size_t kLarge = 100'000;

jobs::JobBytes Active(std::size_t bytes) { return {bytes, bytes}; }

class JobRoomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobRoomTest);
  CPPUNIT_TEST(ProposedJobsCount);
  CPPUNIT_TEST(LargerJobsLeaveMoreFree);
  CPPUNIT_TEST(OverlappingOccurrencesLeaveHalfFree);
  CPPUNIT_TEST(EndedJobsTakeNoPartOfLargerOnes);
  CPPUNIT_TEST(NoLimitWithoutSettings);
  CPPUNIT_TEST(StoredBytesFollowTheTasks);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a burst of submissions that are all judged before the first
  // of them is applied.
  void ProposedJobsCount() {
    JobRoom room(8 * kSmall);
    for (jobs::JobId id = 1; id <= 8; ++id) {
      CPPUNIT_ASSERT(room.FitsJob({}, kSmall));
      room.Propose(id, kSmall);
    }
    CPPUNIT_ASSERT(!room.FitsJob({}, kSmall));
    room.OnApplied(3);
    room.OnApplied(3);
    CPPUNIT_ASSERT(room.FitsJob({}, kSmall));
    CPPUNIT_ASSERT(!room.FitsJob(Active(kSmall), kSmall));
    room.Clear();
    CPPUNIT_ASSERT(room.FitsJob(Active(7 * kSmall), kSmall));
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
      CPPUNIT_ASSERT(room.FitsJob(Active(limit - job), job));
      CPPUNIT_ASSERT(!room.FitsJob(Active(limit - job + 1), job));
    }
  }

  // Guards against a job that fills the memory with occurrences that are due.
  void OverlappingOccurrencesLeaveHalfFree() {
    const JobRoom room(8 * kLarge);
    CPPUNIT_ASSERT(room.FitsOccurrences(Active(7 * kLarge), 0, kSmall));
    CPPUNIT_ASSERT(!room.FitsOccurrences(Active(7 * kLarge), kSmall, kSmall));
    CPPUNIT_ASSERT(room.FitsOccurrences(Active(3 * kLarge), kSmall, kSmall));
  }

  // Guards against a busy site in calm whose ended jobs, which are kept for two
  // and a half minutes, take three quarters of the memory: large jobs and
  // overlapping occurrences are refused for active jobs only.
  void EndedJobsTakeNoPartOfLargerOnes() {
    const JobRoom room(8 * kLarge);
    const jobs::JobBytes calm = {6 * kLarge, kLarge / 2};
    CPPUNIT_ASSERT(room.FitsJob(calm, kLarge));
    CPPUNIT_ASSERT(room.FitsOccurrences(calm, kSmall, kSmall));
    // The last eighth is for ordinary jobs, also beside jobs that are
    // submitted and cancelled.
    const jobs::JobBytes ended = {7 * kLarge, 0};
    CPPUNIT_ASSERT(!room.FitsJob(ended, kLarge));
    CPPUNIT_ASSERT(room.FitsJob(ended, 16'384));
    CPPUNIT_ASSERT(!room.FitsJob({8 * kLarge, 0}, kSmall));
  }

  void NoLimitWithoutSettings() {
    CPPUNIT_ASSERT(JobRoom(0).FitsJob(Active(kLarge), kLarge));
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
}  // namespace bronzebarrow::placement
