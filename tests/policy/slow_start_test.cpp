// Tests slow start over a whole fleet in simulated time: many routers without shared state, some of which
// receive several times the mean request rate, and prefill endpoints that restart under load. The sends of
// all routers to a warming-up endpoint in any overload window may exceed its budget N, given by the settings,
// by no more than random variation: the limit is N + 2 * sqrt(N) + 2 requests of mean load.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <map>
#include <random>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

constexpr std::uint64_t kPrefillEndpoints = 10;
constexpr std::uint64_t kRestartedEndpoints = 4;

struct FleetOptions {
  std::size_t routers = 3;
  double requestsPerSecond = 30;  // over all routers
  int seedCount = 4;
  double minBudgetUse = 0;       // minimum mean share of the budget that warming-up endpoints must receive
  bool hasRouterNumbers = true;  // sets Settings::self
};

struct WarmUpResult {
  double budget = 0;           // N, derived from the sends to an endpoint before the restarts
  double maxSends = 0;         // largest number of sends to a warming-up endpoint in a window
  double meanSends = 0;        // mean of that number over endpoints and windows of the warm-up
  double overBudgetShare = 0;  // share of these windows with more than N sends
};

// Open-loop arrivals at six tenths of the capacity of all prefill endpoints, which compute one prompt at a
// time each; a decode takes 100 ms. After ten seconds, four of the ten prefill endpoints restart. They run at
// the minimum share of their speed for the whole warm-up, so the load takes the full capacity of the others.
class SimulatedFleet {
 public:
  SimulatedFleet(const FleetOptions& options, std::uint64_t seed) : options_(options), random_(seed) {
    Settings custom = settings();
    custom.routers = options.routers;
    custom.zones = 1;
    for (std::size_t i = 0; i < options.routers; ++i) {
      custom.self = options.hasRouterNumbers ? std::optional(i) : std::nullopt;
      routers_.push_back(std::make_unique<PolicyDriver>(custom, seed * 1000 + i));
      // One in ten routers receives five times as many requests as each of the others.
      arrivalWeights_.push_back(i % 10 == 3 ? 5.0 : 1.0);
    }
    window_ = custom.overloadWindow;
    budgetMultiple_ = custom.overloadMultiple * custom.warmUpMinCapacity;
    warmUpDuration_ = custom.warmUpDuration;
    warmUpSpeed_ = custom.warmUpMinCapacity;
    processedActions_.resize(options.routers);
  }

  WarmUpResult run() {
    std::vector<EndpointEntry> entries;
    for (std::uint64_t i = 1; i <= kPrefillEndpoints; ++i) entries.push_back(endpoint(i, kPrefill));
    for (std::uint64_t i = 11; i <= 16; ++i) entries.push_back(endpoint(i, kDecode));
    for (auto& router : routers_) router->setEndpoints(entries);
    const Micros restartAt = kSec + 10 * kSec;
    const Micros end = restartAt + warmUpDuration_;
    std::discrete_distribution<std::size_t> routerOfArrival(arrivalWeights_.begin(), arrivalWeights_.end());
    std::exponential_distribution<double> interarrivalTime(options_.requestsPerSecond / 1e6);
    double nextArrival = static_cast<double>(kSec);
    while (true) {
      const auto nextEnd = attemptEnds_.empty() ? end : attemptEnds_.begin()->first;
      const Micros at = std::min<Micros>(nextEnd, static_cast<Micros>(nextArrival));
      if (at >= end) break;
      if (!hasRestarted_ && at >= restartAt) {
        hasRestarted_ = true;
        for (std::uint64_t i = 0; i < kRestartedEndpoints; ++i) entries[i].startedAt = restartAt;
        for (auto& router : routers_) {
          router->advanceTime(restartAt - router->now);
          router->setEndpoints(entries);
        }
        for (std::size_t i = 0; i < routers_.size(); ++i) applyNewActions(i);
      }
      if (nextEnd <= at) {
        const auto [router, id] = attemptEnds_.begin()->second;
        attemptEnds_.erase(attemptEnds_.begin());
        endAttemptAt(router, id, at);
      } else {
        deliverArrival(routerOfArrival(random_), at);
        nextArrival += interarrivalTime(random_);
      }
    }
    return evaluate(restartAt, end);
  }

