// Records the events of a run in order, for the audit. They are written as JSON lines.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace garnethook::fake_engine {

class Recorder {
 public:
  using Clock = std::function<std::int64_t()>;
  // `enabled`: false for long runs without an audit.
  explicit Recorder(Clock clock, bool enabled = true) : clock_(std::move(clock)), enabled_(enabled) {}
  // `eventType`: type of the event. "t" (microseconds) and "what" are added to `fields`.
  void note(const std::string& eventType, nlohmann::json fields) {
    if (!enabled_) return;
    fields["t"] = clock_();
    fields["what"] = eventType;
    events_.push_back(std::move(fields));
  }
  const std::vector<nlohmann::json>& events() const { return events_; }
  void write(std::ostream& out) const {
    for (const auto& event : events_) out << event.dump() << '\n';
  }

 private:
  Clock clock_;
  bool enabled_;
  std::vector<nlohmann::json> events_;
};

}  // namespace garnethook::fake_engine
