// Benchmarks token counting: compares the count cache with an std::unordered_map and an LRU list of the same
// memory bound, and measures short prompts during a flood of long ones. Compare figures only within one run.
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
#include "fake_engine/generated_vocabulary.h"
#include "net/loop.h"

namespace {

using namespace garnethook;
using counting::Digest;
using Clock = std::chrono::steady_clock;

double seconds(Clock::time_point from) { return std::chrono::duration<double>(Clock::now() - from).count(); }

// The baseline cache. It limits its entries by the bytes that malloc allocates for the nodes of both
// containers.
class PlainLru {
 public:
  explicit PlainLru(std::size_t bytes) : maxEntries_(bytes / kEntryBytes) {}
  bool find(const Digest& key) {
    const auto at = map_.find(key);
    if (at == map_.end()) return false;
    recency_.splice(recency_.begin(), recency_, at->second);
    return true;
  }
  void put(const Digest& key) {
    if (map_.size() >= maxEntries_) {
      map_.erase(recency_.back().first);
      recency_.pop_back();
    }
    recency_.emplace_front(key, tokeniser::EncodingPosition{});
    map_[key] = recency_.begin();
  }
  std::size_t size() const { return map_.size(); }

 private:
  // List node (48 bytes) and map node (40 bytes), each with 8 bytes of malloc overhead, rounded up to 16, and
  // one bucket pointer.
  static constexpr std::size_t kEntryBytes = 64 + 48 + 8;
  struct Hash {
    std::size_t operator()(const Digest& digest) const { return static_cast<std::size_t>(digest.low); }
  };
  std::size_t maxEntries_;
  std::list<std::pair<Digest, tokeniser::EncodingPosition>> recency_;
  std::unordered_map<Digest, std::list<std::pair<Digest, tokeniser::EncodingPosition>>::iterator, Hash> map_;
};

// Looks up Zipf-distributed keys mixed with a share `flood` of keys that occur once.
template <class Cache, class Find, class Put>
void measureCache(const char* name, Cache& cache, double flood, Find find, Put put) {
  std::mt19937_64 random(1);
  const std::size_t keys = 400'000;
  std::vector<double> cumulativeWeights(keys);
  double totalWeight = 0;
  for (std::size_t i = 0; i < keys; ++i)
    cumulativeWeights[i] = totalWeight += 1 / std::pow(static_cast<double>(i + 1), 0.9);
  counting::Digester digester{counting::DigestKey()};
  std::vector<Digest> digests;
  std::vector<bool> isFlood;
  for (std::size_t i = 0; i < 2'000'000; ++i) {
    const double uniform = static_cast<double>(random() >> 11) / 9007199254740992.0;
    const bool occursOnce = uniform < flood;
    isFlood.push_back(occursOnce);
    std::uint64_t key = occursOnce ? keys + i : 0;
    if (!occursOnce) {
      const double target = static_cast<double>(random() >> 11) / 9007199254740992.0 * totalWeight;
      key = static_cast<std::uint64_t>(
          std::lower_bound(cumulativeWeights.begin(), cumulativeWeights.end(), target) -
          cumulativeWeights.begin());
    }
    digests.push_back({key * 0x9e3779b97f4a7c15U ^ (key << 17), (key + 1) * 0xc2b2ae3d27d4eb4fU});
  }
  std::size_t found = 0;
  std::size_t repeatedLookups = 0;
  const auto start = Clock::now();
  for (std::size_t i = 0; i < digests.size(); ++i) {
    const bool hit = find(cache, digests[i]);
    if (!isFlood[i]) {
      ++repeatedLookups;
      found += hit;
    }
    if (!hit) put(cache, digests[i]);
  }
  std::printf("  %-22s %8zu entries, found %5.1f%% of repeated keys, %5.0f ns per lookup\n", name,
              cache.size(), 100.0 * static_cast<double>(found) / static_cast<double>(repeatedLookups),
              seconds(start) / 2e6 * 1e9);
}

void compareCaches() {
  for (const double flood : {0.0, 0.3, 0.7}) {
    std::printf("cache of 2 MB, %.0f%% of lookups are for keys that occur once\n", flood * 100);
    counting::CountCache cache(2'000'000);
    measureCache(
        "W-TinyLFU, arrays", cache, flood, [](auto& c, const Digest& d) { return c.find(d).has_value(); },
        [](auto& c, const Digest& d) {
          c.put(d, {1, 1});
        });
    PlainLru plain(2'000'000);
    measureCache(
        "unordered_map + LRU", plain, flood, [](auto& c, const Digest& d) { return c.find(d); },
        [](auto& c, const Digest& d) { c.put(d); });
  }
}

std::string randomWords(std::mt19937_64& random, std::size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += ' ';
    for (std::size_t letters = 2 + random() % 9; letters > 0; --letters)
      text += static_cast<char>('a' + random() % 26);
  }
  return text;
}

