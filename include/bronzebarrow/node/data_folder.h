// Opens a member's data folder and writes to it in spite of faults of the disk.
#ifndef BRONZEBARROW_NODE_DATA_FOLDER_H_
#define BRONZEBARROW_NODE_DATA_FOLDER_H_

#include <memory>
#include <string>
#include <vector>

#include "bronzebarrow/base/failure.h"
#include "bronzebarrow/consensus.h"

namespace bronzebarrow::node {

struct DataFolderSettings {
  std::string m_folder;  // Path of the data folder.
  std::string m_member;  // Name of the member that owns the folder.
  /**
   * Initial members of the group, if this member is to create it in a folder
   * without data; empty: it joins an existing group.
   */
  std::vector<std::string> m_initial_members;
};

/**
 * Opens the folder. Only data that is provably lost is discarded, and the
 * member is then a new generation; any other obstacle is waited for, since the
 * data may be intact behind it.
 */
Result<std::unique_ptr<consensus::LogStore>> OpenDataFolder(
    const DataFolderSettings& settings);

/**
 * Blocks while the disk rejects writes. Until the batch is stored the member
 * acknowledges nothing; as the leader it offers the leadership to another one.
 */
void WriteUntilStored(consensus::LogStore& store,
                      const consensus::DurableBatchOut& batch);

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_DATA_FOLDER_H_
