/// @file
/// Incremental parser for server-sent events (HTML Living Standard, section 9.2). Performs no I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace garnethook::http1 {

/// Splits a stream into events.
class EventStreamParser {
 public:
  /// One event.
  struct Event {
    std::string type;  ///< Its type; empty means "message".
    std::string data;  ///< Its data lines, joined by line feeds.
  };
  /// Receives each complete event.
  using Handler = std::function<void(const Event&)>;
  /// `maxEventBytes` bounds the size of one event, including its incomplete last line.
  EventStreamParser(std::size_t maxEventBytes, Handler handler)
      : maxEventBytes_(maxEventBytes), handler_(std::move(handler)) {}

  /// Sets the handler for comment lines, passed without their leading colon. Without a handler, comments are
  /// ignored.
  void onComment(std::function<void(std::string_view)> handler) { commentHandler_ = std::move(handler); }
  /// Parses the next bytes of the stream. Returns false once an event has exceeded the size limit; all
  /// further input is then ignored.
  bool receive(std::string_view bytes);
  /// Whether the stream, if it ends here, ends inside an event; an incomplete comment line does not count. An
  /// event without its terminating empty line is dropped, as the standard requires.
  bool endedMidEvent() const { return hasData_ || (!line_.empty() && line_.front() != ':'); }
  /// The data received so far of an event that is not complete; none if no data line has begun. Empty while
  /// the line's name is being received.
  std::optional<std::string_view> partialData() const;
  /// Whether an incomplete line or event is buffered.
  bool hasPartialInput() const { return !line_.empty() || !event_.data.empty() || hasData_; }

 private:
  void processLine();
  std::size_t maxEventBytes_;
  Handler handler_;
  std::function<void(std::string_view)> commentHandler_;
  std::string line_;
  Event event_;
  bool hasData_ = false;
  bool previousWasCr_ = false;
  bool isFirstLine_ = true;
  bool hasFailed_ = false;
};

}  // namespace garnethook::http1
