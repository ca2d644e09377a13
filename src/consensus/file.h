// Synced file operations.
#ifndef BRONZEBARROW_SRC_CONSENSUS_FILE_H_
#define BRONZEBARROW_SRC_CONSENSUS_FILE_H_

#include <string>

#include "bronzebarrow/base/failure.h"
#include "consensus/record.h"

namespace bronzebarrow::consensus {

/** Writes all bytes at the file's position. */
Result<void> WriteAll(int file, ByteView bytes, const std::string& path);

/** Makes a file's data durable. */
Result<void> SyncData(int file, const std::string& path);

/** Makes the names within a folder durable. */
Result<void> SyncFolder(const std::string& folder);

/** Writes a whole file so that after a crash it is there whole or not at all.
 */
Result<void> WriteFileAtomically(const std::string& folder,
                                 const std::string& name, ByteView bytes);

/** @return the file's bytes. */
Result<Bytes> ReadBytes(const std::string& path);

}  // namespace bronzebarrow::consensus

#endif  // BRONZEBARROW_SRC_CONSENSUS_FILE_H_
