// The replica's files under one data folder: identity, log and snapshot.
#ifndef BRONZEBARROW_CONSENSUS_LOG_STORE_H_
#define BRONZEBARROW_CONSENSUS_LOG_STORE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "bronzebarrow/base/failure.h"
#include "bronzebarrow/consensus/durable.h"
#include "bronzebarrow/consensus/replica_id.h"

namespace bronzebarrow::consensus {

/**
 * Files of one replica. Each record carries a checksum and holds all that one
 * sync made durable, so only the last record can be torn: a torn tail is cut,
 * damage before the tail refuses to open.
 *
 * Not thread-safe; a lock file keeps a second process out.
 */
class LogStore {
 public:
  /** What Open found. */
  struct Recovered {
    ReplicaId m_id;
    DurableState m_state;
    std::uint64_t m_cut_bytes = 0;  // Length of a torn tail that was cut.
    bool m_is_new = false;          // The folder was empty: a new generation.
  };

  /**
   * Prepares an empty folder for a founding member (generation 1) of a new
   * group; fails when the folder holds anything.
   */
  static Result<void> Initialize(const std::string& folder,
                                 const std::string& name,
                                 const Membership& founders);

  /**
   * Opens the folder of member `name`. An empty folder becomes a new
   * generation that has to join the group before it may vote.
   */
  static Result<std::unique_ptr<LogStore>> Open(const std::string& folder,
                                                const std::string& name);

  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;
  ~LogStore();

  /** Valid until TakeState moves it out. */
  Recovered& recovered() { return m_recovered; }

  /**
   * Writes and syncs a batch. After a failure the store must not be used
   * again: what the disk holds is not known.
   */
  Result<void> Write(const DurableBatchOut& batch);

  /** @return the size of the log file in bytes. */
  std::uint64_t log_bytes() const { return m_log_bytes; }

 private:
  LogStore() = default;
  Result<void> Recover(const std::string& name);
  Result<void> RecoverLog();
  Result<void> RecoverSnapshot();
  Result<void> Rewrite(const DurableBatchOut& batch);
  Result<void> RemoveObsolete(const std::string& log_name,
                              const std::string& snapshot_name);

  std::string m_folder;
  int m_lock = -1;
  int m_log = -1;
  std::uint64_t m_log_sequence = 0;
  std::uint64_t m_log_bytes = 0;
  Recovered m_recovered;
};

}  // namespace bronzebarrow::consensus

#endif  // BRONZEBARROW_CONSENSUS_LOG_STORE_H_
