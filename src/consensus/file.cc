// POSIX file operations that report failures as error codes.
#include "consensus/file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

#include "bronzebarrow/base/settings.h"

namespace bronzebarrow::consensus {
namespace {

boost::leaf::error_id DiskFailure(const std::string& path) {
  return Fail(ErrorCode::kDiskWriteFailed, path + ": " + std::strerror(errno));
}

}  // namespace

Result<void> WriteAll(int file, ByteView bytes, const std::string& path) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(file, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return DiskFailure(path);
    }
    bytes = bytes.subspan(static_cast<std::size_t>(written));
  }
  return {};
}

Result<void> Truncate(int file, off_t bytes, const std::string& path) {
  if (::ftruncate(file, bytes) != 0 || ::lseek(file, bytes, SEEK_SET) < 0) {
    return DiskFailure(path);
  }
  return {};
}

Result<void> SyncData(int file, const std::string& path) {
  if (::fdatasync(file) != 0) {
    return DiskFailure(path);
  }
  return {};
}

Result<void> SyncFolder(const std::string& folder) {
  const int handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (handle < 0) {
    return DiskFailure(folder);
  }
  const int synced = ::fsync(handle);
  ::close(handle);
  if (synced != 0) {
    return DiskFailure(folder);
  }
  return {};
}

Result<void> WriteFileAtomically(const std::string& folder,
                                 const std::string& name, ByteView bytes) {
  const std::string path = folder + "/" + name;
  const std::string temporary = path + ".tmp";
  const int file =
      ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (file < 0) {
    return DiskFailure(temporary);
  }
  const auto written = Capture<bool>([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(WriteAll(file, bytes, temporary));
    BOOST_LEAF_CHECK(SyncData(file, temporary));
    return true;
  });
  ::close(file);
  if (const auto* failure = std::get_if<Failure>(&written)) {
    std::remove(temporary.c_str());  // Frees its space on a full disk.
    return boost::leaf::new_error(*failure);
  }
  if (std::rename(temporary.c_str(), path.c_str()) != 0) {
    const auto error = DiskFailure(path);
    std::remove(temporary.c_str());
    return error;
  }
  return SyncFolder(folder);
}

Result<Bytes> ReadBytes(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadFile(path, ErrorCode::kDataFolderUnusable));
  return Bytes(text.begin(), text.end());
}

}  // namespace bronzebarrow::consensus
