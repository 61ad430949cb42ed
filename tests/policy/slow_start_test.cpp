// Slow start over a whole fleet in simulated time: many routers that share nothing, some of them with several
// times the mean of requests, and prefill endpoints that start under them. What all routers send to a fresh
// endpoint in any overload window is compared with its budget N by the settings, and must stay within what
// chance may add to it, N + 2 x root of N + 2 requests of mean load.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <map>
#include <random>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

constexpr std::uint64_t kPrefillEndpoints = 10;
constexpr std::uint64_t kFreshEndpoints = 4;

struct Shape {
  std::size_t routers = 3;
  double perSecond = 30;  // over all routers
  int seeds = 4;
  double leastUse = 0;  // share of the budget that the fresh endpoints use in the mean
  bool numbered = true;
};

struct Observation {
  double budget = 0;      // N, by what a warm endpoint takes while all are warm
  double most = 0;        // sends to one fresh endpoint in one window
  double mean = 0;        // the same, over endpoints and windows of the warm-up
  double overBudget = 0;  // share of these windows with more than N
};

// Open-loop arrivals at six tenths of what all prefill endpoints can compute, one prompt at a time each; an
// answer takes 100 ms. After ten seconds four of ten endpoints restart, at the least share of their speed for
// the whole warm-up, so that the others have all that they can do.
class SimulatedFleet {
 public:
  SimulatedFleet(const Shape& shape, std::uint64_t seed) : shape_(shape), random_(seed) {
    Settings custom = settings();
    custom.routers = shape.routers;
    custom.zones = 1;
    for (std::size_t i = 0; i < shape.routers; ++i) {
      custom.self = shape.numbered ? std::optional(i) : std::nullopt;
      routers_.push_back(std::make_unique<PolicyDriver>(custom, seed * 1000 + i));
      // One in ten sees five times as much as the others.
      shares_.push_back(i % 10 == 3 ? 5.0 : 1.0);
    }
    window_ = custom.overloadWindow;
    multiple_ = custom.overloadMultiple * custom.warmUpMinCapacity;
    warmUpDuration_ = custom.warmUpDuration;
    freshSpeed_ = custom.warmUpMinCapacity;
    seen_.resize(shape.routers);
  }

  Observation play() {
    std::vector<EndpointEntry> list;
    for (std::uint64_t i = 1; i <= kPrefillEndpoints; ++i) list.push_back(endpoint(i, kPrefill));
    for (std::uint64_t i = 11; i <= 16; ++i) list.push_back(endpoint(i, kDecode));
    for (auto& router : routers_) router->setEndpoints(list);
    const Micros restartAt = kSec + 10 * kSec;
    const Micros end = restartAt + warmUpDuration_;
    std::discrete_distribution<std::size_t> pick(shares_.begin(), shares_.end());
    std::exponential_distribution<double> gap(shape_.perSecond / 1e6);
    double next = static_cast<double>(kSec);
    while (true) {
      const auto ending = ends_.empty() ? end : ends_.begin()->first;
      const Micros at = std::min<Micros>(ending, static_cast<Micros>(next));
      if (at >= end) break;
      if (!hasRestarted_ && at >= restartAt) {
        hasRestarted_ = true;
        for (std::uint64_t i = 0; i < kFreshEndpoints; ++i) list[i].startedAt = restartAt;
        for (auto& router : routers_) {
          router->advanceTime(restartAt - router->now);
          router->setEndpoints(list);
        }
        for (std::size_t i = 0; i < routers_.size(); ++i) follow(i);
      }
      if (ending <= at) {
        const auto [router, id] = ends_.begin()->second;
        ends_.erase(ends_.begin());
        finish(router, id, at);
      } else {
        arrive(pick(random_), at);
        next += gap(random_);
      }
    }
    return judge(restartAt, end);
  }

