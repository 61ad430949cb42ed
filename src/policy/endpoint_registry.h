// The servers that the decision module knows, and an index of them, so that what comes up often need not walk
// the whole list: counts by role and zone, servers with a history here, servers that may still be cold, and a
// bounded set of them for each request. Plain bookkeeping: no decision but which servers belong to the
// bounded set.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

#include "policy/hash.h"
#include "policy/policy_state.h"

namespace garnethook {

class Fleet {
 public:
  using Servers = std::map<EndpointId, Server>;
  using Group = std::vector<const Server*>;

  // Up to so many servers of a role are looked at whole.
  static constexpr std::size_t kWholeRole = 128;
  // Of a larger role: this router's own part, agreed with nobody, that moves little as servers come and go.
  static constexpr std::size_t kOwnPart = 64;

  // And so many of each cell, so that states of the cell's readers stay in it.
  static constexpr std::size_t kOwnOfCell = 2;

  // `order`: this router's own order of the servers.
  explicit Fleet(PrefixKey order) : order_(order) {}

  Servers& all() { return servers_; }
  const Servers& all() const { return servers_; }
  Server& at(EndpointId id) { return servers_[id]; }
  Server* find(EndpointId id) {
    const auto at = servers_.find(id);
    return at == servers_.end() ? nullptr : &at->second;
  }
  const Server* find(EndpointId id) const {
    const auto at = servers_.find(id);
    return at == servers_.end() ? nullptr : &at->second;
  }

  // All of a role, in order of ids, listed or not.
  const std::vector<Server*>& ofRole(Role role) const { return byRole_[index(role)]; }
  // Listed ones.
  std::size_t listed(Role role) const { return listedOfRole_[index(role)]; }
  std::size_t listedInZone(std::size_t zone) const {
    const auto at = listedInZone_.find(zone);
    return at == listedInZone_.end() ? 0 : at->second;
  }

  // Servers with which this router has had to do, in order of ids.
  const std::map<EndpointId, Server*>& met() const { return met_; }
  void meet(EndpointId id, Server& endpoint) { met_.emplace(id, &endpoint); }

  // Servers that started at a known time and had not warmed up when they were last looked at.
  std::vector<Server*>& starting() { return starting_; }

  // Whether a role is too large to be looked at whole.
  bool large(Role role) const { return byRole_[index(role)].size() > kWholeRole; }
  // Of a large role: this router's own part, and some servers of the cell where one is told, again its own.
  Group part(Role role, const std::uint64_t* cell) const {
    Group out(own_[index(role)].begin(), own_[index(role)].end());
    if (cell == nullptr) return out;
    std::vector<std::pair<std::uint64_t, const Server*>> ofCell;
    const auto [from, to] = byCell_.equal_range(*cell);
    for (auto at = from; at != to; ++at)
      if (at->second->role == role && at->second->listed)
        ofCell.emplace_back(~rendezvous(order_, at->second->info.id), at->second);
    std::sort(ofCell.begin(), ofCell.end());
    for (std::size_t i = 0; i < std::min(ofCell.size(), kOwnOfCell); ++i) out.push_back(ofCell[i].second);
    return out;
  }

  // Answering memory of the listed ones of a role.
  double listedMemory(Role role) const { return memoryOfRole_[index(role)]; }

  // Adds the `count` listed servers of a role with the least weighted rendezvous hash of the key, in its
  // order; a server's weight is its `pull`, as of the last indexHashes().
  void leastByWeightedHash(Role role, PrefixKey key, std::size_t count, std::vector<EndpointId>& out) {
    if (!large(role)) return findLeast(role, key, count, out);
    auto& remembered = remembered_[index(role)];
    if (remembered.size() >= kRememberedKeys && !remembered.contains(key.value)) remembered.clear();
    auto at = remembered.try_emplace(key.value).first;
    const std::size_t wanted = std::min(count, hashed_[index(role)].size());
    if (at->second.size() < wanted) {
      at->second.clear();
      findLeast(role, key, std::bit_ceil(std::max(count, kRememberedHomes)), at->second);
    }
    const auto end = at->second.begin() + static_cast<std::ptrdiff_t>(std::min(count, at->second.size()));
    out.insert(out.end(), at->second.begin(), end);
  }

  // To be called when weights have changed.
  void indexHashes() {
    mostWeight_ = 0;
    for (auto& remembered : remembered_) remembered.clear();
    for (std::size_t role = 0; role < byRole_.size(); ++role) {
      hashed_[role].clear();
      for (const Server* s : byRole_[role]) {
        if (!s->listed) continue;
        hashed_[role].push_back({mix(s->info.id.value), s->pull, s->info.id});
        mostWeight_ = std::max(mostWeight_, s->pull);
      }
    }
  }

