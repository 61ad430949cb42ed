#include "log/stderr_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <string>

namespace garnethook::log {
namespace {

constexpr int kMaxInterruptedCalls = 16;

// Whether a write of up to PIPE_BUF bytes will not block.
bool isWritable() {
  pollfd request{STDERR_FILENO, POLLOUT, 0};
  int ready = ::poll(&request, 1, 0);
  for (int call = 0; call < kMaxInterruptedCalls && ready < 0 && errno == EINTR; ++call)
    ready = ::poll(&request, 1, 0);
  return ready > 0 && (request.revents & POLLOUT) != 0;
}

}  // namespace

bool StderrSink::write(std::string_view text) {
  while (!text.empty()) {
    if (!isWritable()) return false;
    const auto count = ::write(STDERR_FILENO, text.data(), std::min<std::size_t>(text.size(), PIPE_BUF));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return false;
    text.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

void StderrSink::sink_it_(const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  std::string text(lastLineIncomplete_ ? "\n" : "");
  if (unreportedDrops_ > 0)
    text += R"({"level":"warning","event":"log-lines-dropped","count":)" + std::to_string(unreportedDrops_) +
            "}\n";
  text.append(line.data(), line.size());
  if (!isWritable()) {
    ++dropped_;
    ++unreportedDrops_;
    return;
  }
  lastLineIncomplete_ = !write(text);
  unreportedDrops_ = lastLineIncomplete_ ? 1 : 0;
  if (lastLineIncomplete_) ++dropped_;
}

}  // namespace garnethook::log
