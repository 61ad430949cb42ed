// SentencePiece models (".model"): the library encodes texts in a separate process
// (src/sentencepiece_helper), one per model, which is started when the model is loaded and restarted after it
// has ended. No token boundary is final before the whole text is known, so a text is encoded in one step.
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstring>
#include <mutex>

#include "tokeniser/tokeniser.h"

extern char** environ;

namespace garnethook::tokeniser {
namespace {

constexpr int kResponseTimeoutMs = 10'000;  // the process is killed after this

std::string helperPath() {
  std::string executable(4096, '\0');
  const ssize_t size = ::readlink("/proc/self/exe", executable.data(), executable.size());
  executable.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  return executable.substr(0, executable.rfind('/') + 1) + "garnethook-sentencepiece";
}

class HelperProcess {
 public:
  HelperProcess(const std::string& helper, const std::string& model) {
    int sockets[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, sockets) != 0)
      throw std::runtime_error("no socket pair");
    socket_ = sockets[0];
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, sockets[1], 0);
    posix_spawn_file_actions_adddup2(&actions, sockets[1], 1);
    std::string helperArgument = helper;
    std::string modelArgument = model;
    char* arguments[] = {helperArgument.data(), modelArgument.data(), nullptr};
    const int failed = ::posix_spawn(&pid_, helper.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(sockets[1]);
    if (failed != 0) {
      ::close(socket_);
      throw std::runtime_error(helper + ": can't be started: " + std::strerror(failed));
    }
  }
  ~HelperProcess() {
    ::close(socket_);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  HelperProcess(const HelperProcess&) = delete;
  HelperProcess& operator=(const HelperProcess&) = delete;

  // Returns false if the process has ended or timed out.
  bool readResponse(std::vector<std::uint32_t>& ids, std::string& error) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(kResponseTimeoutMs);
    std::uint32_t count = 0;
    if (!read(&count, sizeof count, deadline)) return false;
    const bool failed = count == 0xffffffff;
    if (failed && !read(&count, sizeof count, deadline)) return false;
    if (count > (64U << 20)) return false;
    if (failed) {
      error.resize(count);
      return read(error.data(), count, deadline);
    }
    ids.resize(count);
    return read(ids.data(), count * sizeof(std::uint32_t), deadline);
  }
  // The helper reads the whole text before it writes, so the two processes cannot deadlock on full buffers.
  bool sendRequest(std::string_view text) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(kResponseTimeoutMs);
    const auto length = static_cast<std::uint32_t>(text.size());
    return write(reinterpret_cast<const char*>(&length), sizeof length, deadline) &&
           write(text.data(), text.size(), deadline);
  }

 private:
  using TimePoint = std::chrono::steady_clock::time_point;
  bool ready(short events, TimePoint deadline) const {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    pollfd descriptor{socket_, events, 0};
    return remaining.count() > 0 && ::poll(&descriptor, 1, static_cast<int>(remaining.count())) > 0;
  }
  bool read(void* buffer, std::size_t size, TimePoint deadline) const {
    auto* position = static_cast<char*>(buffer);
    while (size > 0) {
      if (!ready(POLLIN, deadline)) return false;
      const ssize_t transferred = ::recv(socket_, position, size, 0);
      if (transferred <= 0) return false;
      position += transferred;
      size -= static_cast<std::size_t>(transferred);
    }
    return true;
  }
  bool write(const char* position, std::size_t size, TimePoint deadline) const {
    while (size > 0) {
      if (!ready(POLLOUT, deadline)) return false;
      const ssize_t transferred = ::send(socket_, position, size, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (transferred <= 0) return false;
      position += transferred;
      size -= static_cast<std::size_t>(transferred);
    }
    return true;
  }

  int socket_ = -1;
  pid_t pid_ = -1;
};

class SentencePieceTokeniser final : public Tokeniser {
 public:
  SentencePieceTokeniser(std::string path, const FileOptions& options)
      : path_(std::move(path)), helper_(helperPath()), before_(options.before), behind_(options.behind) {
    if (!options.specialTokens.empty())
      throw FileError(path_ + ": special_tokens: a SentencePiece model has its own");
    try {
      start();
    } catch (const std::runtime_error& e) { throw FileError(path_ + ": " + e.what()); }
  }

  std::optional<std::string> normalised(std::string_view, const TextOptions&) const override {
    return std::nullopt;
  }
  EncodingPosition advance(std::string_view text, EncodingPosition from, std::size_t limit,
                           const TextOptions&, Workspace&, std::vector<TokenId>* ids) const override {
    if (limit < text.size() || from.at >= text.size()) return from;
    std::vector<std::uint32_t> output;
    encode(text, output);
    if (ids != nullptr) ids->insert(ids->end(), output.begin(), output.end());
    return {text.size(), output.size()};
  }
  std::span<const TokenId> before() const override { return before_; }
  std::span<const TokenId> behind() const override { return behind_; }
  std::string bytes(TokenId) const override { return {}; }
  bool supportsIncrementalEncoding() const override { return false; }
  std::size_t memory() const override { return sizeof *this; }  // the model is in the helper process
  std::string describe() const override { return "SentencePiece, " + std::to_string(tokens_) + " tokens"; }

 private:
  void start() const {
    process_ = std::make_unique<HelperProcess>(helper_, path_);
    std::vector<std::uint32_t> size;
    std::string error;
    const bool hasResponse = process_->readResponse(size, error);
    if (hasResponse && error.empty() && size.size() == 1) {
      tokens_ = size[0];
      return;
    }
    process_.reset();
    throw std::runtime_error(error.empty() ? helper_ + " ended" : "no SentencePiece model: " + error);
  }
  // Restarts a process that has ended, at most once per text.
  void encode(std::string_view text, std::vector<std::uint32_t>& ids) const {
    const std::lock_guard lock(mutex_);
    for (int attempt = 0; attempt < 2; ++attempt) {
      if (!process_) start();
      std::string error;
      if (process_->sendRequest(text) && process_->readResponse(ids, error)) {
        if (!error.empty()) throw std::runtime_error("SentencePiece: " + error);
        return;
      }
      process_.reset();
    }
    throw std::runtime_error(helper_ + " ends on a text of " + std::to_string(text.size()) + " octets");
  }

  std::string path_;
  std::string helper_;
  std::vector<TokenId> before_;
  std::vector<TokenId> behind_;
  mutable std::mutex mutex_;
  mutable std::unique_ptr<HelperProcess> process_;
  mutable std::uint32_t tokens_ = 0;
};

}  // namespace

std::shared_ptr<const Tokeniser> startSentencePiece(const std::string& path, const FileOptions& options) {
  return std::make_shared<SentencePieceTokeniser>(path, options);
}

}  // namespace garnethook::tokeniser
