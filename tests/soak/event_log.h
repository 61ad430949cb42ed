// Event log of a soak's processes: one line per event, one file per process. Times are those of the machine's
// monotonic clock, which all processes share.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace garnethook::soak {

using Micros = std::int64_t;
inline constexpr Micros kMillisecond = 1000;
inline constexpr Micros kSecond = 1'000'000;

inline Micros monotonicNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// One line: `TIME KIND name=value ...`; values contain no spaces.
struct LoggedEvent {
  Micros at = 0;
  std::string kind;
  std::map<std::string, std::string> fields;

  std::string text(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
  Micros number(const std::string& name) const {
    const std::string value = text(name);
    return value.empty() ? 0 : std::stoll(value);
  }
};

/// Appends events to a file. Each line is one write, so that lines of different threads do not interleave.
class EventLog {
 public:
  explicit EventLog(const std::string& path)
      : file_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600)) {
    if (file_ < 0) throw std::runtime_error("cannot open event log for writing: " + path);
  }
  ~EventLog() { ::close(file_); }
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void write(const std::string& kindAndFields) const { write(monotonicNow(), kindAndFields); }
  void write(Micros at, const std::string& kindAndFields) const {
    const std::string line = std::to_string(at) + " " + kindAndFields + "\n";
    if (::write(file_, line.data(), line.size()) < 0)
      throw std::runtime_error("cannot write to the event log");
  }

 private:
  int file_;
};

/// Parses one line; throws std::runtime_error if it is malformed, as a line truncated by a kill is.
inline LoggedEvent parseEvent(const std::string& line) {
  std::istringstream words(line);
  LoggedEvent out;
  if (!(words >> out.at >> out.kind)) throw std::runtime_error("malformed event line: " + line);
  for (std::string word; words >> word;) {
    const auto equals = word.find('=');
    if (equals == std::string::npos) throw std::runtime_error("event field without '=': " + word);
    out.fields[word.substr(0, equals)] = word.substr(equals + 1);
  }
  return out;
}

inline std::vector<LoggedEvent> readEvents(const std::string& path) {
  std::vector<LoggedEvent> out;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) out.push_back(parseEvent(line));
  return out;
}

}  // namespace garnethook::soak
