#include "platform/process/status_summary.h"

#include <cstdio>
#include <string_view>

namespace garnethook::platform {
namespace {

constexpr std::uint64_t kPageBytes = 4096;
constexpr std::uint64_t kBytesPerKibibyte = 1024;
constexpr Micros kMicrosPerMillisecond = 1000;

// Resident memory in bytes, from proc(5) statm; 0 where that cannot be read.
std::uint64_t residentBytes() {
  unsigned long long totalPages = 0;
  unsigned long long residentPages = 0;
  if (std::FILE* file = std::fopen("/proc/self/statm", "r")) {
    if (std::fscanf(file, "%llu %llu", &totalPages, &residentPages) != 2) residentPages = 0;
    std::fclose(file);
  }
  return residentPages * kPageBytes;
}

// Builds "first 1, second 2; third 3".
class SummaryText {
 public:
  SummaryText& count(std::string_view label, std::uint64_t value) {
    text_.append(separator_).append(label).append(" ").append(std::to_string(value));
    separator_ = ", ";
    return *this;
  }
  SummaryText& section(std::string_view title = {}) {
    text_.append("; ").append(title);
    separator_ = title.empty() ? "" : " ";
    return *this;
  }
  // Further counts of this section are separated by blanks alone.
  SummaryText& item(std::string_view label, std::uint64_t value) {
    text_.append(" ").append(label).append(" ").append(std::to_string(value));
    return *this;
  }
  std::string take() { return std::move(text_); }

 private:
  std::string text_;
  std::string_view separator_;
};

void addRequests(SummaryText& text, const routing::Router& router) {
  const auto& counters = router.counters();
  text.count("received", counters.accepted)
      .count("completed", counters.completed)
      .count("rejected", counters.rejected)
      .count("failed", counters.failed)
      .count("cancelled", counters.cancelled)
      .count("open", router.pendingRequests())
      .count("attempts", counters.attempts);
  text.section("causes");
  for (const auto& [cause, count] : counters.failureReasons) text.item(name(cause), count);
  text.section("outcomes");
  for (const auto& [outcome, count] : counters.outcomes) text.item(routing::name(outcome), count);
}

void addKvReservations(SummaryText& text, const routing::KvReservationTracker& reservations, Micros now) {
  text.section()
      .count("kv reservations", reservations.reservationCount())
      .count("releases in flight", reservations.unconfirmedReleaseCount())
      .count("oldest ms",
             static_cast<std::uint64_t>(reservations.oldestUnconfirmedRelease(now) / kMicrosPerMillisecond))
      .count("repeating", reservations.pendingReleaseCount() - reservations.unconfirmedReleaseCount())
      .count("repeated", reservations.repeatedCount())
      .count("released", reservations.releasedCount())
      .count("abandoned", reservations.abandonedCount())
      .count("slowest release ms",
             static_cast<std::uint64_t>(reservations.longestRelease() / kMicrosPerMillisecond));
}

void addClients(SummaryText& text, const HttpFrontend& frontend) {
  const auto& counters = frontend.counters();
  text.section()
      .count("clients", frontend.connections())
      .item("of", counters.accepted)
      .count("rejected", counters.rejected)
      .count("timed out", counters.timedOut)
      .count("evicted", counters.evicted)
      .count("over capacity", counters.overCapacity)
      .count("closed idle", counters.closedIdle);
}

void addEngineConnections(SummaryText& text, const PlatformEngineClient& engines) {
  const auto& pool = engines.pool();
  text.section("engine connections")
      .count("busy", pool.busyConnections())
      .count("idle", pool.idleConnections())
      .count("opened", pool.opened())
      .count("releases waiting", engines.waitingReleases());
}

void addCloseReasons(SummaryText& text, const HttpFrontend& frontend) {
  const auto& closed = frontend.counters().closed;
  text.section("closed");
  for (std::size_t index = 0; index < closed.size(); ++index)
    if (closed[index] > 0) text.item(name(static_cast<CloseReason>(index)), closed[index]);
}

}  // namespace

std::string summarizeStatus(const StatusSources& sources) {
  SummaryText text;
  addRequests(text, sources.router);
  addKvReservations(text, sources.router.kvReservations(), sources.now);
  addClients(text, sources.frontend);
  addEngineConnections(text, sources.engines);
  addCloseReasons(text, sources.frontend);
  text.section()
      .count("violations",
             sources.router.ruleGuard().total() + sources.frontend.counters().closedWithoutResponse)
      .count("internal failures", sources.router.counters().failedActions + sources.failedTasks);
  text.section().count("resident KiB", residentBytes() / kBytesPerKibibyte);
  return text.take();
}

}  // namespace garnethook::platform
