// LogStore: recovery, appends, and replacement of the log on a new snapshot.
#include "bronzebarrow/consensus/log_store.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <random>
#include <utility>
#include <vector>

#include "bronzebarrow/wire/codec.h"
#include "consensus/file.h"
#include "consensus/record.h"

namespace bronzebarrow::consensus {
namespace {

namespace fs = std::filesystem;

constexpr const char* kLockName = "lock";
constexpr const char* kIdentityName = "identity";
constexpr const char* kLogPrefix = "log-";
constexpr const char* kSnapshotPrefix = "snapshot-";
constexpr std::size_t kNumberDigits = 20;

std::string NumberedFileName(const char* prefix, std::uint64_t number) {
  std::string digits = std::to_string(number);
  digits.insert(0, kNumberDigits - digits.size(), '0');
  return prefix + digits;
}

Result<std::vector<std::string>> ListFiles(const std::string& folder) {
  std::vector<std::string> names;
  std::error_code error;
  fs::directory_iterator item(folder, error);
  while (!error && item != fs::directory_iterator()) {
    names.push_back(item->path().filename().string());
    item.increment(error);
  }
  if (error) {
    return Fail(ErrorCode::kDataFolderUnusable,
                folder + ": " + error.message());
  }
  std::sort(names.begin(), names.end());
  return names;
}

Result<std::vector<std::string>> FilesWithPrefix(const std::string& folder,
                                                 const std::string& prefix) {
  BOOST_LEAF_AUTO(names, ListFiles(folder));
  std::erase_if(names, [&](const std::string& name) {
    return !name.starts_with(prefix) || name.ends_with(".tmp");
  });
  return names;
}

Result<bool> IsEmptyFolder(const std::string& folder) {
  BOOST_LEAF_AUTO(names, ListFiles(folder));
  return std::all_of(names.begin(), names.end(), [](const std::string& name) {
    return name == kLockName || name.ends_with(".tmp");
  });
}

// Creates the folder if there is none and syncs its name: with the name, a loss
// of power would take all files.
Result<void> CreateFolder(const std::string& folder) {
  std::error_code error;
  const fs::path path = fs::absolute(folder, error);
  if (error || !fs::create_directories(path, error)) {
    return {};  // It exists, or opening the lock tells why it does not.
  }
  const auto synced = Capture<bool>([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(SyncFolder(path.parent_path().string()));
    return true;
  });
  if (const auto* const failure = std::get_if<Failure>(&synced)) {
    fs::remove(path, error);  // So that the next attempt creates it again.
    return boost::leaf::new_error(*failure);
  }
  return {};
}

Result<int> LockFolder(const std::string& folder) {
  BOOST_LEAF_CHECK(CreateFolder(folder));
  const std::string path = folder + "/" + kLockName;
  const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (file < 0) {
    return Fail(ErrorCode::kDataFolderUnusable,
                path + ": " + std::strerror(errno));
  }
  if (::flock(file, LOCK_EX | LOCK_NB) != 0) {
    ::close(file);
    return Fail(ErrorCode::kDataFolderInUse, folder);
  }
  return file;
}

// A generation must never repeat, or a member could contradict a vote whose
// record was lost. A clock could be stepped back between two generations.
std::uint64_t NewGeneration() {
  std::random_device random;
  std::uniform_int_distribution<std::uint64_t> pick(
      LogStore::kInitialGeneration + 1);
  return pick(random);
}

Result<void> WriteIdentity(const std::string& folder, const ReplicaId& id) {
  wire::MemberT identity;
  identity.name = id.m_name;
  identity.generation = id.m_generation;
  const Bytes record = EncodeRecord(wire::Encode<wire::Member>(identity));
  return WriteFileAtomically(folder, kIdentityName, record);
}

Result<ReplicaId> ReadIdentity(const std::string& folder,
                               const std::string& name) {
  const std::string path = folder + "/" + kIdentityName;
  BOOST_LEAF_AUTO(exists, LogStore::HasIdentity(folder));
  if (!exists) {
    return Fail(ErrorCode::kDataFolderForeign,
                folder + ": holds files but no identity");
  }
  BOOST_LEAF_AUTO(bytes, ReadBytes(path));
  const auto payload = DecodeRecord(bytes);
  const auto identity =
      payload ? wire::Decode<wire::Member>(*payload) : nullptr;
  if (!identity) {
    return Fail(ErrorCode::kLogDamaged, path);
  }
  if (identity->name != name) {
    return Fail(ErrorCode::kDataFolderForeign,
                folder + ": belongs to \"" + identity->name + "\"");
  }
  return ReplicaId{identity->name, identity->generation};
}

Result<void> WriteInitialLog(const std::string& folder,
                             const Membership& membership) {
  wire::DurableBatchT batch;
  batch.base_membership =
      std::make_unique<wire::MembershipT>(membership.ToWire());
  batch.hard_state = std::make_unique<wire::HardStateT>();
  const Bytes record = EncodeRecord(wire::Encode<wire::DurableBatch>(batch));
  return WriteFileAtomically(folder, NumberedFileName(kLogPrefix, 1), record);
}

void ReplayBatch(wire::DurableBatchT& batch, DurableState& state) {
  if (batch.base_membership) {
    state.m_base_index = batch.base_index;
    state.m_base_term = batch.base_term;
    state.m_base_membership = Membership::FromWire(*batch.base_membership);
  }
  if (batch.hard_state) {
    state.m_hard_state = *batch.hard_state;
  }
  if (batch.truncate_from != 0) {
    while (!state.m_entries.empty() &&
           state.m_entries.back().index >= batch.truncate_from) {
      state.m_entries.pop_back();
    }
  }
  for (auto& entry : batch.entries) {
    state.m_entries.push_back(std::move(*entry));
  }
}

std::uint64_t TermAt(const DurableState& state, std::uint64_t index) {
  return index == state.m_base_index
             ? state.m_base_term
             : state.m_entries[index - state.m_base_index - 1].term;
}

bool IsConsecutive(const DurableState& state) {
  std::uint64_t expected = state.m_base_index;
  return std::all_of(
      state.m_entries.begin(), state.m_entries.end(),
      [&](const wire::LogEntryT& entry) { return entry.index == ++expected; });
}

}  // namespace

Result<void> LogStore::Initialize(const std::string& folder,
                                  const std::string& name,
                                  const Membership& initial_members) {
  BOOST_LEAF_AUTO(lock, LockFolder(folder));
  ::close(lock);
  BOOST_LEAF_AUTO(is_empty, IsEmptyFolder(folder));
  if (!is_empty) {
    return Fail(ErrorCode::kDataFolderNotEmpty, folder);
  }
  BOOST_LEAF_CHECK(WriteInitialLog(folder, initial_members));
  return WriteIdentity(folder, {name, kInitialGeneration});
}

Result<bool> LogStore::HasIdentity(const std::string& folder) {
  const std::string path = folder + "/" + kIdentityName;
  std::error_code error;
  const bool exists = fs::exists(path, error);
  if (error) {
    return Fail(ErrorCode::kDataFolderUnusable, path + ": " + error.message());
  }
  return exists;
}

Result<std::unique_ptr<LogStore>> LogStore::Open(const std::string& folder,
                                                 const std::string& name,
                                                 OpenAttempt attempt) {
  std::unique_ptr<LogStore> store(new LogStore());
  store->m_folder = folder;
  BOOST_LEAF_AUTO(lock, LockFolder(folder));
  store->m_lock_file = lock;
  BOOST_LEAF_AUTO(is_empty, IsEmptyFolder(folder));
  if (is_empty) {
    BOOST_LEAF_CHECK(WriteInitialLog(folder, Membership()));
    BOOST_LEAF_CHECK(WriteIdentity(folder, {name, NewGeneration()}));
    store->m_recovered.m_is_new = true;
  }
  BOOST_LEAF_CHECK(store->Recover(name, attempt));
  return store;
}

LogStore::~LogStore() {
  if (m_log_file >= 0) {
    ::close(m_log_file);
  }
  if (m_lock_file >= 0) {
    ::close(m_lock_file);
  }
}

Result<void> LogStore::Recover(const std::string& name, OpenAttempt attempt) {
  BOOST_LEAF_AUTO(id, ReadIdentity(m_folder, name));
  m_recovered.m_id = id;
  // A process that was killed may have renamed a file without syncing the
  // folder; what is appended to that file must not be lost with its name.
  BOOST_LEAF_CHECK(SyncFolder(m_folder));
  BOOST_LEAF_CHECK(RecoverLog(attempt));
  return RecoverSnapshot();
}

Result<void> LogStore::RecoverLog(OpenAttempt attempt) {
  BOOST_LEAF_AUTO(logs, FilesWithPrefix(m_folder, kLogPrefix));
  if (logs.empty()) {
    return Fail(ErrorCode::kLogDamaged, m_folder + ": no log file");
  }
  const std::string path = m_folder + "/" + logs.back();
  m_log_sequence = std::stoull(logs.back().substr(std::strlen(kLogPrefix)));
  BOOST_LEAF_AUTO(bytes, ReadBytes(path));
  ByteView rest(bytes);
  while (!rest.empty()) {
    const auto payload = DecodeRecord(rest);
    const auto batch =
        payload ? wire::Decode<wire::DurableBatch>(*payload) : nullptr;
    if (!batch) {
      break;
    }
    ReplayBatch(*batch, m_recovered.m_state);
    rest = rest.subspan(kRecordHeaderBytes + payload->size());
  }
  const std::size_t valid_bytes = bytes.size() - rest.size();
  if (valid_bytes == 0 || ContainsValidRecord(rest) ||
      !IsConsecutive(m_recovered.m_state)) {
    return Fail(ErrorCode::kLogDamaged,
                path + " at byte " + std::to_string(valid_bytes));
  }
  m_recovered.m_cut_bytes = rest.size();
  if (attempt == OpenAttempt::kAfterFailure) {
    return SwitchLog(NumberedFileName(kLogPrefix, ++m_log_sequence),
                     ByteView(bytes).first(valid_bytes));
  }
  m_log_file = ::open(path.c_str(), O_WRONLY | O_CLOEXEC);
  if (m_log_file < 0) {
    return Fail(ErrorCode::kDataFolderUnusable,
                path + ": " + std::strerror(errno));
  }
  // A full disk may reject a change of length, so an intact log is not changed.
  if (rest.empty()) {
    ::lseek(m_log_file, 0, SEEK_END);
  } else {
    BOOST_LEAF_CHECK(
        Truncate(m_log_file, static_cast<off_t>(valid_bytes), path));
  }
  m_log_bytes = valid_bytes;
  return SyncData(m_log_file, path);
}

Result<void> LogStore::RecoverSnapshot() {
  DurableState& state = m_recovered.m_state;
  const std::uint64_t last = state.m_base_index + state.m_entries.size();
  BOOST_LEAF_AUTO(snapshots, FilesWithPrefix(m_folder, kSnapshotPrefix));
  std::reverse(snapshots.begin(), snapshots.end());
  for (const std::string& name : snapshots) {
    const std::uint64_t index =
        std::stoull(name.substr(std::strlen(kSnapshotPrefix)));
    if (index > last || index < state.m_base_index) {
      continue;
    }
    const std::string path = m_folder + "/" + name;
    BOOST_LEAF_AUTO(bytes, ReadBytes(path));
    const auto payload = DecodeRecord(bytes);
    auto snapshot =
        payload ? wire::Decode<wire::SnapshotFile>(*payload) : nullptr;
    if (!snapshot || !snapshot->membership) {
      return Fail(ErrorCode::kLogDamaged, path);
    }
    // A snapshot is written before the log that starts from it. Until that log
    // is durable, the old one may hold another leader's entry at this index.
    if (snapshot->last_term != TermAt(state, index)) {
      continue;
    }
    state.m_snapshot = std::move(snapshot);
    return {};
  }
  if (state.m_base_index != 0) {
    return Fail(ErrorCode::kLogDamaged, m_folder + ": the snapshot is missing");
  }
  return {};
}

Result<void> LogStore::Write(const DurableBatchOut& batch) {
  if (batch.m_snapshot) {
    return ReplaceLog(batch);
  }
  return Append(batch);
}

Result<void> LogStore::Append(const DurableBatchOut& batch) {
  if (m_has_failed_tail) {
    BOOST_LEAF_CHECK(
        Truncate(m_log_file, static_cast<off_t>(m_log_bytes), m_folder));
  }
  const Bytes record =
      EncodeRecord(wire::Encode<wire::DurableBatch>(batch.m_batch));
  m_has_failed_tail = true;
  BOOST_LEAF_CHECK(WriteAll(m_log_file, record, m_folder));
  BOOST_LEAF_CHECK(SyncData(m_log_file, m_folder));
  m_has_failed_tail = false;
  m_log_bytes += record.size();
  return {};
}

Result<void> LogStore::ReplaceLog(const DurableBatchOut& batch) {
  const std::string snapshot_name =
      NumberedFileName(kSnapshotPrefix, batch.m_snapshot->last_index);
  const Bytes image =
      EncodeRecord(wire::Encode<wire::SnapshotFile>(*batch.m_snapshot));
  BOOST_LEAF_CHECK(WriteFileAtomically(m_folder, snapshot_name, image));

  const std::string log_name = NumberedFileName(kLogPrefix, ++m_log_sequence);
  BOOST_LEAF_CHECK(SwitchLog(
      log_name, EncodeRecord(wire::Encode<wire::DurableBatch>(batch.m_batch))));
  return RemoveObsolete(log_name, snapshot_name);
}

Result<void> LogStore::SwitchLog(const std::string& log_name, ByteView bytes) {
  const std::string path = m_folder + "/" + log_name;
  BOOST_LEAF_CHECK(WriteFileAtomically(m_folder, log_name, bytes));
  if (m_log_file >= 0) {
    ::close(m_log_file);
  }
  m_log_file = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (m_log_file < 0) {
    return Fail(ErrorCode::kDiskWriteFailed,
                path + ": " + std::strerror(errno));
  }
  m_log_bytes = bytes.size();
  m_has_failed_tail = false;
  return {};
}

Result<void> LogStore::RemoveObsolete(const std::string& log_name,
                                      const std::string& snapshot_name) {
  BOOST_LEAF_AUTO(names, ListFiles(m_folder));
  for (const std::string& name : names) {
    const bool obsolete_log = name.starts_with(kLogPrefix) && name != log_name;
    const bool obsolete_snapshot =
        name.starts_with(kSnapshotPrefix) && name != snapshot_name;
    if (obsolete_log || obsolete_snapshot) {
      std::error_code error;
      fs::remove(m_folder + "/" + name, error);
    }
  }
  return SyncFolder(m_folder);
}

}  // namespace bronzebarrow::consensus