 private:
  void arrive(std::size_t router, Micros at) {
    PolicyDriver& driver = *routers_[router];
    driver.advanceTime(at - driver.now);
    driver.deliver(driver.newRequest(++last_));
    follow(router);
  }
  void finish(std::size_t router, std::uint64_t id, Micros at) {
    PolicyDriver& driver = *routers_[router];
    driver.advanceTime(at - driver.now);
    follow(router);
    const auto out = out_.find(id);
    if (out == out_.end() || out->second.second != at) return;  // cancelled meanwhile
    const bool isPrefill = out->second.first <= kPrefillEndpoints;
    out_.erase(out);
    driver.endAttempt(id, isPrefill ? Outcome::prefillDone : Outcome::completed);
    follow(router);
  }
  // Carries out what the router did since the last call.
  void follow(std::size_t router) {
    PolicyDriver& driver = *routers_[router];
    for (std::size_t& i = seen_[router]; i < driver.log.size(); ++i) {
      const auto& [at, action] = driver.log[i];
      if (const auto* send = std::get_if<Send>(&action)) {
        const std::uint64_t to = send->endpoint.value;
        Micros done = at + 100 * kMs;
        if (to <= kPrefillEndpoints) {
          sends_[to].push_back(at);
          const double slow = hasRestarted_ && to <= kFreshEndpoints ? freshSpeed_ : 1;
          const auto work = static_cast<Micros>(0.6 * kPrefillEndpoints / shape_.perSecond * 1e6 / slow);
          done = busy_[to] = std::max(busy_[to], at) + work;
        }
        out_[send->id.value] = {to, done};
        ends_.emplace(done, std::pair(router, send->id.value));
      } else if (const auto* cancel = std::get_if<Cancel>(&action); cancel && out_.erase(cancel->id.value)) {
        // The engine goes on; the outcome comes at once.
        const auto id = cancel->id.value;
        driver.endAttempt(id, Outcome::cancelled);
      }
    }
  }
  Observation judge(Micros restartAt, Micros end) const {
    Observation out;
    double warm = 0;
    for (const auto& [endpointNumber, times] : sends_)
      warm += static_cast<double>(std::count_if(times.begin(), times.end(), [&](Micros at) {
        return at >= restartAt - 8 * kSec && at < restartAt;
      }));
    out.budget =
        multiple_ * warm / static_cast<double>(kPrefillEndpoints) * static_cast<double>(window_) / 8e6;
    double windows = 0;
    for (std::uint64_t endpointNumber = 1; endpointNumber <= kFreshEndpoints; ++endpointNumber) {
      const auto found = sends_.find(endpointNumber);
      for (Micros windowEnd = restartAt + window_; windowEnd <= end; windowEnd += 20 * kMs, ++windows) {
        const double sends =
            found == sends_.end()
                ? 0
                : static_cast<double>(
                      std::count_if(found->second.begin(), found->second.end(), [&](Micros at) {
                        return at >= restartAt && at > windowEnd - window_ && at <= windowEnd;
                      }));
        out.most = std::max(out.most, sends);
        out.mean += sends;
        out.overBudget += sends > out.budget ? 1 : 0;
      }
    }
    out.mean /= windows;
    out.overBudget /= windows;
    return out;
  }

  Shape shape_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<PolicyDriver>> routers_;
  std::vector<double> shares_;
  Micros window_ = 0;
  Micros warmUpDuration_ = 0;
  double multiple_ = 0;
  std::uint64_t last_ = 0;
  std::multimap<Micros, std::pair<std::size_t, std::uint64_t>> ends_;
  std::map<std::uint64_t, std::vector<Micros>> sends_;
  std::map<std::uint64_t, std::pair<std::uint64_t, Micros>> out_;  // by request: where, and when it will end
  std::map<std::uint64_t, Micros> busy_;                           // prefill endpoints
  std::vector<std::size_t> seen_;                                  // of each router's log
  double freshSpeed_ = 1;
  bool hasRestarted_ = false;
};

class SlowStartOfFleet : public testing::TestWithParam<Shape> {};

// Over all seeds no window is beyond what chance may add, and a fresh endpoint is not left idle for it
// either.
TEST_P(SlowStartOfFleet, KeepsTheSumOfAllRoutersWithinTheBudgetAndUsesIt) {
  double mean = 0;
  double over = 0;
  double nearest = 0;
  const int seeds = GetParam().seeds;
  for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(seeds); ++seed) {
    const Observation observed = SimulatedFleet(GetParam(), seed).play();
    ASSERT_GT(observed.budget, 0);
    const double limit = observed.budget + 2 * std::sqrt(observed.budget) + 2;
    EXPECT_LE(observed.most, limit) << "seed " << seed << ", budget " << observed.budget;
    nearest = std::max(nearest, observed.most / limit);
    mean += observed.mean / observed.budget / seeds;
    over += observed.overBudget / seeds;
  }
  RecordProperty("mean_share_of_budget", std::to_string(mean));
  RecordProperty("windows_over_budget", std::to_string(over));
  RecordProperty("most_share_of_limit", std::to_string(nearest));
  std::cout << "routers " << GetParam().routers << ", " << GetParam().perSecond << " a second"
            << (GetParam().numbered ? "" : ", no numbers") << ": mean " << mean << " of the budget, over it "
            << over << " of windows, at most " << nearest << " of the limit\n";
  EXPECT_GT(mean, GetParam().leastUse);
  EXPECT_LT(over, 0.05);
}

// The least shares lie between what independent random tokens gave and what tokens in turn give.
INSTANTIATE_TEST_SUITE_P(Fleets, SlowStartOfFleet,
                         testing::Values(Shape{3, 30, 12, 0.36}, Shape{3, 120, 3, 0.53},
                                         Shape{30, 30, 6, 0.25}, Shape{30, 120, 3, 0.45},
                                         Shape{300, 60, 2, 0.14}, Shape{300, 60, 2, 0.14, false}));

}  // namespace
}  // namespace garnethook::test