  // Drops those that are neither listed nor in use.
  void forgetGone() {
    if (!anyUnlisted_) return;
    const auto gone = [](const auto& item) {
      return !item.second.listed && item.second.waits.empty() && item.second.held <= 0;
    };
    for (const auto& item : servers_)
      if (gone(item)) met_.erase(item.first);
    if (std::erase_if(servers_, gone) > 0) reindex();
  }

  // To be called when the list has changed.
  void reindex() {
    for (auto& group : byRole_) group.clear();
    listedOfRole_ = {};
    memoryOfRole_ = {};
    listedInZone_.clear();
    byCell_.clear();
    starting_.clear();
    anyUnlisted_ = false;
    for (auto& [id, s] : servers_) add(s);
    for (std::size_t role = 0; role < byRole_.size(); ++role) choosePart(role);
  }

 private:
  // Of a large role: for so many keys, so many servers each or what was asked for; about 200 bytes a key.
  static constexpr std::size_t kRememberedKeys = 2048;
  static constexpr std::size_t kRememberedHomes = 4;

  static std::size_t index(Role role) { return static_cast<std::size_t>(role); }

  void add(Server& s) {
    byRole_[index(s.role)].push_back(&s);
    if (s.info.startedAt > 0) starting_.push_back(&s);
    byCell_.emplace(s.info.cell, &s);
    if (!s.listed) {
      anyUnlisted_ = true;
      return;
    }
    ++listedOfRole_[index(s.role)];
    memoryOfRole_[index(s.role)] += std::max(1.0, s.memory);
    if (s.info.zone) ++listedInZone_[*s.info.zone];
  }

  void findLeast(Role role, PrefixKey key, std::size_t count, std::vector<EndpointId>& out) const {
    if (count == 0) return;
    constexpr double kRange = 9007199254740992.0;  // 2^53
    const std::uint64_t mixedKey = mix(key.value + 0x9e3779b97f4a7c15ULL);
    std::vector<std::pair<double, EndpointId>> least;  // a heap, its worst first
    double unlikely = 0;                               // draws below it are worse than all of a full heap
    for (const Hashed& h : hashed_[index(role)]) {
      const double draw = static_cast<double>(mix(mixedKey ^ h.mixedId) >> 11) + 0.5;
      if (draw < unlikely) continue;
      const std::pair cost{-std::log(draw / kRange) / h.weight, h.id};
      if (least.size() == count) {
        if (cost >= least.front()) continue;
        std::pop_heap(least.begin(), least.end());
        least.pop_back();
      }
      least.push_back(cost);
      std::push_heap(least.begin(), least.end());
      // A hair less, for rounding.
      if (least.size() == count) unlikely = std::exp(-least.front().first * mostWeight_) * kRange * 0.999999;
    }
    std::sort_heap(least.begin(), least.end());
    for (const auto& [cost, id] : least) out.push_back(id);
  }

  // By rendezvous hashing: a server that comes or goes changes the part by one.
  void choosePart(std::size_t role) {
    own_[role].clear();
    if (byRole_[role].size() <= kWholeRole) return;
    std::vector<std::pair<std::uint64_t, Server*>> draws;
    for (Server* s : byRole_[role])
      if (s->listed) draws.emplace_back(~rendezvous(order_, s->info.id), s);
    const auto size = std::min(draws.size(), kOwnPart);
    std::partial_sort(draws.begin(), draws.begin() + static_cast<std::ptrdiff_t>(size), draws.end());
    for (std::size_t i = 0; i < size; ++i) own_[role].push_back(draws[i].second);
  }

  PrefixKey order_;
  Servers servers_;
  std::array<std::vector<Server*>, 3> byRole_;
  std::array<std::vector<Server*>, 3> own_;
  std::array<std::size_t, 3> listedOfRole_{};
  std::array<double, 3> memoryOfRole_{};
  // What hashing needs of the listed servers, side by side.
  struct Hashed {
    std::uint64_t mixedId;
    double weight;
    EndpointId id;
  };
  std::array<std::vector<Hashed>, 3> hashed_;
  double mostWeight_ = 1;
  std::array<std::unordered_map<std::uint64_t, std::vector<EndpointId>>, 3> remembered_;  // by key
  std::map<std::size_t, std::size_t> listedInZone_;
  std::unordered_multimap<std::uint64_t, Server*> byCell_;
  std::map<EndpointId, Server*> met_;
  std::vector<Server*> starting_;
  bool anyUnlisted_ = false;
};

}  // namespace garnethook
