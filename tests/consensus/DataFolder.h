/// A data folder that is removed at the end of the test.
#ifndef DRAGONFLY_TESTS_CONSENSUS_DATAFOLDER_H
#define DRAGONFLY_TESTS_CONSENSUS_DATAFOLDER_H

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <string>

namespace dragonfly::consensus {

class DataFolder {
public:
  DataFolder() {
    std::string Pattern =
        std::filesystem::temp_directory_path() / "dragonfly-XXXXXX";
    Path_ = mkdtemp(Pattern.data());
  }
  DataFolder(const DataFolder &) = delete;
  DataFolder &operator=(const DataFolder &) = delete;
  ~DataFolder() { std::filesystem::remove_all(Path_); }

  const std::string &path() const { return Path_; }

  std::string lastSegment() const {
    std::string Last;
    for (const auto &Entry : std::filesystem::directory_iterator(Path_))
      if (Entry.path().extension() == ".segment")
        Last = std::max(Last, Entry.path().string());
    return Last;
  }

private:
  std::string Path_;
};

} // namespace dragonfly::consensus

#endif // DRAGONFLY_TESTS_CONSENSUS_DATAFOLDER_H
