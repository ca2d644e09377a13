// File operations: durable writes, syncs and reads of whole files.
#ifndef BRONZEBARROW_SRC_CONSENSUS_FILE_H_
#define BRONZEBARROW_SRC_CONSENSUS_FILE_H_

#include <string>

#include "bronzebarrow/base/failure.h"
#include "consensus/record.h"

namespace bronzebarrow::consensus {

/** Writes all bytes at the current position of the file descriptor. */
Result<void> WriteAll(int file, ByteView bytes, const std::string& path);

/** Syncs a file's data to disk. */
/** Sets the length of the file and continues to write at its end. */
Result<void> Truncate(int file, off_t bytes, const std::string& path);

Result<void> SyncData(int file, const std::string& path);

/** Syncs a folder to disk, so that created and renamed files are durable. */
Result<void> SyncFolder(const std::string& folder);

/**
 * Writes a whole file through a temporary file, a sync and a rename. After a
 * crash the file is either complete or as it was before the call.
 */
Result<void> WriteFileAtomically(const std::string& folder,
                                 const std::string& name, ByteView bytes);

/** @return the file's bytes. */
Result<Bytes> ReadBytes(const std::string& path);

}  // namespace bronzebarrow::consensus

#endif  // BRONZEBARROW_SRC_CONSENSUS_FILE_H_
