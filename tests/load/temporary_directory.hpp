#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <system_error>

namespace load {

/// A new temporary directory, which the destructor deletes with its contents.
class TemporaryDirectory {
 public:
  /// Creates the directory. Throws std::runtime_error on failure.
  TemporaryDirectory() {
    path_ = (std::filesystem::temp_directory_path() / "mixed-versions-XXXXXX").string();
    if (mkdtemp(path_.data()) == nullptr)
      throw std::runtime_error("cannot create directory " + path_);
  }
  ~TemporaryDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  /// The directory's path.
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace load
