#include "http1/event_stream.h"

#include <utility>

namespace garnethook::http1 {

bool EventStreamParser::receive(std::string_view in) {
  while (!in.empty() && !failed_) {
    if (std::exchange(afterCr_, false) && in.front() == '\n') {
      in.remove_prefix(1);
      continue;
    }
    const auto end = in.find_first_of("\r\n");
    const auto part = in.substr(0, end);
    if (line_.size() + event_.data.size() + part.size() > most_) failed_ = true;
    if (failed_) break;
    line_.append(part);
    if (end == std::string_view::npos) break;
    afterCr_ = in[end] == '\r';
    in.remove_prefix(end + 1);
    line();
  }
  return !failed_;
}

void EventStreamParser::line() {
  std::string_view text = line_;
  if (std::exchange(first_, false) && text.starts_with("\xef\xbb\xbf")) text.remove_prefix(3);
  if (text.empty()) {
    const Event event = std::exchange(event_, {});
    if (std::exchange(hasData_, false)) handler_(event);
  } else if (text.front() == ':') {
    if (comment_) comment_(text.substr(1));
  } else {
    const auto colon = text.find(':');
    const auto name = text.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
    if (value.starts_with(' ')) value.remove_prefix(1);
    if (name == "data") {
      if (hasData_) event_.data.push_back('\n');
      event_.data.append(value);
      hasData_ = true;
    } else if (name == "event") {
      event_.type = value;
    }
  }
  line_.clear();
}

}  // namespace garnethook::http1
