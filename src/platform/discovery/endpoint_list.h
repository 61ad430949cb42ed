// Discovery's lists: one JSON object each, the whole list or what changed in it. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "membership/endpoint_spec.h"

namespace garnethook::platform {

struct EndpointListUpdate {
  std::int64_t version = 0;
  bool complete = false;
  std::vector<membership::EndpointSpec> engines;
  std::vector<std::string> errors;  // entries that can't be used; they are left out
};

// Throws std::runtime_error, saying what is wrong, where the text is no list at all.
EndpointListUpdate parseEndpointList(std::string_view text);

class EndpointList {
 public:
  // What the decision module is told of it: the changed entries, or all. An engine that a complete list lacks
  // is gone. Of changes that are older than the list nothing is taken. A complete list always holds, with one
  // exception: where it is older than the word that an engine drains or is gone, as from a discovery that
  // lags behind the one before it, that engine does not come back by it, unless it has another start.
  struct Change {
    bool any = false;
    EndpointUpdate::Kind kind = EndpointUpdate::Kind::delta;
    membership::EndpointMap entries;  // engines that are gone among them
  };
  Change apply(const EndpointListUpdate& update);
  void recall(const membership::EndpointMap& engines, std::int64_t version);

  const membership::EndpointMap& engines() const { return engines_; }  // none that is gone
  std::int64_t version() const { return version_; }

 private:
  // The word that an engine takes no new work.
  struct Retirement {
    std::int64_t version = 0;
    timing::UnixTime startedAt;
    bool gone = false;
  };
  static constexpr std::size_t kMostRetired = 8192;  // beyond it the oldest word is forgotten

  void note(const membership::EndpointSpec& engine, std::int64_t version);
  const Retirement* retiredAfter(const membership::EndpointSpec& engine, std::int64_t version) const;
  void boundRetired();

  membership::EndpointMap engines_;
  std::int64_t version_ = 0;
  std::map<std::string, Retirement> retired_;
};

}  // namespace garnethook::platform
