// Octets to lines, bounded. Free of I/O.
#pragma once

#include <string>
#include <string_view>

namespace garnethook::platform {

class LineSplitter {
 public:
  explicit LineSplitter(std::size_t most) : most_(most) {}
  // Calls `line` for each whole one, without its end. False: one is longer than the bound.
  template <class Line>
  bool receive(std::string_view octets, Line line) {
    while (!octets.empty()) {
      const auto end = octets.find('\n');
      const auto part = octets.substr(0, end);
      if (held_.size() + part.size() > most_) return false;
      held_.append(part);
      if (end == std::string_view::npos) return true;
      octets.remove_prefix(end + 1);
      if (!held_.empty() && held_.back() == '\r') held_.pop_back();
      line(std::string_view(held_));
      held_.clear();
    }
    return true;
  }
  void clear() { held_.clear(); }

 private:
  std::size_t most_;
  std::string held_;
};

}  // namespace garnethook::platform