 private:
  void deliverArrival(std::size_t router, Micros at) {
    PolicyDriver& driver = *routers_[router];
    driver.advanceTime(at - driver.now);
    driver.deliver(driver.newRequest(++lastRequestId_));
    applyNewActions(router);
  }
  void endAttemptAt(std::size_t router, std::uint64_t id, Micros at) {
    PolicyDriver& driver = *routers_[router];
    driver.advanceTime(at - driver.now);
    applyNewActions(router);
    const auto attempt = inFlight_.find(id);
    if (attempt == inFlight_.end() || attempt->second.second != at) return;  // was cancelled
    const bool isPrefill = attempt->second.first <= kPrefillEndpoints;
    inFlight_.erase(attempt);
    driver.endAttempt(id, isPrefill ? Outcome::prefillDone : Outcome::completed);
    applyNewActions(router);
  }
  // Applies the actions that a router has returned since the last call.
  void applyNewActions(std::size_t router) {
    PolicyDriver& driver = *routers_[router];
    for (std::size_t& i = processedActions_[router]; i < driver.log.size(); ++i) {
      const auto& [at, action] = driver.log[i];
      if (const auto* send = std::get_if<Send>(&action)) {
        const std::uint64_t target = send->endpoint.value;
        Micros endsAt = at + 100 * kMs;
        if (target <= kPrefillEndpoints) {
          sendTimes_[target].push_back(at);
          const double speed = hasRestarted_ && target <= kRestartedEndpoints ? warmUpSpeed_ : 1;
          const auto prefillTime =
              static_cast<Micros>(0.6 * kPrefillEndpoints / options_.requestsPerSecond * 1e6 / speed);
          endsAt = busyUntil_[target] = std::max(busyUntil_[target], at) + prefillTime;
        }
        inFlight_[send->id.value] = {target, endsAt};
        attemptEnds_.emplace(endsAt, std::pair(router, send->id.value));
      } else if (const auto* cancel = std::get_if<Cancel>(&action);
                 cancel && inFlight_.erase(cancel->id.value)) {
        // The engine continues its computation, but the attempt ends immediately.
        const auto id = cancel->id.value;
        driver.endAttempt(id, Outcome::cancelled);
      }
    }
  }
  WarmUpResult evaluate(Micros restartAt, Micros end) const {
    WarmUpResult result;
    double warmSends = 0;
    for (const auto& [endpointNumber, times] : sendTimes_)
      warmSends += static_cast<double>(std::count_if(times.begin(), times.end(), [&](Micros at) {
        return at >= restartAt - 8 * kSec && at < restartAt;
      }));
    result.budget = budgetMultiple_ * warmSends / static_cast<double>(kPrefillEndpoints) *
                    static_cast<double>(window_) / 8e6;
    double windowCount = 0;
    for (std::uint64_t endpointNumber = 1; endpointNumber <= kRestartedEndpoints; ++endpointNumber) {
      const auto found = sendTimes_.find(endpointNumber);
      for (Micros windowEnd = restartAt + window_; windowEnd <= end; windowEnd += 20 * kMs, ++windowCount) {
        const double sends =
            found == sendTimes_.end()
                ? 0
                : static_cast<double>(
                      std::count_if(found->second.begin(), found->second.end(), [&](Micros at) {
                        return at >= restartAt && at > windowEnd - window_ && at <= windowEnd;
                      }));
        result.maxSends = std::max(result.maxSends, sends);
        result.meanSends += sends;
        result.overBudgetShare += sends > result.budget ? 1 : 0;
      }
    }
    result.meanSends /= windowCount;
    result.overBudgetShare /= windowCount;
    return result;
  }

  FleetOptions options_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<PolicyDriver>> routers_;
  std::vector<double> arrivalWeights_;
  Micros window_ = 0;
  Micros warmUpDuration_ = 0;
  double budgetMultiple_ = 0;
  std::uint64_t lastRequestId_ = 0;
  std::multimap<Micros, std::pair<std::size_t, std::uint64_t>> attemptEnds_;
  std::map<std::uint64_t, std::vector<Micros>> sendTimes_;
  std::map<std::uint64_t, std::pair<std::uint64_t, Micros>>
      inFlight_;                               // by request: endpoint, and end of its attempt
  std::map<std::uint64_t, Micros> busyUntil_;  // by prefill endpoint
  std::vector<std::size_t> processedActions_;  // number of processed actions, by router
  double warmUpSpeed_ = 1;
  bool hasRestarted_ = false;
};

class SlowStartOfFleet : public testing::TestWithParam<FleetOptions> {};

// With every seed, no window exceeds the limit; and warming-up endpoints are not left idle to achieve that.
TEST_P(SlowStartOfFleet, KeepsAllRoutersTogetherWithinTheBudgetAndUsesIt) {
  double budgetUse = 0;
  double windowsOverBudget = 0;
  double maxLimitShare = 0;
  const int seedCount = GetParam().seedCount;
  for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(seedCount); ++seed) {
    const WarmUpResult result = SimulatedFleet(GetParam(), seed).run();
    ASSERT_GT(result.budget, 0);
    const double limit = result.budget + 2 * std::sqrt(result.budget) + 2;
    EXPECT_LE(result.maxSends, limit) << "seed " << seed << ", budget " << result.budget;
    maxLimitShare = std::max(maxLimitShare, result.maxSends / limit);
    budgetUse += result.meanSends / result.budget / seedCount;
    windowsOverBudget += result.overBudgetShare / seedCount;
  }
  RecordProperty("mean_share_of_budget", std::to_string(budgetUse));
  RecordProperty("windows_over_budget", std::to_string(windowsOverBudget));
  RecordProperty("most_share_of_limit", std::to_string(maxLimitShare));
  std::cout << "routers " << GetParam().routers << ", " << GetParam().requestsPerSecond << " requests/s"
            << (GetParam().hasRouterNumbers ? "" : ", no router numbers") << ": mean share of budget "
            << budgetUse << ", share of windows over budget " << windowsOverBudget
            << ", largest share of limit " << maxLimitShare << "\n";
  EXPECT_GT(budgetUse, GetParam().minBudgetUse);
  EXPECT_LT(windowsOverBudget, 0.05);
}

// The minimum budget use lies between that of independent random tokens at each router and that of tokens
// that the routers grant in turn, so a change back to random tokens fails the test.
INSTANTIATE_TEST_SUITE_P(Fleets, SlowStartOfFleet,
                         testing::Values(FleetOptions{3, 30, 12, 0.36}, FleetOptions{3, 120, 3, 0.53},
                                         FleetOptions{30, 30, 6, 0.25}, FleetOptions{30, 120, 3, 0.45},
                                         FleetOptions{300, 60, 2, 0.14},
                                         FleetOptions{300, 60, 2, 0.14, false}));

}  // namespace
}  // namespace garnethook::test
