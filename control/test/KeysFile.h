#ifndef AMARANTH_CONTROL_TEST_KEYSFILE_H
#define AMARANTH_CONTROL_TEST_KEYSFILE_H

#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

namespace amaranth::control {

/// A temporary file with mode 0600. The destructor removes it.
class KeysFile {
public:
  explicit KeysFile(const std::string &Text) {
    static unsigned Count = 0;
    Path = std::filesystem::temp_directory_path() /
           ("amaranth_keys_" + std::to_string(::getpid()) + "_" +
            std::to_string(++Count));
    std::ofstream(Path) << Text;
    setMode(0600);
  }
  ~KeysFile() { std::filesystem::remove(Path); }
  KeysFile(const KeysFile &) = delete;
  KeysFile &operator=(const KeysFile &) = delete;

  void setMode(unsigned Mode) const {
    std::filesystem::permissions(Path,
                                 static_cast<std::filesystem::perms>(Mode));
  }
  std::string path() const { return Path.string(); }

private:
  std::filesystem::path Path;
};

} // namespace amaranth::control

#endif
