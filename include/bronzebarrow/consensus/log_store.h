// Stores a replica's durable state in one data folder: identity, log, snapshot.
#ifndef BRONZEBARROW_CONSENSUS_LOG_STORE_H_
#define BRONZEBARROW_CONSENSUS_LOG_STORE_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include "bronzebarrow/base/failure.h"
#include "bronzebarrow/consensus/durable.h"
#include "bronzebarrow/consensus/replica_id.h"

namespace bronzebarrow::consensus {

/**
 * Files of one replica. Each log record has a checksum and holds all data of
 * one sync, so a crash can tear only the last record: Open truncates a torn
 * tail and fails when a record before the tail is damaged.
 *
 * Not thread-safe. A lock file prevents a second process from opening the
 * folder.
 */
class LogStore {
 public:
  /** Generation of the members that create a group. */
  static constexpr std::uint64_t kInitialGeneration = 1;

  /** Whether this process tried to open the folder before. */
  enum class OpenAttempt { kFirst, kAfterFailure };

  /** State that Open recovered from the folder. */
  struct Recovered {
    ReplicaId m_id;
    DurableState m_state;
    std::uint64_t m_cut_bytes = 0;  // Length of a torn tail; it was truncated.
    // The folder was empty, so this replica is a new generation.
    bool m_is_new = false;
  };

  /**
   * Writes the first files of an initial member (generation 1) of a new group
   * into an empty folder; fails when the folder contains any other file.
   */
  static Result<void> Initialize(const std::string& folder,
                                 const std::string& name,
                                 const Membership& initial_members);

  /** @return whether the folder holds the files of a member. */
  static Result<bool> HasIdentity(const std::string& folder);

  /**
   * Opens and locks the folder of member `name`. An empty folder becomes a new
   * generation of that member, which must join the group before it may vote.
   * After a failure the log is copied: if a sync failed, the disk may have
   * dropped a record that can still be read, and a later sync succeeds.
   */
  static Result<std::unique_ptr<LogStore>> Open(
      const std::string& folder, const std::string& name,
      OpenAttempt attempt = OpenAttempt::kFirst);

  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;
  ~LogStore();

  /** @return what Open recovered; its m_state is valid until it is moved. */
  Recovered& recovered() { return m_recovered; }

  /**
   * Writes and syncs a batch. After a failure nothing of the batch counts as
   * stored, and the same batch must be written again before any other: a disk
   * that is full or rejects writes may accept them later.
   */
  Result<void> Write(const DurableBatchOut& batch);

  /** @return the size of the log file in bytes. */
  std::uint64_t log_bytes() const { return m_log_bytes; }

 private:
  LogStore() = default;
  Result<void> Recover(const std::string& name, OpenAttempt attempt);
  Result<void> RecoverLog(OpenAttempt attempt);
  Result<void> RecoverSnapshot();
  Result<void> Append(const DurableBatchOut& batch);
  Result<void> ReplaceLog(const DurableBatchOut& batch);
  // Continues the log in a new file with these bytes.
  Result<void> SwitchLog(const std::string& log_name,
                         std::span<const std::uint8_t> bytes);
  Result<void> RemoveObsolete(const std::string& log_name,
                              const std::string& snapshot_name);

  std::string m_folder;
  int m_lock_file = -1;  // File descriptor of the lock file; -1 when not open.
  int m_log_file = -1;   // File descriptor of the log file; -1 when not open.
  std::uint64_t m_log_sequence = 0;  // Number in the log file's name.
  // Length of the log file without the remains of a failed write.
  std::uint64_t m_log_bytes = 0;
  // Whether the log file may be longer than m_log_bytes.
  bool m_has_failed_tail = false;
  Recovered m_recovered;
};

}  // namespace bronzebarrow::consensus

#endif  // BRONZEBARROW_CONSENSUS_LOG_STORE_H_
