// The remedy for each kind of failure of a data folder, and repeated attempts.
#include "bronzebarrow/node/data_folder.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <filesystem>
#include <thread>
#include <utility>
#include <variant>

#include "bronzebarrow/base/event_log.h"

namespace bronzebarrow::node {
namespace {

namespace fs = std::filesystem;
using StorePtr = std::unique_ptr<consensus::LogStore>;

// Pause between attempts to write to a disk that rejects writes, or to open a
// data folder on it.
constexpr auto kDiskRetryInterval = std::chrono::milliseconds(100);
// A disk fault is logged once per this number of failed attempts.
constexpr int kDiskAttemptsPerLogLine = 10;

enum class Remedy {
  kFail,     // The folder is not this member's to use.
  kRetry,    // The data may be intact.
  kDiscard,  // The data is lost.
};

struct FailureRemedy {
  ErrorCode m_code;
  Remedy m_remedy;
};

// Remedies for failures to open a folder; any other failure is final.
constexpr std::array kFailureRemedies = {
    FailureRemedy{ErrorCode::kDataFolderUnusable, Remedy::kRetry},
    FailureRemedy{ErrorCode::kDataFolderInUse, Remedy::kRetry},
    FailureRemedy{ErrorCode::kDiskWriteFailed, Remedy::kRetry},
    FailureRemedy{ErrorCode::kLogDamaged, Remedy::kDiscard},
};

Remedy RemedyFor(ErrorCode code) {
  const auto* const found = std::find_if(
      kFailureRemedies.begin(), kFailureRemedies.end(),
      [&](const FailureRemedy& row) { return row.m_code == code; });
  return found == kFailureRemedies.end() ? Remedy::kFail : found->m_remedy;
}

void LogDiskFault(const Failure& failure, int attempt, const char* action) {
  if (attempt % kDiskAttemptsPerLogLine == 0) {
    EventLine(Event::kDiskFault, Severity::kWarning)
        .Field("code", failure.m_code)
        .Field("context", failure.m_context)
        .Field("attempt", attempt)
        .Field("action", action);
  }
}

Result<void> ClearFolder(const std::string& folder) {
  std::error_code error;
  fs::directory_iterator item(folder, error);
  while (!error && item != fs::directory_iterator()) {
    fs::remove_all(item->path(), error);
    if (!error) {
      item.increment(error);
    }
  }
  if (error && error != std::errc::no_such_file_or_directory) {
    return Fail(ErrorCode::kDiskWriteFailed, folder + ": " + error.message());
  }
  return {};
}

Result<StorePtr> OpenOnce(const DataFolderSettings& settings,
                          consensus::LogStore::OpenAttempt attempt) {
  BOOST_LEAF_AUTO(has_identity,
                  consensus::LogStore::HasIdentity(settings.m_folder));
  if (!has_identity) {
    // The identity is the last file of a new folder, so without it nothing in
    // the folder was ever acknowledged.
    BOOST_LEAF_CHECK(ClearFolder(settings.m_folder));
    if (!settings.m_initial_members.empty()) {
      std::vector<consensus::Member> members;
      for (const std::string& name : settings.m_initial_members) {
        members.push_back(
            {{name, consensus::LogStore::kInitialGeneration}, true});
      }
      BOOST_LEAF_CHECK(consensus::LogStore::Initialize(
          settings.m_folder, settings.m_member,
          consensus::Membership(std::move(members))));
    }
  }
  return consensus::LogStore::Open(settings.m_folder, settings.m_member,
                                   attempt);
}

// A member whose data is lost rejoins as a new generation, so it cannot
// contradict votes whose record was lost.
Result<StorePtr> OpenOrDiscard(const DataFolderSettings& settings,
                               consensus::LogStore::OpenAttempt attempt) {
  auto opened = Capture<StorePtr>([&] { return OpenOnce(settings, attempt); });
  const auto* const failure = std::get_if<Failure>(&opened);
  if (failure == nullptr) {
    return std::move(std::get<StorePtr>(opened));
  }
  if (RemedyFor(failure->m_code) != Remedy::kDiscard) {
    return boost::leaf::new_error(*failure);
  }
  EventLine(Event::kRecordRefused, Severity::kError)
      .Field("code", failure->m_code)
      .Field("context", failure->m_context)
      .Field("action", "joining as a new generation");
  BOOST_LEAF_CHECK(ClearFolder(settings.m_folder));
  return consensus::LogStore::Open(settings.m_folder, settings.m_member);
}

}  // namespace

Result<StorePtr> OpenDataFolder(const DataFolderSettings& settings) {
  using consensus::LogStore;
  for (int attempt = 0;; ++attempt) {
    auto opened = Capture<StorePtr>([&] {
      return OpenOrDiscard(settings,
                           attempt == 0 ? LogStore::OpenAttempt::kFirst
                                        : LogStore::OpenAttempt::kAfterFailure);
    });
    const auto* const failure = std::get_if<Failure>(&opened);
    if (failure == nullptr) {
      return std::move(std::get<StorePtr>(opened));
    }
    if (RemedyFor(failure->m_code) == Remedy::kFail) {
      return boost::leaf::new_error(*failure);
    }
    LogDiskFault(*failure, attempt, "opening the data folder again");
    FlushLog();
    std::this_thread::sleep_for(kDiskRetryInterval);
  }
}

void WriteUntilStored(consensus::LogStore& store,
                      const consensus::DurableBatchOut& batch) {
  for (int attempt = 0;; ++attempt) {
    const auto written = Capture<bool>([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(store.Write(batch));
      return true;
    });
    const auto* const failure = std::get_if<Failure>(&written);
    if (failure == nullptr) {
      if (attempt > 0) {
        EventLine(Event::kDiskFault)
            .Field("attempt", attempt)
            .Field("action", "stored");
      }
      return;
    }
    LogDiskFault(*failure, attempt, "writing the batch again");
    std::this_thread::sleep_for(kDiskRetryInterval);
  }
}

}  // namespace bronzebarrow::node
