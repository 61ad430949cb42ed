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

constexpr int kAnswerMs = 10'000;  // the process is killed after this

std::string helperPath() {
  std::string own(4096, '\0');
  const ssize_t size = ::readlink("/proc/self/exe", own.data(), own.size());
  own.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  return own.substr(0, own.rfind('/') + 1) + "garnethook-sentencepiece";
}

class Process {
 public:
  Process(const std::string& helper, const std::string& model) {
    int ends[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0)
      throw std::runtime_error("no socket pair");
    socket_ = ends[0];
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], 0);
    posix_spawn_file_actions_adddup2(&actions, ends[1], 1);
    std::string first = helper;
    std::string second = model;
    char* arguments[] = {first.data(), second.data(), nullptr};
    const int failed = ::posix_spawn(&pid_, helper.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    if (failed != 0) {
      ::close(socket_);
      throw std::runtime_error(helper + ": can't be started: " + std::strerror(failed));
    }
  }
  ~Process() {
    ::close(socket_);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Returns false if the process has ended or timed out.
  bool answer(std::vector<std::uint32_t>& ids, std::string& trouble) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(kAnswerMs);
    std::uint32_t count = 0;
    if (!read(&count, sizeof count, until)) return false;
    const bool failed = count == 0xffffffff;
    if (failed && !read(&count, sizeof count, until)) return false;
    if (count > (64U << 20)) return false;
    if (failed) {
      trouble.resize(count);
      return read(trouble.data(), count, until);
    }
    ids.resize(count);
    return read(ids.data(), count * sizeof(std::uint32_t), until);
  }
  // The helper reads the whole text before it writes, so the two processes cannot deadlock on full buffers.
  bool ask(std::string_view text) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(kAnswerMs);
    const auto length = static_cast<std::uint32_t>(text.size());
    return write(reinterpret_cast<const char*>(&length), sizeof length, until) &&
           write(text.data(), text.size(), until);
  }

 private:
  using Time = std::chrono::steady_clock::time_point;
  bool ready(short what, Time until) const {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
    pollfd p{socket_, what, 0};
    return left.count() > 0 && ::poll(&p, 1, static_cast<int>(left.count())) > 0;
  }
  bool read(void* to, std::size_t size, Time until) const {
    auto* at = static_cast<char*>(to);
    while (size > 0) {
      if (!ready(POLLIN, until)) return false;
      const ssize_t n = ::recv(socket_, at, size, 0);
      if (n <= 0) return false;
      at += n;
      size -= static_cast<std::size_t>(n);
    }
    return true;
  }
  bool write(const char* at, std::size_t size, Time until) const {
    while (size > 0) {
      if (!ready(POLLOUT, until)) return false;
      const ssize_t n = ::send(socket_, at, size, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n <= 0) return false;
      at += n;
      size -= static_cast<std::size_t>(n);
    }
    return true;
  }

  int socket_ = -1;
  pid_t pid_ = -1;
};

class SentencePiece final : public Tokeniser {
 public:
  SentencePiece(std::string path, const FileOptions& options)
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
  Mark advance(std::string_view text, Mark from, std::size_t limit, const TextOptions&, Workspace&,
               std::vector<TokenId>* ids) const override {
    if (limit < text.size() || from.at >= text.size()) return from;
    std::vector<std::uint32_t> out;
    encode(text, out);
    if (ids != nullptr) ids->insert(ids->end(), out.begin(), out.end());
    return {text.size(), out.size()};
  }
  std::span<const TokenId> before() const override { return before_; }
  std::span<const TokenId> behind() const override { return behind_; }
  std::string bytes(TokenId) const override { return {}; }
  bool inParts() const override { return false; }
  std::size_t memory() const override { return sizeof *this; }  // the model is in the helper process
  std::string describe() const override { return "SentencePiece, " + std::to_string(tokens_) + " tokens"; }

 private:
  void start() const {
    process_ = std::make_unique<Process>(helper_, path_);
    std::vector<std::uint32_t> size;
    std::string trouble;
    const bool answered = process_->answer(size, trouble);
    if (answered && trouble.empty() && size.size() == 1) {
      tokens_ = size[0];
      return;
    }
    process_.reset();
    throw std::runtime_error(trouble.empty() ? helper_ + " ended" : "no SentencePiece model: " + trouble);
  }
  // Restarts a process that has ended, at most once per text.
  void encode(std::string_view text, std::vector<std::uint32_t>& ids) const {
    const std::lock_guard lock(mutex_);
    for (int attempt = 0; attempt < 2; ++attempt) {
      if (!process_) start();
      std::string trouble;
      if (process_->ask(text) && process_->answer(ids, trouble)) {
        if (!trouble.empty()) throw std::runtime_error("SentencePiece: " + trouble);
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
  mutable std::unique_ptr<Process> process_;
  mutable std::uint32_t tokens_ = 0;
};

}  // namespace

std::shared_ptr<const Tokeniser> startSentencePiece(const std::string& path, const FileOptions& options) {
  return std::make_shared<SentencePiece>(path, options);
}

}  // namespace garnethook::tokeniser
