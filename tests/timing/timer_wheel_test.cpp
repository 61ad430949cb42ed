// Tests of the timer wheel, with a sorted map as the reference implementation.
#include "timing/timer_wheel.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace garnethook {
namespace {

TEST(TimerWheel, BehavesLikeASortedMap) {
  std::mt19937_64 random(5);
  timing::TimerWheel wheel(1000, 1'000'000);
  std::multimap<std::int64_t, int> reference;
  std::vector<int> fired;
  std::vector<std::pair<timing::TimerKey, std::multimap<std::int64_t, int>::iterator>> keys;
  std::int64_t now = 1'000'000;
  for (int step = 0; step < 20'000; ++step) {
    const auto operation = random() % 10;
    if (operation < 6) {
      const std::int64_t maxDelays[] = {5'000, 400'000, 90'000'000, 20'000'000'000};
      const std::int64_t due =
          now + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(maxDelays[random() % 4]));
      const std::int64_t tick = std::max((due - 1'000'000 + 999) / 1000, (now - 1'000'000) / 1000 + 1);
      keys.emplace_back(wheel.add(due, [&fired, step] { fired.push_back(step); }),
                        reference.emplace(tick, step));
    } else if (operation == 6 && !keys.empty()) {
      const auto index = random() % keys.size();
      if (wheel.cancel(keys[index].first)) reference.erase(keys[index].second);
      keys.erase(keys.begin() + static_cast<std::ptrdiff_t>(index));
    } else {
      now += static_cast<std::int64_t>(random() % (operation == 9 ? 3'000'000'000 : 30'000));
      if (const auto next = wheel.next(); next && !reference.empty()) {
        ASSERT_LE(*next, 1'000'000 + reference.begin()->first * 1000);
      }
      fired.clear();
      wheel.advance(now);
      std::vector<int> expected;
      const auto end = reference.upper_bound((now - 1'000'000) / 1000);
      for (auto timer = reference.begin(); timer != end; ++timer) expected.push_back(timer->second);
      reference.erase(reference.begin(), end);
      auto sortedFired = fired;
      std::sort(sortedFired.begin(), sortedFired.end());
      std::sort(expected.begin(), expected.end());
      ASSERT_EQ(sortedFired, expected);
    }
    ASSERT_EQ(wheel.size(), reference.size());
  }
}

TEST(TimerWheel, TasksCanAddAndCancelTimers) {
  timing::TimerWheel wheel(1000, 0);
  int runs = 0;
  timing::TimerKey cancelledKey;
  wheel.add(5000, [&] {
    ++runs;
    EXPECT_TRUE(wheel.cancel(cancelledKey));
    wheel.add(5000, [&] { ++runs; });  // runs in a later tick
  });
  cancelledKey = wheel.add(5000, [&] { runs += 100; });
  wheel.advance(5000);
  EXPECT_EQ(runs, 1);
  wheel.advance(6000);
  EXPECT_EQ(runs, 2);
  EXPECT_FALSE(wheel.cancel(cancelledKey));
}

}  // namespace
}  // namespace garnethook
