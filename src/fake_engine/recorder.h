// What went over the wire, one event after the other, for the audit. Written as JSON lines.
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
  // `keeps`: false for long runs that nobody audits.
  explicit Recorder(Clock clock, bool keeps = true) : clock_(std::move(clock)), keeps_(keeps) {}
  // `what`: kind of the event; "t" (microseconds) and "what" are added to `fields`.
  void note(const std::string& what, nlohmann::json fields) {
    if (!keeps_) return;
    fields["t"] = clock_();
    fields["what"] = what;
    events_.push_back(std::move(fields));
  }
  const std::vector<nlohmann::json>& events() const { return events_; }
  void write(std::ostream& out) const {
    for (const auto& e : events_) out << e.dump() << '\n';
  }

 private:
  Clock clock_;
  bool keeps_;
  std::vector<nlohmann::json> events_;
};

}  // namespace garnethook::fake_engine