// Counts a prompt of `shortBytes` every 2 ms, with or without a flood of long ones. Returns the sorted
// latencies in ms.
std::vector<double> shortPromptLatencies(const std::vector<counting::LoadedTokeniser>& loaded,
                                         std::size_t shortBytes, bool flood, bool plainFifo) {
  counting::CounterOptions options;
  options.inlineBytes = 0;
  options.timeout = 10'000'000;
  options.pool.queue.workers = 2;
  if (plainFifo) options.pool.sliceCost = 1u << 30;  // unsliced jobs, as in a plain FIFO pool
  if (plainFifo) options.pool.queue.longCost = 1u << 30;
  net::Loop loop;
  auto counter = std::make_unique<counting::Counter>(
      options, loop, [&](std::function<void()> task) { loop.post(std::move(task)); });
  std::mt19937_64 random(7);
  const std::string longText = randomWords(random, 1'000'000);
  std::vector<double> latenciesMs;
  int remaining = 1000;
  std::function<void()> next = [&] {
    if (remaining-- == 0) {
      counter.reset();
      return loop.stop();
    }
    if (flood && remaining % 10 == 0)
      // The prompts differ from the first byte on, so that no cached prefix applies.
      counter->count(
          {std::make_shared<const std::string>(std::to_string(remaining) + longText), 0, "", false}, loaded,
          [](const auto&) {});
    const auto start = Clock::now();
    counter->count({std::make_shared<const std::string>(randomWords(random, shortBytes)), 0, "", false},
                   loaded, [&, start](const auto&) { latenciesMs.push_back(seconds(start) * 1e3); });
    loop.after(2000, next);
  };
  loop.after(0, next);
  loop.run();
  std::sort(latenciesMs.begin(), latenciesMs.end());
  return latenciesMs;
}

void flood() {
  tokeniser::FileOptions file;
  file.format = tokeniser::Format::ranks;
  file.pattern = "cl100k_base";
  const std::vector<counting::LoadedTokeniser> loaded{
      {1, {"made", "1"}, tokeniser::readRanks("made", fake_engine::generateRanks(1), file)}};
  std::printf("short prompts of 4 KB every 2 ms, on two workers; the flood: 50 MB/s of prompts of 1 MB\n");
  double quiet = 0;
  for (const auto& [name, withFlood, fifo] :
       {std::tuple{"quiet", false, false}, std::tuple{"flood, least remaining first", true, false},
        std::tuple{"flood, unsliced FIFO", true, true}}) {
    const auto latencies = shortPromptLatencies(loaded, 4096, withFlood, fifo);
    const auto latencyAt = [&](double quantile) {
      return latencies[static_cast<std::size_t>(quantile * static_cast<double>(latencies.size() - 1))];
    };
    if (quiet == 0) quiet = latencyAt(0.99);
    std::printf("  %-28s p50 %7.3f ms, p99 %7.3f ms (x%.1f of quiet), max %7.3f ms\n", name, latencyAt(0.5),
                latencyAt(0.99), latencyAt(0.99) / quiet, latencies.back());
  }
}

}  // namespace

int main() {
  compareCaches();
  flood();
}
