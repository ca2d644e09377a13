// A temporary folder, removed with its contents on destruction.
#ifndef BRONZEBARROW_TESTS_SCRATCH_FOLDER_H_
#define BRONZEBARROW_TESTS_SCRATCH_FOLDER_H_

#include <stdlib.h>

#include <filesystem>
#include <string>

namespace bronzebarrow {

class ScratchFolder {
 public:
  ScratchFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "bronzebarrow-XXXXXX")
            .string();
    m_path = ::mkdtemp(pattern.data());
  }
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;
  ~ScratchFolder() {
    std::error_code error;
    std::filesystem::remove_all(m_path, error);
  }

  const std::string& path() const { return m_path; }

 private:
  std::string m_path;
};

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_TESTS_SCRATCH_FOLDER_H_
