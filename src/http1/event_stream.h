// Server-sent events (HTML Living Standard, section 9.2), parsed piece by piece. Free of I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace garnethook::http1 {

class EventStreamParser {
 public:
  struct Event {
    std::string type;  // empty: "message"
    std::string data;
  };
  using Handler = std::function<void(const Event&)>;
  // `most`: bytes of one event, its unfinished line included.
  EventStreamParser(std::size_t most, Handler handler) : most_(most), handler_(std::move(handler)) {}

  // Comment lines, without their colon; passed over where nobody listens.
  void onComment(std::function<void(std::string_view)> handler) { comment_ = std::move(handler); }
  // False: an event went beyond the bound; nothing more is taken.
  bool receive(std::string_view bytes);
  // An event without the empty line that ends it is dropped, as the standard says.
  // The stream ends in the middle of an event's lines; an unfinished comment is none.
  bool endedMidEvent() const { return hasData_ || (!line_.empty() && line_.front() != ':'); }
  bool hasPartialInput() const { return !line_.empty() || !event_.data.empty() || hasData_; }

 private:
  void line();
  std::size_t most_;
  Handler handler_;
  std::function<void(std::string_view)> comment_;
  std::string line_;
  Event event_;
  bool hasData_ = false;
  bool afterCr_ = false;
  bool first_ = true;
  bool failed_ = false;
};

}  // namespace garnethook::http1
