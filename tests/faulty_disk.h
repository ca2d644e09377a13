// A folder on a simulated disk that rejects operations and loses its power.
#ifndef BRONZEBARROW_TESTS_FAULTY_DISK_H_
#define BRONZEBARROW_TESTS_FAULTY_DISK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bronzebarrow {

/**
 * Observes the file operations of this program under one folder, through
 * functions that replace those of the C library, and lets some of them fail.
 * Operations are carried out for real; a loss of power replaces the files by
 * what could be left of them. One object at a time.
 */
class FaultyDisk {
 public:
  FaultyDisk(std::string folder, std::uint64_t seed);
  FaultyDisk(const FaultyDisk&) = delete;
  FaultyDisk& operator=(const FaultyDisk&) = delete;
  ~FaultyDisk();

  /** Probability that an operation fails. */
  void SetFailures(double probability) { m_failures = probability; }
  /** After this number of operations all of them fail, until Revive. */
  void StopAfter(std::uint64_t operations) { m_operations_left = operations; }
  /** Ends StopAfter. Writes that a failed sync dropped count as not synced. */
  void Revive();

  /**
   * Leaves of each file what its last sync covered. Each later write is kept,
   * missing or torn, each later name is kept or lost. Not to be called while a
   * file is open.
   */
  void LosePower();

  // Called for operations of the program.
  bool Covers(const std::string& path) const;
  bool Fails();
  void OnOpen(int file, const std::string& path, bool truncates);
  void OnClose(int file) { m_open.erase(file); }
  bool IsOpen(int file) const { return m_open.contains(file); }
  void OnWrite(int file, std::size_t offset, std::string bytes);
  void OnSetLength(int file, std::size_t length);
  void OnSync(int file, bool fails);
  void OnSyncFolder();
  void OnSyncParent() { m_is_folder_durable = true; }
  void OnCreateFolder() { m_is_folder_durable = false; }
  void OnRename(const std::string& from, const std::string& to);
  void OnRemove(const std::string& path);
  std::size_t RandomLength(std::size_t limit);
  const std::string& folder() const { return m_folder; }

 private:
  /** A write, or a change of the length when there are no bytes. */
  struct Change {
    std::size_t m_offset = 0;
    std::string m_bytes;
    // The disk dropped the change when a sync failed; a later sync that
    // succeeds does not cover it.
    bool m_dropped = false;
  };
  struct File {
    std::string m_synced;
    std::vector<Change> m_unsynced;
  };
  using FilePtr = std::shared_ptr<File>;
  struct NameChange {
    std::string m_path;
    FilePtr m_file;  // Null when the name was removed.
  };

  static void Apply(const Change& change, std::string& content);
  bool Chance(double probability);
  void SetName(const std::string& path, const FilePtr& file);

  std::string m_folder;
  std::mt19937_64 m_random;
  double m_failures = 0;
  std::optional<std::uint64_t> m_operations_left;
  std::map<int, FilePtr> m_open;
  std::map<std::string, FilePtr> m_names;
  std::map<std::string, FilePtr> m_durable_names;
  std::vector<NameChange> m_name_changes;
  bool m_is_folder_durable = true;
};

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_TESTS_FAULTY_DISK_H_
