#include "fault_scenario/audit.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>

namespace garnethook::fault_scenario {
namespace {

using nlohmann::json;
using Time = std::int64_t;
constexpr Time kNever = std::numeric_limits<Time>::max();

struct AttemptInterval {
  Time start = 0;
  Time end = kNever;
  std::string engine;
  std::string phase;
  bool rejected = false;  // the engine did not execute it
};

struct KvStateInterval {
  Time start = 0;
  Time end = kNever;
  std::string engine;
  std::string endReason;
  std::uint64_t block = 0;
};

struct RequestHistory {
  Time sentTime = -1;
  Time deadline = kNever;
  std::string idempotency;
  std::string router;
  std::vector<std::string> finalCodes;
  Time finalTime = kNever;
  bool rejected = false;  // the final response marks the request as safe to retry
  bool cancelled = false;
  bool connectionLost = false;
  Time lostTime = 0;
  bool expired = false;
  std::vector<AttemptInterval> attempts;
  std::vector<KvStateInterval> states;
};

// Time during which an engine was down or unreachable, or a router was down.
struct Outage {
  Time start = 0;
  Time end = kNever;
};

std::string textField(const json& event, const char* key) {
  const auto member = event.find(key);
  return member != event.end() && member->is_string() ? member->get<std::string>() : std::string();
}

class Audit {
 public:
  Audit(const std::vector<json>& events, const AuditRules& rules) : rules_(rules) {
    for (const json& event : events) addEvent(event);
  }

  AuditReport report() {
    for (auto& [marker, history] : histories_) {
      if (history.sentTime >= 0) checkFinalResponses(marker, history);
      checkAttempts(marker, history);
      checkStates(marker, history);
    }
    count("requests", static_cast<std::uint64_t>(
                          std::count_if(histories_.begin(), histories_.end(),
                                        [](const auto& entry) { return entry.second.sentTime >= 0; })));
    count("states-left", unreleasedStates_);
    return std::move(report_);
  }

 private:
  void count(const std::string& name, std::uint64_t increment = 1) { report_.counts[name] += increment; }
  void violate(int rule, const std::string& marker, const std::string& description) {
    report_.violations.push_back("rule " + std::to_string(rule) + ": " + marker + ": " + description);
  }

  void addEvent(const json& event) {
    const std::string kind = textField(event, "what");
    const Time time = event.value("t", Time{0});
    recordingEnd_ = std::max(recordingEnd_, time);
    const std::string marker = textField(event, "marker");
    const std::string engine = textField(event, "engine");
    if (kind == "client.sent") {
      RequestHistory& history = histories_[marker];
      history.sentTime = time;
      history.deadline = event.value("deadline", kNever);
      history.idempotency = textField(event, "effect");
      history.router = textField(event, "router");
    } else if (kind == "client.final") {
      RequestHistory& history = histories_[marker];
      history.finalCodes.push_back(textField(event, "code"));
      history.finalTime = std::min(history.finalTime, time);
      history.rejected = event.value("refused", false);
      if (!event.value("transcript", true))
        violate(1, marker, "the response differs from the engine's output");
    } else if (kind == "client.after") {
      violate(1, marker, "data arrived after the final response");
    } else if (kind == "client.cancelled") {
      histories_[marker].cancelled = true;
    } else if (kind == "client.lost") {
      histories_[marker].connectionLost = true;
      histories_[marker].lostTime = time;
    } else if (kind == "client.expired") {
      histories_[marker].expired = true;
    } else if (kind == "router.killed") {
      routerOutages_[textField(event, "router")].push_back({time, kNever});
    } else if (kind == "router.started") {
      if (auto& outages = routerOutages_[textField(event, "router")]; !outages.empty())
        outages.back().end = time;
    } else if (kind == "engine.request") {
      histories_[marker].attempts.push_back({time, kNever, engine, textField(event, "job"), false});
      checkDrained(engine, marker, time);
    } else if (kind == "engine.done" || kind == "engine.closed" || kind == "engine.refused") {
      endAttempt(histories_[marker], engine, time,
                 kind == "engine.refused" && event.value("status", 0) != 500);
    } else if (kind == "engine.stop" || kind == "engine.fell") {
      if (kind == "engine.fell")
        report_.violations.push_back("rule 4: " + engine +
                                     ": crashed because it was overloaded while warming up");
      engineOutages_[engine].push_back({time, kNever});
      for (auto& [otherMarker, other] : histories_)
        for (auto& attempt : other.attempts)
          if (attempt.engine == engine && attempt.end == kNever) attempt.end = time;
    } else if (kind == "engine.start" || kind == "engine.back") {
      if (!engineOutages_[engine].empty() && engineOutages_[engine].back().end == kNever)
        engineOutages_[engine].back().end = time;
    } else if (kind == "engine.cut") {
      engineOutages_[engine].push_back({time, kNever});
    } else if (kind == "list.told") {
      if (event.value("running", true))
        drainStarts_.erase(engine);
      else
        drainStarts_.emplace(engine, time);
    } else if (kind == "state.held") {
      histories_[marker].states.push_back({time, kNever, engine, "", event.value("block", std::uint64_t{0})});
    } else if (kind.starts_with("state.")) {
      for (auto& state : histories_[marker].states)
        if (state.engine == engine && state.block == event.value("block", std::uint64_t{0}) &&
            state.end == kNever) {
          state.end = time;
          state.endReason = kind.substr(6);
        }
    }
  }

