// Rule 4 over a whole fleet in simulated time: many routers that share nothing, some of them with several
// times the mean of requests, and readers that start cold under them. What all of them send to a cold reader
// in any window of the fall time is held against the budget that the settings name, N, and against what
// chance leaves beyond it, N + 2 x root of N + 2 requests of mean work.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <map>
#include <random>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

constexpr std::uint64_t kReaders = 10;
constexpr std::uint64_t kColdOnes = 4;

struct Shape {
  std::size_t routers = 3;
  double perSecond = 30;  // over all routers
  int seeds = 4;
  double least = 0;  // of the budget, that the cold readers take in the mean
  bool numbered = true;
};

struct Seen {
  double budget = 0;      // N, by what a warm reader takes while all are warm
  double most = 0;        // sends to one cold reader in one window
  double mean = 0;        // the same, over readers and windows of the ramp
  double overBudget = 0;  // share of these windows with more than N
};

// Open-loop arrivals at six tenths of what all readers can read, one at a time each; an answer takes 100 ms.
// After ten seconds four of ten readers start anew, at the least share of their speed for the whole ramp, so
// that those that are left have all that they can do.
class Fleet {
 public:
  Fleet(const Shape& shape, std::uint64_t seed) : shape_(shape), random_(seed) {
    Settings s = settings();
    s.routers = shape.routers;
    s.zones = 1;
    for (std::size_t i = 0; i < shape.routers; ++i) {
      s.self = shape.numbered ? std::optional(i) : std::nullopt;
      routers_.push_back(std::make_unique<Driver>(s, seed * 1000 + i));
      // One in ten sees five times as much as the others.
      shares_.push_back(i % 10 == 3 ? 5.0 : 1.0);
    }
    window_ = s.overloadWindow;
    multiple_ = s.overloadMultiple * s.warmUpMinCapacity;
    warmWithin_ = s.warmUpDuration;
    coldFrom_ = s.warmUpMinCapacity;
    seen_.resize(shape.routers);
  }

