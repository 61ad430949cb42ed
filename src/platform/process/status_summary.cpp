#include "platform/process/status_summary.h"

#include <cstdio>
#include <string_view>

namespace garnethook::platform {
namespace {

constexpr std::uint64_t kPageBytes = 4096;
constexpr std::uint64_t kBytesPerKibibyte = 1024;
constexpr Micros kMicrosPerMillisecond = 1000;

// Resident memory in bytes, from /proc/self/statm; 0 if it cannot be read.
std::uint64_t residentBytes() {
  unsigned long long totalPages = 0;
  unsigned long long residentPages = 0;
  if (std::FILE* file = std::fopen("/proc/self/statm", "r")) {
    if (std::fscanf(file, "%llu %llu", &totalPages, &residentPages) != 2) residentPages = 0;
    std::fclose(file);
  }
  return residentPages * kPageBytes;
}

// Builds text of the form "first 1, second 2; third 3".
class SummaryText {
 public:
  SummaryText& addCount(std::string_view label, std::uint64_t value) {
    text_.append(separator_).append(label).append(" ").append(std::to_string(value));
    separator_ = ", ";
    return *this;
  }
  SummaryText& beginSection(std::string_view title = {}) {
    text_.append("; ").append(title);
    separator_ = title.empty() ? "" : " ";
    return *this;
  }
  // Adds a counter that is separated by a space instead of a comma.
  SummaryText& addItem(std::string_view label, std::uint64_t value) {
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
  text.addCount("received", counters.accepted)
      .addCount("completed", counters.completed)
      .addCount("rejected", counters.rejected)
      .addCount("failed", counters.failed)
      .addCount("cancelled", counters.cancelled)
      .addCount("open", router.pendingRequests())
      .addCount("attempts", counters.attempts);
  text.beginSection("causes");
  for (const auto& [cause, count] : counters.failureReasons) text.addItem(name(cause), count);
  text.beginSection("outcomes");
  for (const auto& [outcome, count] : counters.outcomes) text.addItem(routing::name(outcome), count);
}

void addKvReservations(SummaryText& text, const routing::KvReservationTracker& reservations, Micros now) {
  text.beginSection()
      .addCount("kv reservations", reservations.reservationCount())
      .addCount("releases in flight", reservations.unconfirmedReleaseCount())
      .addCount("oldest ms", static_cast<std::uint64_t>(reservations.oldestUnconfirmedRelease(now) /
                                                        kMicrosPerMillisecond))
      .addCount("repeating", reservations.pendingReleaseCount() - reservations.unconfirmedReleaseCount())
      .addCount("repeated", reservations.repeatedCount())
      .addCount("released", reservations.releasedCount())
      .addCount("abandoned", reservations.abandonedCount())
      .addCount("slowest release ms",
                static_cast<std::uint64_t>(reservations.longestRelease() / kMicrosPerMillisecond));
}

void addClients(SummaryText& text, const HttpFrontend& frontend) {
  const auto& counters = frontend.counters();
  text.beginSection()
      .addCount("clients", frontend.connections())
      .addItem("of", counters.accepted)
      .addCount("rejected", counters.rejected)
      .addCount("timed out", counters.timedOut)
      .addCount("evicted", counters.evicted)
      .addCount("over capacity", counters.overCapacity)
      .addCount("closed idle", counters.closedIdle);
}

void addEngineConnections(SummaryText& text, const PlatformEngineClient& engineClient) {
  const auto& pool = engineClient.pool();
  text.beginSection("engine connections")
      .addCount("busy", pool.busyConnections())
      .addCount("idle", pool.idleConnections())
      .addCount("opened", pool.opened())
      .addCount("releases waiting", engineClient.waitingReleases());
}

void addCloseReasons(SummaryText& text, const HttpFrontend& frontend) {
  const auto& closed = frontend.counters().closed;
  text.beginSection("closed");
  for (std::size_t index = 0; index < closed.size(); ++index)
    if (closed[index] > 0) text.addItem(name(static_cast<CloseReason>(index)), closed[index]);
}

}  // namespace

std::string summarizeStatus(const StatusSources& sources) {
  SummaryText text;
  addRequests(text, sources.router);
  addKvReservations(text, sources.router.kvReservations(), sources.now);
  addClients(text, sources.frontend);
  addEngineConnections(text, sources.engineClient);
  addCloseReasons(text, sources.frontend);
  text.beginSection()
      .addCount("violations",
                sources.router.ruleGuard().total() + sources.frontend.counters().closedWithoutResponse)
      .addCount("internal failures", sources.router.counters().failedActions + sources.failedTasks);
  text.beginSection().addCount("resident KiB", residentBytes() / kBytesPerKibibyte);
  return text.take();
}

}  // namespace garnethook::platform
