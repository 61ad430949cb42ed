#include "config/file_text.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <span>
#include <system_error>
#include <thread>
#include <vector>

namespace garnethook::config {
namespace {

constexpr int kMaxAttempts = 24;
constexpr std::chrono::milliseconds kRetryInterval{2};
constexpr std::size_t kBufferBytes = std::size_t{64} * 1024;

// Owns a file descriptor.
class OpenFile {
 public:
  explicit OpenFile(const std::string& path) : descriptor_(::open(path.c_str(), O_RDONLY | O_CLOEXEC)) {}
  ~OpenFile() {
    if (isOpen()) ::close(descriptor_);
  }
  OpenFile(const OpenFile&) = delete;
  OpenFile& operator=(const OpenFile&) = delete;

  bool isOpen() const { return descriptor_ >= 0; }
  ssize_t read(std::span<char> buffer) const { return ::read(descriptor_, buffer.data(), buffer.size()); }

 private:
  int descriptor_;
};

// Makes one attempt to read the file into `text`; returns 0 or the error number.
int readOnce(const std::string& path, std::string& text) {
  text.clear();
  const OpenFile file(path);
  if (!file.isOpen()) return errno;
  std::vector<char> buffer(kBufferBytes);
  while (true) {
    const auto count = file.read(buffer);
    if (count == 0) return 0;
    if (count > 0)
      text.append(buffer.data(), static_cast<std::size_t>(count));
    else if (errno != EINTR)
      return errno;
  }
}

}  // namespace

bool isTransientError(int error) {
  return error == EINTR || error == EAGAIN || error == EMFILE || error == ENFILE || error == ENOMEM ||
         error == ENOBUFS || error == EIO;
}

std::string readFileText(const std::string& path) {
  std::string text;
  for (int attempt = 1;; ++attempt) {
    const int error = readOnce(path, text);
    if (error == 0) return text;
    if (attempt == kMaxAttempts || !isTransientError(error))
      throw std::system_error(error, std::generic_category(), path);
    std::this_thread::sleep_for(kRetryInterval);
  }
}

}  // namespace garnethook::config