  Seen play() {
    std::vector<EndpointEntry> list;
    for (std::uint64_t i = 1; i <= kReaders; ++i) list.push_back(endpoint(i, kReader));
    for (std::uint64_t i = 11; i <= 16; ++i) list.push_back(endpoint(i, kWriter));
    for (auto& r : routers_) r->list(list);
    const Micros coldAt = kSec + 10 * kSec;
    const Micros end = coldAt + warmWithin_;
    std::discrete_distribution<std::size_t> pick(shares_.begin(), shares_.end());
    std::exponential_distribution<double> gap(shape_.perSecond / 1e6);
    double next = static_cast<double>(kSec);
    while (true) {
      const auto ending = ends_.empty() ? end : ends_.begin()->first;
      const Micros at = std::min<Micros>(ending, static_cast<Micros>(next));
      if (at >= end) break;
      if (!cold_ && at >= coldAt) {
        cold_ = true;
        for (std::uint64_t i = 0; i < kColdOnes; ++i) list[i].startedAt = coldAt;
        for (auto& r : routers_) {
          r->pass(coldAt - r->now);
          r->list(list);
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
    return judge(coldAt, end);
  }

 private:
  void arrive(std::size_t router, Micros at) {
    Driver& d = *routers_[router];
    d.pass(at - d.now);
    d.give(d.request(++last_));
    follow(router);
  }
  void finish(std::size_t router, std::uint64_t id, Micros at) {
    Driver& d = *routers_[router];
    d.pass(at - d.now);
    follow(router);
    const auto out = out_.find(id);
    if (out == out_.end() || out->second.second != at) return;  // cancelled meanwhile
    const bool read = out->second.first <= kReaders;
    out_.erase(out);
    d.end(id, read ? Outcome::prefillDone : Outcome::completed);
    follow(router);
  }
  // What the router did since the last look.
  void follow(std::size_t router) {
    Driver& d = *routers_[router];
    for (std::size_t& i = seen_[router]; i < d.log.size(); ++i) {
      const auto& [at, action] = d.log[i];
      if (const auto* send = std::get_if<Send>(&action)) {
        const std::uint64_t to = send->endpoint.value;
        Micros done = at + 100 * kMs;
        if (to <= kReaders) {
          sends_[to].push_back(at);
          const double slow = cold_ && to <= kColdOnes ? coldFrom_ : 1;
          const auto work = static_cast<Micros>(0.6 * kReaders / shape_.perSecond * 1e6 / slow);
          done = busy_[to] = std::max(busy_[to], at) + work;
        }
        out_[send->id.value] = {to, done};
        ends_.emplace(done, std::pair(router, send->id.value));
      } else if (const auto* cancel = std::get_if<Cancel>(&action); cancel && out_.erase(cancel->id.value)) {
        // Its engine goes on; the outcome comes at once.
        const auto id = cancel->id.value;
        d.end(id, Outcome::cancelled);
      }
    }
  }
  Seen judge(Micros coldAt, Micros end) const {
    Seen out;
    double warm = 0;
    for (const auto& [reader, times] : sends_)
      warm += static_cast<double>(std::count_if(
          times.begin(), times.end(), [&](Micros t) { return t >= coldAt - 8 * kSec && t < coldAt; }));
    out.budget = multiple_ * warm / static_cast<double>(kReaders) * static_cast<double>(window_) / 8e6;
    double windows = 0;
    for (std::uint64_t reader = 1; reader <= kColdOnes; ++reader) {
      const auto found = sends_.find(reader);
      for (Micros t = coldAt + window_; t <= end; t += 20 * kMs, ++windows) {
        const double n = found == sends_.end()
                             ? 0
                             : static_cast<double>(std::count_if(
                                   found->second.begin(), found->second.end(),
                                   [&](Micros s) { return s >= coldAt && s > t - window_ && s <= t; }));
        out.most = std::max(out.most, n);
        out.mean += n;
        out.overBudget += n > out.budget ? 1 : 0;
      }
    }
    out.mean /= windows;
    out.overBudget /= windows;
    return out;
  }

  Shape shape_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Driver>> routers_;
  std::vector<double> shares_;
  Micros window_ = 0;
  Micros warmWithin_ = 0;
  double multiple_ = 0;
  std::uint64_t last_ = 0;
  std::multimap<Micros, std::pair<std::size_t, std::uint64_t>> ends_;
  std::map<std::uint64_t, std::vector<Micros>> sends_;
  std::map<std::uint64_t, std::pair<std::uint64_t, Micros>> out_;  // by request: where, and when it will end
  std::map<std::uint64_t, Micros> busy_;                           // readers
  std::vector<std::size_t> seen_;                                  // of each router's log
  double coldFrom_ = 1;
  bool cold_ = false;
};

class ColdRamp : public testing::TestWithParam<Shape> {};

// Over all seeds no window is beyond what chance leaves, and a cold reader is not left idle for it either.
TEST_P(ColdRamp, TheFleetsSumStaysWithinTheBudgetAndUsesIt) {
  double mean = 0;
  double over = 0;
  double nearest = 0;
  const int seeds = GetParam().seeds;
  for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(seeds); ++seed) {
    const Seen seen = Fleet(GetParam(), seed).play();
    ASSERT_GT(seen.budget, 0);
    const double limit = seen.budget + 2 * std::sqrt(seen.budget) + 2;
    EXPECT_LE(seen.most, limit) << "seed " << seed << ", budget " << seen.budget;
    nearest = std::max(nearest, seen.most / limit);
    mean += seen.mean / seen.budget / seeds;
    over += seen.overBudget / seeds;
  }
  RecordProperty("mean_share_of_budget", std::to_string(mean));
  RecordProperty("windows_over_budget", std::to_string(over));
  RecordProperty("most_share_of_limit", std::to_string(nearest));
  std::cout << "routers " << GetParam().routers << ", " << GetParam().perSecond << " a second"
            << (GetParam().numbered ? "" : ", no numbers") << ": mean " << mean << " of the budget, over it "
            << over << " of windows, at most " << nearest << " of the limit\n";
  EXPECT_GT(mean, GetParam().least);
  EXPECT_LT(over, 0.05);
}

// The least shares lie between what lots gave, and what turns give.
INSTANTIATE_TEST_SUITE_P(Fleets, ColdRamp,
                         testing::Values(Shape{3, 30, 12, 0.36}, Shape{3, 120, 3, 0.53},
                                         Shape{30, 30, 6, 0.25}, Shape{30, 120, 3, 0.45},
                                         Shape{300, 60, 2, 0.14}, Shape{300, 60, 2, 0.14, false}));

}  // namespace
}  // namespace garnethook::test
