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

struct Interval {
  Time from = 0;
  Time until = kNever;
  std::string engine;
  std::string job;
  bool refused = false;  // turned away: it never ran
};

struct StateInterval {
  Time from = 0;
  Time until = kNever;
  std::string engine;
  std::string how;
  std::uint64_t block = 0;
};

struct Story {
  Time sent = -1;
  Time deadline = kNever;
  std::string idempotency;
  std::string router;
  std::vector<std::string> finals;
  Time finalAt = kNever;
  bool refused = false;  // the final answer says that a repeat does no harm
  bool cancelled = false;
  bool lost = false;  // the connection broke
  Time lostAt = 0;
  bool expired = false;
  std::vector<Interval> attempts;
  std::vector<StateInterval> states;
};

// Times during which an engine could not be reached, or was down.
struct Outage {
  Time from = 0;
  Time until = kNever;
};

std::string text(const json& e, const char* key) {
  const auto at = e.find(key);
  return at != e.end() && at->is_string() ? at->get<std::string>() : std::string();
}

class Audit {
 public:
  Audit(const std::vector<json>& events, const AuditRules& rules) : rules_(rules) {
    for (const json& e : events) take(e);
  }

  AuditReport report() {
    for (auto& [marker, story] : stories_) {
      if (story.sent >= 0) finals(marker, story);
      attempts(marker, story);
      states(marker, story);
    }
    count("requests",
          static_cast<std::uint64_t>(std::count_if(stories_.begin(), stories_.end(),
                                                   [](const auto& s) { return s.second.sent >= 0; })));
    count("states-left", left_);
    return std::move(out_);
  }

 private:
  void count(const std::string& what, std::uint64_t n = 1) { out_.counts[what] += n; }
  void violate(int rule, const std::string& marker, const std::string& what) {
    out_.violations.push_back("rule " + std::to_string(rule) + ": " + marker + ": " + what);
  }

  void take(const json& e) {
    const std::string what = text(e, "what");
    const Time t = e.value("t", Time{0});
    end_ = std::max(end_, t);
    const std::string marker = text(e, "marker");
    const std::string engine = text(e, "engine");
    if (what == "client.sent") {
      Story& s = stories_[marker];
      s.sent = t;
      s.deadline = e.value("deadline", kNever);
      s.idempotency = text(e, "effect");
      s.router = text(e, "router");
    } else if (what == "client.final") {
      Story& s = stories_[marker];
      s.finals.push_back(text(e, "code"));
      s.finalAt = std::min(s.finalAt, t);
      s.refused = e.value("refused", false);
      if (!e.value("transcript", true)) violate(1, marker, "the answer is not what the engine wrote");
    } else if (what == "client.after") {
      violate(1, marker, "something came after the final answer");
    } else if (what == "client.cancelled") {
      stories_[marker].cancelled = true;
    } else if (what == "client.lost") {
      stories_[marker].lost = true;
      stories_[marker].lostAt = t;
    } else if (what == "client.expired") {
      stories_[marker].expired = true;
    } else if (what == "router.killed") {
      kills_[text(e, "router")].push_back({t, kNever});
    } else if (what == "router.started") {
      if (auto& kills = kills_[text(e, "router")]; !kills.empty()) kills.back().until = t;
    } else if (what == "engine.request") {
      stories_[marker].attempts.push_back({t, kNever, engine, text(e, "job"), false});
      drained(engine, marker, t);
    } else if (what == "engine.done" || what == "engine.closed" || what == "engine.refused") {
      endAttempt(stories_[marker], engine, t, what == "engine.refused" && e.value("status", 0) != 500);
    } else if (what == "engine.stop" || what == "engine.fell") {
      if (what == "engine.fell") out_.violations.push_back("rule 4: " + engine + ": was pushed over");
      outages_[engine].push_back({t, kNever});
      for (auto& [m, s] : stories_)
        for (auto& a : s.attempts)
          if (a.engine == engine && a.until == kNever) a.until = t;
    } else if (what == "engine.start" || what == "engine.back") {
      if (!outages_[engine].empty() && outages_[engine].back().until == kNever)
        outages_[engine].back().until = t;
    } else if (what == "engine.cut") {
      outages_[engine].push_back({t, kNever});
    } else if (what == "list.told") {
      if (e.value("running", true))
        drainedSince_.erase(engine);
      else
        drainedSince_.emplace(engine, t);
    } else if (what == "state.held") {
      stories_[marker].states.push_back({t, kNever, engine, "", e.value("block", std::uint64_t{0})});
    } else if (what.starts_with("state.")) {
      for (auto& s : stories_[marker].states)
        if (s.engine == engine && s.block == e.value("block", std::uint64_t{0}) && s.until == kNever) {
          s.until = t;
          s.how = what.substr(6);
        }
    }
  }

