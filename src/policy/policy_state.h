// What the decision module keeps of requests, attempts and servers: plain values, no decision and no tuned
// value.
#pragma once

#include <algorithm>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/routing_policy.h"

namespace garnethook {

enum class Stage { read, write, whole };

struct Flight {  // an attempt that is out
  int number = 0;
  EndpointId endpoint;
  Stage stage = Stage::read;
  Micros sentAt = 0;
  double work = 0;       // predicted time of the read alone
  double predicted = 0;  // predicted time to the next sign, queue included
  double told = 0;       // others' queue there at the send, by reports alone
  double promised = 0;   // tokens that the table said were cached
  double held = 0;       // tokens of memory at a writer
  Micros patience = 0;   // how long silence is borne; 0: until the deadline
  bool started = false;
  Micros startedAt = 0;
  bool trial = false;
  double size = 0;       // tokens to be read anew, or to be held
  double overtaken = 0;  // size of attempts of its stage, sent there later, that had their sign, over its own
};

// Attempts by request, in order of ids. They are gone through far more often than they change, so they lie
// side by side.
class Waits {
 public:
  using Item = std::pair<RequestId, Flight>;
  auto begin() const { return items_.begin(); }
  auto end() const { return items_.end(); }
  bool empty() const { return items_.empty(); }
  void set(RequestId id, const Flight& flight) {
    const auto at = place(id);
    if (at != items_.end() && at->first == id)
      at->second = flight;
    else
      items_.insert(at, {id, flight});
  }
  const Flight* find(RequestId id) const {
    const auto at = std::lower_bound(items_.begin(), items_.end(), id,
                                     [](const Item& item, RequestId wanted) { return item.first < wanted; });
    return at != items_.end() && at->first == id ? &at->second : nullptr;
  }
  void overtake(const Flight& by) {
    for (auto& [id, f] : items_)
      if (f.stage == by.stage && f.sentAt < by.sentAt)
        f.overtaken += std::min(1.0, std::max(1.0, by.size) / std::max(1.0, f.size));
  }
  void erase(RequestId id) {
    const auto at = place(id);
    if (at != items_.end() && at->first == id) items_.erase(at);
  }

 private:
  std::vector<Item>::iterator place(RequestId id) {
    return std::lower_bound(items_.begin(), items_.end(), id,
                            [](const Item& item, RequestId wanted) { return item.first < wanted; });
  }
  std::vector<Item> items_;
};

struct Request {
  RequestArrived request;
  RequestClass kind;
  Micros aimAt = 0;
  Micros deadline = 0;
  int attempts = 0;
  std::optional<Flight> out;
  std::vector<EndpointId> homes;  // where its beginning is hashed to, of each role
  std::optional<EndpointEntry> stateAt;
  Micros stateSince = 0;
  std::vector<EndpointId> failed;        // servers that failed it
  std::vector<std::uint64_t> slowCells;  // where a writer gave it no first token in its time
  std::optional<EndpointEntry> riskAt;   // where it may have run ...
  Micros riskSince = 0;                  // ... and when it was first sent there
  double excess = 0;  // time by which it was last found too late to hope for; below 0: in time
  bool ended = false;
  bool left = false;  // ended by its client
};

struct Server {
  EndpointEntry info;
  Role role = Role::combined;
  double memory = 0;
  bool listed = false;
  double speed = 1;
  Micros speedAt = 0;
  double firstTime = 0;  // a writer's first tokens, of late
  Micros firstAt = 0;
  double strikes = 0;
  Micros strikesAt = 0;
  bool suspect = false;
  bool probing = false;
  bool answeredProbe = false;
  std::optional<RequestId> trial;
  Micros trialAt = 0;
  Micros trialWait = 0;  // 0: the shortest
  Micros heardAt = 0;
  Micros fullUntil = 0;
  double rejected = 0;    // share of attempts there that were turned away of late, as of turnedAt
  double turnedTime = 0;  // and after what time
  Micros turnedAt = 0;
  Micros readDoneAt = 0;
  LoadReport report;
  Micros reportAt = 0;
  double ownAtReport = 0;                          // own memory held there when it reported
  double queue = 0;                                // others' reads before a new one, as time
  Micros queueAt = 0;                              // when that was seen; 0: never
  double held = 0;                                 // own streams' tokens
  Waits waits;                                     // own attempts without a sign yet
  std::deque<std::pair<Micros, double>> sends;     // work sent, of late
  std::deque<std::pair<Micros, double>> finished;  // work finished, of late
  Micros tableFrom = 0;                            // table entries older than this are void
  int emptyPromises = 0;
  double pull = 1;                              // weight in the hash
  std::deque<std::pair<Micros, double>> turns;  // while cold: when they came, of late
  double turn = 0;                              // the part of the next one that has come
  Micros turnsOf = 0;                           // of the start at that time
};

struct Reading {  // a read that was sent
  PrefixKey key;
  Micros at = 0;
  double work = 0;
};

// The reads of late, with their sums kept at hand. Work is added up in the order of the reads, oldest first,
// so the sums are to the last bit what going through all of them gives.
class Readings {
 public:
  double all() const { return all_; }
  double of(PrefixKey key) const {
    const auto at = own_.find(key.value);
    return at == own_.end() ? 0 : at->second;
  }
  void add(const Reading& read) {
    reads_.push_back(read);
    count(read);
  }
  void expire(Micros before) {
    if (reads_.empty() || reads_.front().at >= before) return;
    while (!reads_.empty() && reads_.front().at < before) reads_.pop_front();
    all_ = 0;
    own_.clear();
    for (const Reading& read : reads_) count(read);
  }

 private:
  void count(const Reading& read) {
    all_ += read.work;
    own_[read.key.value] += read.work;
  }
  std::deque<Reading> reads_;
  std::unordered_map<std::uint64_t, double> own_;
  double all_ = 0;
};

struct Cached {
  EndpointId endpoint;
  double tokens = 0;
  Micros at = 0;
};

// Where keys are kept, newest place last. A key goes when its newest place is too old; keys in order of use
// make that a matter of the oldest alone.
class Table {
 public:
  using Places = std::vector<Cached>;
  // The places of a key, or nullptr; the key of the last call is at hand.
  const Places* find(PrefixKey key) const {
    if (key.value == 0) return nullptr;
    if (key.value != lastKey_) {
      const auto at = places_.find(key.value);
      last_ = at == places_.end() ? nullptr : &at->second;
      lastKey_ = key.value;
    }
    return last_;
  }
  std::size_t size() const { return places_.size(); }
  // The places of a key, which the caller adds to, as of now.
  Places& touch(PrefixKey key, Micros now) {
    used_.emplace_back(now, key.value);
    lastKey_ = 0;
    return places_[key.value];
  }
  void expire(Micros before) {
    lastKey_ = 0;
    for (; !used_.empty() && used_.front().first < before; used_.pop_front()) {
      const auto at = places_.find(used_.front().second);
      if (at != places_.end() && at->second.back().at < before) places_.erase(at);
    }
  }

 private:
  std::unordered_map<std::uint64_t, Places> places_;
  std::deque<std::pair<Micros, std::uint64_t>> used_;
  mutable std::uint64_t lastKey_ = 0;
  mutable const Places* last_ = nullptr;
};

}  // namespace garnethook
