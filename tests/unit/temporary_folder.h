// A folder for the files of one test.
#ifndef ZINNIAMUX_TESTS_UNIT_TEMPORARY_FOLDER_H_
#define ZINNIAMUX_TESTS_UNIT_TEMPORARY_FOLDER_H_

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace zinniamux::tests {

// Removed with all its files when the object ends.
class TemporaryFolder {
 public:
  // `name` is unique among the tests.
  explicit TemporaryFolder(const std::string& name)
      : path_(std::filesystem::temp_directory_path() /
              ("zinniamux_" + name + "_" + std::to_string(getpid()))) {
    std::filesystem::create_directories(path_);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::string path() const { return path_.string(); }

  // Writes a file, with its folders, and returns its path.
  std::string Write(const std::string& name, const std::string& content) const {
    const std::filesystem::path file = path_ / name;
    std::filesystem::create_directories(file.parent_path());
    std::ofstream(file) << content;
    return file.string();
  }

 private:
  const std::filesystem::path path_;
};

}  // namespace zinniamux::tests

#endif  // ZINNIAMUX_TESTS_UNIT_TEMPORARY_FOLDER_H_