  static void endAttempt(Story& story, const std::string& engine, Time t, bool refused) {
    for (auto a = story.attempts.rbegin(); a != story.attempts.rend(); ++a)
      if (a->engine == engine && a->until == kNever) {
        a->until = t;
        a->refused = refused;
        return;
      }
  }

  void drained(const std::string& engine, const std::string& marker, Time t) {
    const auto at = drainedSince_.find(engine);
    if (at != drainedSince_.end() && t > at->second + rules_.drainGrace)
      violate(3, marker,
              "sent to " + engine + " " + std::to_string((t - at->second) / 1000) +
                  " ms after the list called it drained or gone");
  }

  void finals(const std::string& marker, const Story& s) {
    for (const auto& code : s.finals) count("final " + code);
    if (s.finals.size() > 1) violate(1, marker, std::to_string(s.finals.size()) + " final answers");
    if (s.finals.size() == 1 && s.finalAt > s.deadline + rules_.deadlineSlack)
      violate(1, marker,
              "final answer " + std::to_string((s.finalAt - s.deadline) / 1000) + " ms after the deadline");
    if (!s.finals.empty()) return;
    if (s.cancelled) return count("cancelled by the client");
    if (s.lost) {
      if (killed(s, s.lostAt)) return count("lost with a killed router");
      return violate(1, marker, "the connection broke without a final answer");
    }
    violate(1, marker, s.expired ? "no final answer before the deadline" : "no final answer");
  }

  // Whether the request's router was down at some time between its sending and `until`: what it held then is
  // nobody's to answer or to release.
  bool killed(const Story& s, Time until) const {
    const auto at = kills_.find(s.router);
    return at != kills_.end() && std::any_of(at->second.begin(), at->second.end(), [&](const Outage& o) {
             return o.from <= until && o.until >= s.sent;
           });
  }

  void attempts(const std::string& marker, Story& s) {
    std::sort(s.attempts.begin(), s.attempts.end(),
              [](const auto& a, const auto& b) { return a.from < b.from; });
    count("attempts", s.attempts.size());
    Time lastEnd = 0;
    bool possiblyExecuted = false;
    for (const Interval& a : s.attempts) {
      if (a.from + rules_.overlapSlack < lastEnd)
        violate(2, marker, "two attempts at once, the second at " + a.engine);
      if (s.idempotency == "unsafe" && possiblyExecuted && a.job != "read")
        violate(2, marker, "an unsafe request was tried again after it may have run");
      lastEnd = std::max(lastEnd, a.until);
      if (a.job != "read" && !a.refused) possiblyExecuted = true;
    }
    if (s.idempotency == "unsafe" && possiblyExecuted && s.refused)
      violate(2, marker, "an unsafe request was refused after it may have run");
  }

  // The time within [from, until] in which no attempt was out and the engine could be reached, at a stretch.
  Time idle(const Story& s, const StateInterval& state) const {
    const Time until = std::min(state.until, end_);
    std::vector<std::pair<Time, Time>> busy;
    for (const Interval& a : s.attempts) busy.emplace_back(a.from, std::min(a.until, end_));
    if (const auto at = outages_.find(state.engine); at != outages_.end())
      for (const Outage& o : at->second) busy.emplace_back(o.from, std::min(o.until, end_));
    std::sort(busy.begin(), busy.end());
    Time longest = 0;
    Time free = state.from;
    for (const auto& [from, to] : busy) {
      if (from >= until) break;
      if (from > free) longest = std::max(longest, from - free);
      free = std::max(free, to);
    }
    return std::max(longest, until - free);
  }

  void states(const std::string& marker, const Story& s) {
    for (const StateInterval& state : s.states) {
      count("states");
      if (s.lost && killed(s, s.lostAt)) {
        count("states of a killed router");
        continue;
      }
      if (state.until == kNever)
        ++left_;
      else
        count("states " + state.how);
      const Time pinned = idle(s, state);
      out_.slowestRelease = std::max(out_.slowestRelease, pinned);
      if (pinned > rules_.kvReleaseTimeout + rules_.releaseSlack)
        violate(5, marker,
                "a state stayed at " + state.engine + " for " + std::to_string(pinned / 1000) +
                    " ms with no attempt out" +
                    (state.until == kNever ? ", and was never let go" : ", " + state.how));
    }
  }

  AuditRules rules_;
  AuditReport out_;
  std::map<std::string, Story> stories_;
  std::map<std::string, std::vector<Outage>> kills_;
  std::map<std::string, Time> drainedSince_;
  std::map<std::string, std::vector<Outage>> outages_;
  Time end_ = 0;
  std::uint64_t left_ = 0;
};

}  // namespace

AuditReport audit(const std::vector<json>& events, const AuditRules& rules) {
  return Audit(events, rules).report();
}

}  // namespace garnethook::fault_scenario
