// The timer wheel against a sorted map.
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
  std::multimap<std::int64_t, int> plain;
  std::vector<int> fired;
  std::vector<std::pair<timing::TimerKey, std::multimap<std::int64_t, int>::iterator>> keys;
  std::int64_t now = 1'000'000;
  for (int i = 0; i < 20'000; ++i) {
    const auto kind = random() % 10;
    if (kind < 6) {
      const std::int64_t spans[] = {5'000, 400'000, 90'000'000, 20'000'000'000};
      const std::int64_t due =
          now + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(spans[random() % 4]));
      const std::int64_t tick = std::max((due - 1'000'000 + 999) / 1000, (now - 1'000'000) / 1000 + 1);
      keys.emplace_back(wheel.add(due, [&fired, i] { fired.push_back(i); }), plain.emplace(tick, i));
    } else if (kind == 6 && !keys.empty()) {
      const auto at = random() % keys.size();
      if (wheel.cancel(keys[at].first)) plain.erase(keys[at].second);
      keys.erase(keys.begin() + static_cast<std::ptrdiff_t>(at));
    } else {
      now += static_cast<std::int64_t>(random() % (kind == 9 ? 3'000'000'000 : 30'000));
      if (const auto next = wheel.next(); next && !plain.empty()) {
        ASSERT_LE(*next, 1'000'000 + plain.begin()->first * 1000);
      }
      fired.clear();
      wheel.advance(now);
      std::vector<int> expected;
      const auto end = plain.upper_bound((now - 1'000'000) / 1000);
      for (auto at = plain.begin(); at != end; ++at) expected.push_back(at->second);
      plain.erase(plain.begin(), end);
      auto sorted = fired;
      std::sort(sorted.begin(), sorted.end());
      std::sort(expected.begin(), expected.end());
      ASSERT_EQ(sorted, expected);
    }
    ASSERT_EQ(wheel.size(), plain.size());
  }
}

TEST(TimerWheel, LetsTasksAddAndCancelTimers) {
  timing::TimerWheel wheel(1000, 0);
  int runs = 0;
  timing::TimerKey victim;
  wheel.add(5000, [&] {
    ++runs;
    EXPECT_TRUE(wheel.cancel(victim));
    wheel.add(5000, [&] { ++runs; });  // not within this tick
  });
  victim = wheel.add(5000, [&] { runs += 100; });
  wheel.advance(5000);
  EXPECT_EQ(runs, 1);
  wheel.advance(6000);
  EXPECT_EQ(runs, 2);
  EXPECT_FALSE(wheel.cancel(victim));
}

}  // namespace
}  // namespace garnethook