  static void endAttempt(RequestHistory& history, const std::string& engine, Time time, bool rejected) {
    for (auto attempt = history.attempts.rbegin(); attempt != history.attempts.rend(); ++attempt)
      if (attempt->engine == engine && attempt->end == kNever) {
        attempt->end = time;
        attempt->rejected = rejected;
        return;
      }
  }

  void checkDrained(const std::string& engine, const std::string& marker, Time time) {
    const auto drain = drainStarts_.find(engine);
    if (drain != drainStarts_.end() && time > drain->second + rules_.drainGrace)
      violate(3, marker,
              "sent to " + engine + " " + std::to_string((time - drain->second) / 1000) +
                  " ms after the endpoint list reported it as draining or gone");
  }

  void checkFinalResponses(const std::string& marker, const RequestHistory& history) {
    for (const auto& code : history.finalCodes) count("final " + code);
    if (history.finalCodes.size() > 1)
      violate(1, marker, std::to_string(history.finalCodes.size()) + " final responses");
    if (history.finalCodes.size() == 1 && history.finalTime > history.deadline + rules_.deadlineSlack)
      violate(1, marker,
              "final response " + std::to_string((history.finalTime - history.deadline) / 1000) +
                  " ms after the deadline");
    if (!history.finalCodes.empty()) return;
    if (history.cancelled) return count("cancelled by the client");
    if (history.connectionLost) {
      if (routerWasDown(history, history.lostTime)) return count("lost with a killed router");
      return violate(1, marker, "the connection was lost without a final response");
    }
    violate(1, marker, history.expired ? "no final response before the deadline" : "no final response");
  }

  // Returns whether the request's router was down at any time between the sending of the request and `end`.
  // The router cannot answer such a request or release its KV state.
  bool routerWasDown(const RequestHistory& history, Time end) const {
    const auto outages = routerOutages_.find(history.router);
    return outages != routerOutages_.end() &&
           std::any_of(outages->second.begin(), outages->second.end(), [&](const Outage& outage) {
             return outage.start <= end && outage.end >= history.sentTime;
           });
  }

  void checkAttempts(const std::string& marker, RequestHistory& history) {
    std::sort(history.attempts.begin(), history.attempts.end(),
              [](const auto& attempt, const auto& other) { return attempt.start < other.start; });
    count("attempts", history.attempts.size());
    Time lastEnd = 0;
    bool possiblyExecuted = false;
    for (const AttemptInterval& attempt : history.attempts) {
      if (attempt.start + rules_.overlapSlack < lastEnd)
        violate(2, marker, "two concurrent attempts, the second at " + attempt.engine);
      if (history.idempotency == "unsafe" && possiblyExecuted && attempt.phase != "read")
        violate(2, marker, "a non-idempotent request was retried after it was possibly executed");
      lastEnd = std::max(lastEnd, attempt.end);
      if (attempt.phase != "read" && !attempt.rejected) possiblyExecuted = true;
    }
    if (history.idempotency == "unsafe" && possiblyExecuted && history.rejected)
      violate(2, marker, "a non-idempotent request was rejected after it was possibly executed");
  }

  // Returns the longest continuous time during `state` in which no attempt was in flight and the engine was
  // reachable.
  Time longestIdleTime(const RequestHistory& history, const KvStateInterval& state) const {
    const Time end = std::min(state.end, recordingEnd_);
    std::vector<std::pair<Time, Time>> busy;
    for (const AttemptInterval& attempt : history.attempts)
      busy.emplace_back(attempt.start, std::min(attempt.end, recordingEnd_));
    if (const auto outages = engineOutages_.find(state.engine); outages != engineOutages_.end())
      for (const Outage& outage : outages->second)
        busy.emplace_back(outage.start, std::min(outage.end, recordingEnd_));
    std::sort(busy.begin(), busy.end());
    Time longest = 0;
    Time idleSince = state.start;
    for (const auto& [start, busyEnd] : busy) {
      if (start >= end) break;
      if (start > idleSince) longest = std::max(longest, start - idleSince);
      idleSince = std::max(idleSince, busyEnd);
    }
    return std::max(longest, end - idleSince);
  }

  void checkStates(const std::string& marker, const RequestHistory& history) {
    for (const KvStateInterval& state : history.states) {
      count("states");
      if (history.connectionLost && routerWasDown(history, history.lostTime)) {
        count("states of a killed router");
        continue;
      }
      if (state.end == kNever)
        ++unreleasedStates_;
      else
        count("states " + state.endReason);
      const Time idleTime = longestIdleTime(history, state);
      report_.longestIdleStateTime = std::max(report_.longestIdleStateTime, idleTime);
      if (idleTime > rules_.kvReleaseTimeout + rules_.releaseSlack)
        violate(5, marker,
                "KV state was held at " + state.engine + " for " + std::to_string(idleTime / 1000) +
                    " ms with no attempt in flight" +
                    (state.end == kNever ? ", and was never released" : ", " + state.endReason));
    }
  }

  AuditRules rules_;
  AuditReport report_;
  std::map<std::string, RequestHistory> histories_;
  std::map<std::string, std::vector<Outage>> routerOutages_;
  std::map<std::string, Time> drainStarts_;
  std::map<std::string, std::vector<Outage>> engineOutages_;
  Time recordingEnd_ = 0;
  std::uint64_t unreleasedStates_ = 0;
};

}  // namespace

AuditReport audit(const std::vector<json>& events, const AuditRules& rules) {
  return Audit(events, rules).report();
}

}  // namespace garnethook::fault_scenario
