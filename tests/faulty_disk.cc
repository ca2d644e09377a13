// FaultyDisk: what is left after a loss of power, and the replaced functions.
#include "faulty_disk.h"

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <utility>

namespace bronzebarrow {
namespace {

FaultyDisk* g_disk = nullptr;

template <typename Function>
Function Original(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

int FailWith(int error) {
  errno = error;
  return -1;
}

}  // namespace

FaultyDisk::FaultyDisk(std::string folder, std::uint64_t seed)
    : m_folder(std::move(folder)), m_random(seed) {
  g_disk = this;
}

FaultyDisk::~FaultyDisk() { g_disk = nullptr; }

bool FaultyDisk::Chance(double probability) {
  return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

std::size_t FaultyDisk::RandomLength(std::size_t limit) {
  return std::uniform_int_distribution<std::size_t>(0, limit)(m_random);
}

bool FaultyDisk::Covers(const std::string& path) const {
  return path.starts_with(m_folder + "/");
}

bool FaultyDisk::Fails() {
  if (m_operations_left) {
    if (*m_operations_left == 0) {
      return true;
    }
    --*m_operations_left;
  }
  return Chance(m_failures);
}

void FaultyDisk::Revive() {
  m_operations_left.reset();
  for (const auto& [path, file] : m_names) {
    for (Change& change : file->m_unsynced) {
      change.m_dropped = false;
    }
  }
}

void FaultyDisk::SetName(const std::string& path, const FilePtr& file) {
  m_name_changes.push_back({path, file});
  if (file) {
    m_names[path] = file;
  } else {
    m_names.erase(path);
  }
}

void FaultyDisk::OnOpen(int file, const std::string& path, bool truncates) {
  if (!m_names.contains(path)) {
    SetName(path, std::make_shared<File>());
  }
  m_open[file] = m_names[path];
  if (truncates) {
    OnSetLength(file, 0);
  }
}

void FaultyDisk::OnWrite(int file, std::size_t offset, std::string bytes) {
  m_open[file]->m_unsynced.push_back({offset, std::move(bytes)});
}

void FaultyDisk::OnSetLength(int file, std::size_t length) {
  m_open[file]->m_unsynced.push_back({length, ""});
}

void FaultyDisk::OnSync(int file, bool fails) {
  File& synced = *m_open[file];
  if (fails) {
    for (Change& change : synced.m_unsynced) {
      change.m_dropped = change.m_dropped || Chance(0.5);
    }
    return;
  }
  for (const Change& change : std::exchange(synced.m_unsynced, {})) {
    if (!change.m_dropped) {
      Apply(change, synced.m_synced);
    }
  }
}

void FaultyDisk::OnSyncFolder() {
  m_durable_names = m_names;
  m_name_changes.clear();
}

void FaultyDisk::OnRename(const std::string& from, const std::string& to) {
  const FilePtr file = m_names[from];
  SetName(to, file);
  SetName(from, nullptr);
}

void FaultyDisk::OnRemove(const std::string& path) { SetName(path, nullptr); }

void FaultyDisk::Apply(const Change& change, std::string& content) {
  if (change.m_bytes.empty()) {
    content.resize(change.m_offset);
    return;
  }
  if (content.size() < change.m_offset + change.m_bytes.size()) {
    content.resize(change.m_offset + change.m_bytes.size());
  }
  content.replace(change.m_offset, change.m_bytes.size(), change.m_bytes);
}

void FaultyDisk::LosePower() {
  for (const NameChange& change : std::exchange(m_name_changes, {})) {
    if (Chance(0.5)) {
      if (change.m_file) {
        m_durable_names[change.m_path] = change.m_file;
      } else {
        m_durable_names.erase(change.m_path);
      }
    }
  }
  std::filesystem::remove_all(m_folder);
  if (!m_is_folder_durable && Chance(0.5)) {
    m_durable_names.clear();
    m_names.clear();
    return;
  }
  std::filesystem::create_directories(m_folder);
  m_is_folder_durable = true;
  const bool loses_all = Chance(0.3);
  for (auto& [path, file] : m_durable_names) {
    // Both names of a file may be left after a rename.
    file = std::make_shared<File>(*file);
    for (Change& change : std::exchange(file->m_unsynced, {})) {
      if (loses_all || change.m_dropped || Chance(0.25)) {
        continue;
      }
      if (Chance(0.25)) {
        change.m_bytes.resize(RandomLength(change.m_bytes.size()));
        if (change.m_bytes.empty()) {
          continue;
        }
      }
      Apply(change, file->m_synced);
    }
    std::ofstream(path, std::ios::binary) << file->m_synced;
  }
  m_names = m_durable_names;
}

}  // namespace bronzebarrow

// The functions below replace those of the C library for this test program.

using bronzebarrow::FailWith;
using bronzebarrow::g_disk;
using bronzebarrow::Original;

extern "C" int open(const char* path, int flags, ...) {
  mode_t mode = 0;
  if ((flags & O_CREAT) != 0) {
    va_list arguments;
    va_start(arguments, flags);
    mode = va_arg(arguments, mode_t);
    va_end(arguments);
  }
  static const auto original = Original<int (*)(const char*, int, ...)>("open");
  const bool covered = g_disk != nullptr && g_disk->Covers(path);
  if (covered && g_disk->Fails()) {
    return FailWith(EMFILE);
  }
  const int file = original(path, flags, mode);
  if (covered && file >= 0) {
    g_disk->OnOpen(file, path, (flags & O_TRUNC) != 0);
  }
  return file;
}

extern "C" int close(int file) {
  static const auto original = Original<int (*)(int)>("close");
  if (g_disk != nullptr) {
    g_disk->OnClose(file);
  }
  return original(file);
}

extern "C" ssize_t write(int file, const void* bytes, std::size_t size) {
  static const auto original =
      Original<ssize_t (*)(int, const void*, std::size_t)>("write");
  if (g_disk == nullptr || !g_disk->IsOpen(file)) {
    return original(file, bytes, size);
  }
  const std::size_t accepted =
      g_disk->Fails() ? g_disk->RandomLength(size - 1) : size;
  if (accepted == 0) {
    return FailWith(ENOSPC);
  }
  const bool appends = (::fcntl(file, F_GETFL) & O_APPEND) != 0;
  const off_t offset = ::lseek(file, 0, appends ? SEEK_END : SEEK_CUR);
  const ssize_t written = original(file, bytes, accepted);
  g_disk->OnWrite(file, static_cast<std::size_t>(offset),
                  {static_cast<const char*>(bytes), accepted});
  return written;
}

extern "C" int ftruncate(int file, off_t length) noexcept {
  static const auto original = Original<int (*)(int, off_t)>("ftruncate");
  if (g_disk != nullptr && g_disk->IsOpen(file)) {
    if (g_disk->Fails()) {
      return FailWith(EIO);
    }
    g_disk->OnSetLength(file, static_cast<std::size_t>(length));
  }
  return original(file, length);
}

extern "C" int fdatasync(int file) {
  if (g_disk != nullptr && g_disk->IsOpen(file)) {
    const bool fails = g_disk->Fails();
    g_disk->OnSync(file, fails);
    return fails ? FailWith(EIO) : 0;
  }
  return 0;
}

extern "C" int fsync(int file) {
  if (g_disk == nullptr) {
    return 0;
  }
  if (g_disk->Fails()) {
    return FailWith(EIO);
  }
  if (g_disk->IsOpen(file)) {
    g_disk->OnSync(file, false);
    return 0;
  }
  const std::string folder =
      std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(file));
  if (folder == g_disk->folder()) {
    g_disk->OnSyncFolder();
  } else if (std::filesystem::path(g_disk->folder()).parent_path() == folder) {
    g_disk->OnSyncParent();
  }
  return 0;
}

extern "C" int rename(const char* from, const char* to) noexcept {
  static const auto original =
      Original<int (*)(const char*, const char*)>("rename");
  const bool covered = g_disk != nullptr && g_disk->Covers(from);
  if (covered && g_disk->Fails()) {
    return FailWith(EIO);
  }
  const int result = original(from, to);
  if (covered && result == 0) {
    g_disk->OnRename(from, to);
  }
  return result;
}

extern "C" int remove(const char* path) noexcept {
  static const auto original = Original<int (*)(const char*)>("remove");
  const bool covered = g_disk != nullptr && g_disk->Covers(path);
  if (covered && g_disk->Fails()) {
    return FailWith(EIO);
  }
  const int result = original(path);
  if (covered && result == 0) {
    g_disk->OnRemove(path);
  }
  return result;
}

extern "C" int mkdir(const char* path, mode_t mode) noexcept {
  static const auto original = Original<int (*)(const char*, mode_t)>("mkdir");
  const int result = original(path, mode);
  if (result == 0 && g_disk != nullptr && g_disk->folder() == path) {
    g_disk->OnCreateFolder();
  }
  return result;
}
