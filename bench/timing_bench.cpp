// Compares the timer wheel with the simple alternative, a std::multimap by due time, under the load of the
// router: most timers are cancelled before they are due. Prints nanoseconds per operation and the ratio;
// asserts nothing.
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "timing/timer_wheel.h"

namespace {

using garnethook::timing::Micros;
using Clock = std::chrono::steady_clock;

class MultimapTimers {
 public:
  using Key = std::multimap<Micros, std::function<void()>>::iterator;
  Key add(Micros due, std::function<void()> task) { return timers_.emplace(due, std::move(task)); }
  void cancel(Key key) { timers_.erase(key); }
  void advance(Micros now) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
      const auto task = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      task();
    }
  }

 private:
  std::multimap<Micros, std::function<void()>> timers_;
};

// Keeps `timerCount` timers pending that are due within 5 s. Each step cancels one timer and adds one; time
// advances by 1 ms every 100 steps.
template <class Timers>
double nanosecondsPerStep(Timers& timers, std::size_t timerCount) {
  std::mt19937_64 random(3);
  Micros now = 0;
  std::uint64_t runCount = 0;
  using Key = decltype(timers.add(0, [] {}));
  struct Slot {
    Key key{};
    bool isPending = false;
  };
  std::vector<Slot> slots(timerCount);
  const auto addTimer = [&](std::size_t i) {
    slots[i].key = timers.add(now + 1000 + static_cast<Micros>(random() % 5'000'000), [&, i] {
      slots[i].isPending = false;
      ++runCount;
    });
    slots[i].isPending = true;
  };
  for (std::size_t i = 0; i < timerCount; ++i) addTimer(i);
  constexpr int kSteps = 2'000'000;
  const auto begin = Clock::now();
  for (int step = 0; step < kSteps; ++step) {
    const std::size_t i = random() % timerCount;
    if (slots[i].isPending) timers.cancel(slots[i].key);
    addTimer(i);
    if (step % 100 == 0) timers.advance(now += 1000);
  }
  return std::chrono::duration<double>(Clock::now() - begin).count() * 1e9 / kSteps;
}

}  // namespace

int main() {
  std::printf("%10s %12s %12s %8s\n", "timers", "wheel, ns", "multimap, ns", "ratio");
  for (const std::size_t timerCount : {100, 10'000, 100'000, 1'000'000}) {
    garnethook::timing::TimerWheel wheel(1000, 0);
    MultimapTimers sortedMap;
    const double wheelNs = nanosecondsPerStep(wheel, timerCount);
    const double multimapNs = nanosecondsPerStep(sortedMap, timerCount);
    std::printf("%10zu %12.0f %12.0f %8.2f\n", timerCount, wheelNs, multimapNs, multimapNs / wheelNs);
  }
}
