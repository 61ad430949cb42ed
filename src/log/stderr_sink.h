/// A log sink for standard error that never blocks the program.
///
/// The reader of a pipe may be slow, stopped or gone. A line that the pipe does not accept immediately is
/// dropped; the next line that is written reports the number of dropped lines. Files and terminals accept
/// every line.
#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <string_view>

namespace garnethook::log {

/// Non-blocking sink for standard error. Not thread-safe.
class StderrSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  /// Number of lines dropped since the start.
  std::uint64_t dropped() const { return dropped_; }

 protected:
  /// Writes a formatted line, or drops it.
  void sink_it_(const spdlog::details::log_msg& message) override;
  /// Nothing is buffered.
  void flush_() override {}

 private:
  // Returns false if the text was not written completely, because a write would block or failed.
  static bool write(std::string_view text);
  std::uint64_t dropped_ = 0;
  std::uint64_t unreportedDrops_ = 0;  // dropped since the last line that reported drops
  bool lastLineIncomplete_ = false;
};

}  // namespace garnethook::log
