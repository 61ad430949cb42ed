// The watch: a chunked answer of discovery's that stays open, one list after another. It is begun anew
// whenever it ends, from the version that is known by then.
//
// A discovery that is slow or crowded may answer later than a silent watch is borne: a session that has
// brought no list yet is kept beside the next one, and the first that brings a list goes on alone.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "platform/discovery/endpoint_list.h"
#include "platform/discovery/watch_policy.h"
#include "platform/discovery/watch_session.h"

namespace garnethook::platform {

class Watch final : private WatchSession::Events {
 public:
  struct Events {
    std::function<void(const EndpointListUpdate&)> update;
    std::function<void(const std::string&)> error;
    std::function<std::int64_t()> version;  // of the list that is held
    std::function<void()> heard = [] {};    // bytes came on a session that has brought a list
  };
  // Begins at once. `address`: HOST:PORT.
  Watch(net::Loop& loop, const std::string& address, Events events);
  ~Watch() override;

  // Leaves the old address for another one; the list is held meanwhile. Throws Poco::Exception where it is no
  // address; the old one is followed on then.
  void move(const std::string& address);
  // Connections to discovery, those that are still coming up among them.
  std::size_t sessions() const { return waiting_.size() + (current_ ? 1 : 0); }

 private:
  static constexpr std::size_t kMostWaiting = 2;  // sessions beside the newest that may still bring a list

  void begin();
  void plan();
  void setAside();
  void discard(std::unique_ptr<WatchSession> session);
  bool onObject(WatchSession& session, std::string_view text) override;
  void onHeard(WatchSession& session) override;
  void onOver(WatchSession& session, const std::string& why) override;

  net::Loop& loop_;
  std::string address_;
  Events events_;
  WatchPolicy policy_;
  timing::Alarm alarm_;
  std::unique_ptr<WatchSession> current_;
  std::deque<std::unique_ptr<WatchSession>> waiting_;  // older ones that have brought nothing yet
};

}  // namespace garnethook::platform
