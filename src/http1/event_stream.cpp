#include "http1/event_stream.h"

#include <utility>

namespace garnethook::http1 {

bool EventStreamParser::receive(std::string_view bytes) {
  while (!bytes.empty() && !hasFailed_) {
    if (std::exchange(previousWasCr_, false) && bytes.front() == '\n') {
      bytes.remove_prefix(1);
      continue;
    }
    const auto lineEnd = bytes.find_first_of("\r\n");
    const auto segment = bytes.substr(0, lineEnd);
    if (line_.size() + event_.data.size() + segment.size() > maxEventBytes_) hasFailed_ = true;
    if (hasFailed_) break;
    line_.append(segment);
    if (lineEnd == std::string_view::npos) break;
    previousWasCr_ = bytes[lineEnd] == '\r';
    bytes.remove_prefix(lineEnd + 1);
    processLine();
  }
  return !hasFailed_;
}

std::optional<std::string_view> EventStreamParser::partialData() const {
  constexpr std::string_view kDataField = "data:";
  if (hasData_) return event_.data;
  std::string_view line = line_;
  if (line.empty()) return std::nullopt;
  if (kDataField.starts_with(line)) return std::string_view();
  if (!line.starts_with(kDataField)) return std::nullopt;
  line.remove_prefix(kDataField.size());
  if (line.starts_with(' ')) line.remove_prefix(1);
  return line;
}

void EventStreamParser::processLine() {
  std::string_view line = line_;
  if (std::exchange(isFirstLine_, false) && line.starts_with("\xef\xbb\xbf")) line.remove_prefix(3);
  if (line.empty()) {
    const Event event = std::exchange(event_, {});
    if (std::exchange(hasData_, false)) handler_(event);
  } else if (line.front() == ':') {
    if (commentHandler_) commentHandler_(line.substr(1));
  } else {
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
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
