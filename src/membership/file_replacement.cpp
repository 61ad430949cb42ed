#include "membership/file_replacement.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace garnethook::membership {
namespace {

using Step = FileReplacementError::Step;

constexpr mode_t kFileMode = 0644;

std::string_view stepErrorText(Step step) {
  switch (step) {
    case Step::create: return "cannot be created";
    case Step::write: return "cannot be written";
    case Step::flush: return "cannot be flushed";
    case Step::rename: return "cannot be renamed";
  }
  return "cannot be replaced";
}

// Closes the descriptor at the end of its scope.
class FileDescriptor {
 public:
  explicit FileDescriptor(int fd) : fd_(fd) {}
  ~FileDescriptor() {
    if (isOpen()) ::close(fd_);
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  bool isOpen() const { return fd_ >= 0; }
  int get() const { return fd_; }

 private:
  int fd_;
};

void writeAll(const FileDescriptor& file, const std::string& path, std::string_view text) {
  std::size_t bytesWritten = 0;
  while (bytesWritten < text.size()) {
    const auto count = ::write(file.get(), text.data() + bytesWritten, text.size() - bytesWritten);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) throw FileReplacementError(Step::write, path, errno);
    bytesWritten += static_cast<std::size_t>(count);
  }
}

void writeNewFile(const std::string& path, std::string_view text) {
  const FileDescriptor file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
  if (!file.isOpen()) throw FileReplacementError(Step::create, path, errno);
  writeAll(file, path, text);
  if (::fsync(file.get()) != 0) throw FileReplacementError(Step::flush, path, errno);
}

// Makes the rename durable. Errors are ignored: without the sync a crash may restore the old file, which is
// acceptable.
void syncParentDirectory(const std::string& path) {
  const auto slash = path.rfind('/');
  const std::string directoryPath = slash == std::string::npos ? "." : path.substr(0, slash + 1);
  const FileDescriptor directory(::open(directoryPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (directory.isOpen()) ::fsync(directory.get());
}

}  // namespace

FileReplacementError::FileReplacementError(Step step, const std::string& path, int errorNumber)
    : std::runtime_error(path + ": " + std::string(stepErrorText(step)) + ": " + std::strerror(errorNumber)),
      step_(step),
      errorNumber_(errorNumber) {}

void replaceFile(const std::string& path, std::string_view text) {
  const std::string newPath = path + ".new";
  writeNewFile(newPath, text);
  if (::rename(newPath.c_str(), path.c_str()) != 0) throw FileReplacementError(Step::rename, newPath, errno);
  syncParentDirectory(path);
}

}  // namespace garnethook::membership
