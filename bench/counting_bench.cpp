// Counting: the count cache beside an std::unordered_map with an LRU list under the same bound, and short
// prompts under a flood of long ones. Figures are ratios within one run.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <list>
#include <mutex>
#include <queue>
#include <random>
#include <thread>
#include <unordered_map>

#include "counting/counter.h"
#include "fake_engine/made_vocabulary.h"
#include "net/loop.h"

namespace {

using namespace garnethook;
using counting::Digest;
using Clock = std::chrono::steady_clock;

double seconds(Clock::time_point from) { return std::chrono::duration<double>(Clock::now() - from).count(); }

// The plain alternative. Its bound is met by counting what malloc takes for a node of each container.
class PlainLru {
 public:
  explicit PlainLru(std::size_t bytes) : most_(bytes / kEach) {}
  bool find(const Digest& key) {
    const auto at = map_.find(key);
    if (at == map_.end()) return false;
    order_.splice(order_.begin(), order_, at->second);
    return true;
  }
  void put(const Digest& key) {
    if (map_.size() >= most_) {
      map_.erase(order_.back().first);
      order_.pop_back();
    }
    order_.emplace_front(key, tokeniser::EncodingPosition{});
    map_[key] = order_.begin();
  }
  std::size_t size() const { return map_.size(); }

 private:
  // List node 48 and map node 40 bytes, each with eight of malloc's, rounded to 16; a bucket's pointer.
  static constexpr std::size_t kEach = 64 + 48 + 8;
  struct Hash {
    std::size_t operator()(const Digest& d) const { return static_cast<std::size_t>(d.low); }
  };
  std::size_t most_;
  std::list<std::pair<Digest, tokeniser::EncodingPosition>> order_;
  std::unordered_map<Digest, std::list<std::pair<Digest, tokeniser::EncodingPosition>>::iterator, Hash> map_;
};

// Keys by a Zipf law, and a share of floods: keys that come once.
template <class Cache, class Find, class Put>
void cacheRun(const char* name, Cache& cache, double flood, Find find, Put put) {
  std::mt19937_64 random(1);
  const std::size_t keys = 400'000;
  std::vector<double> sums(keys);
  double sum = 0;
  for (std::size_t i = 0; i < keys; ++i) sums[i] = sum += 1 / std::pow(static_cast<double>(i + 1), 0.9);
  counting::Digester digester{counting::DigestKey()};
  std::vector<Digest> names;
  std::vector<bool> isFlood;
  for (std::size_t i = 0; i < 2'000'000; ++i) {
    const double u = static_cast<double>(random() >> 11) / 9007199254740992.0;
    const bool once = u < flood;
    isFlood.push_back(once);
    std::uint64_t n = once ? keys + i : 0;
    if (!once) {
      const double v = static_cast<double>(random() >> 11) / 9007199254740992.0 * sum;
      n = static_cast<std::uint64_t>(std::lower_bound(sums.begin(), sums.end(), v) - sums.begin());
    }
    names.push_back({n * 0x9e3779b97f4a7c15U ^ (n << 17), (n + 1) * 0xc2b2ae3d27d4eb4fU});
  }
  std::size_t found = 0;
  std::size_t asked = 0;
  const auto start = Clock::now();
  for (std::size_t i = 0; i < names.size(); ++i) {
    const bool hit = find(cache, names[i]);
    if (!isFlood[i]) {
      ++asked;
      found += hit;
    }
    if (!hit) put(cache, names[i]);
  }
  std::printf("  %-22s %8zu entries, found %5.1f%% of repeated keys, %5.0f ns an ask\n", name, cache.size(),
              100.0 * static_cast<double>(found) / static_cast<double>(asked), seconds(start) / 2e6 * 1e9);
}

void caches() {
  for (const double flood : {0.0, 0.3, 0.7}) {
    std::printf("cache of 2 MB, %.0f%% of asks are keys that come once\n", flood * 100);
    counting::CountCache cache(2'000'000);
    cacheRun(
        "W-TinyLFU, arrays", cache, flood, [](auto& c, const Digest& d) { return c.find(d).has_value(); },
        [](auto& c, const Digest& d) {
          c.put(d, {1, 1});
        });
    PlainLru plain(2'000'000);
    cacheRun(
        "unordered_map + LRU", plain, flood, [](auto& c, const Digest& d) { return c.find(d); },
        [](auto& c, const Digest& d) { c.put(d); });
  }
}

std::string words(std::mt19937_64& random, std::size_t bytes) {
  std::string out;
  while (out.size() < bytes) {
    out += ' ';
    for (std::size_t n = 2 + random() % 9; n > 0; --n) out += static_cast<char>('a' + random() % 26);
  }
  return out;
}

// Short prompts of `shortBytes` each 2 ms for `lasting`, with or without long ones; their times, sorted.
std::vector<double> shorts(const std::vector<counting::Loaded>& loaded, std::size_t shortBytes, bool flood,
                           bool plainFifo) {
  counting::CounterOptions options;
  options.inlineBytes = 0;
  options.within = 10'000'000;
  options.pool.queue.workers = 2;
  if (plainFifo) options.pool.sliceCost = 1u << 30;  // whole jobs, as a plain pool runs them
  if (plainFifo) options.pool.queue.longCost = 1u << 30;
  net::Loop loop;
  auto counter = std::make_unique<counting::Counter>(
      options, loop, [&](std::function<void()> t) { loop.post(std::move(t)); });
  std::mt19937_64 random(7);
  const std::string filling = words(random, 1'000'000);
  std::vector<double> times;
  int left = 1000;
  std::function<void()> next = [&] {
    if (left-- == 0) {
      counter.reset();
      return loop.stop();
    }
    if (flood && left % 10 == 0)
      // Distinct from its first byte on, so that nothing of it is remembered.
      counter->count({std::make_shared<const std::string>(std::to_string(left) + filling), 0, "", false},
                     loaded, [](const auto&) {});
    const auto start = Clock::now();
    counter->count({std::make_shared<const std::string>(words(random, shortBytes)), 0, "", false}, loaded,
                   [&, start](const auto&) { times.push_back(seconds(start) * 1e3); });
    loop.after(2000, next);
  };
  loop.after(0, next);
  loop.run();
  std::sort(times.begin(), times.end());
  return times;
}

void flood() {
  tokeniser::FileOptions file;
  file.format = tokeniser::Format::ranks;
  file.pattern = "cl100k_base";
  const std::vector<counting::Loaded> loaded{
      {1, {"made", "1"}, tokeniser::readRanks("made", fake_engine::madeRanks(1), file)}};
  std::printf("short prompts of 4 KB every 2 ms, on two workers; the flood: 50 MB/s of prompts of 1 MB\n");
  double quiet = 0;
  for (const auto& [name, withFlood, fifo] :
       {std::tuple{"quiet", false, false}, std::tuple{"flood, slices by least left", true, false},
        std::tuple{"flood, whole jobs", true, true}}) {
    const auto t = shorts(loaded, 4096, withFlood, fifo);
    const auto at = [&](double q) {
      return t[static_cast<std::size_t>(q * static_cast<double>(t.size() - 1))];
    };
    if (quiet == 0) quiet = at(0.99);
    std::printf("  %-28s p50 %7.3f ms, p99 %7.3f ms (x%.1f of quiet), most %7.3f ms\n", name, at(0.5),
                at(0.99), at(0.99) / quiet, t.back());
  }
}

}  // namespace

int main() {
  caches();
  flood();
}
