/// The watch of discovery: a chunked response that stays open and carries one list after another. Whenever it
/// ends it is requested again, from the revision that is known by then.
///
/// A slow or crowded discovery may answer only after a silent session has timed out. A session that has not
/// brought a list yet is therefore kept beside the next one, and the first that brings a list goes on alone.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "platform/discovery/endpoint_list_parser.h"
#include "platform/discovery/watch_error.h"
#include "platform/discovery/watch_policy.h"
#include "platform/discovery/watch_session.h"

namespace garnethook::platform {

/// Keeps one watch alive for as long as it exists. Runs on the loop's thread.
class Watch final : private WatchSession::Listener {
 public:
  /// Receives what the watch learns.
  class Listener {
   public:
    virtual ~Listener() = default;
    /// A list came.
    virtual void onListUpdate(const EndpointListUpdate& update) = 0;
    /// A session with discovery failed, or a list could not be used.
    virtual void onWatchError(const std::string& address, const WatchError& error) = 0;
    /// The list's revision that is known; the next session begins from it.
    virtual std::int64_t currentListVersion() const = 0;
    /// Bytes came on a session that has brought a list, and no list is unfinished: what is known is current.
    virtual void onWatchAlive() = 0;
  };

  /// Connects at once. `address`: HOST:PORT; throws Poco::Exception where it is none. The listener must
  /// outlive the watch.
  Watch(net::Loop& loop, const std::string& address, Listener& listener);
  ~Watch() override;

  /// Watches another address from now on. Throws Poco::Exception where it is no address; the old one is
  /// watched on then.
  void changeAddress(const std::string& address);

  /// Connections to discovery, those that are still coming up among them.
  std::size_t sessionCount() const { return lateSessions_.size() + (current_ ? 1 : 0); }

 private:
  using SessionPointer = std::unique_ptr<WatchSession>;
  static constexpr std::size_t kMaxLateSessions = 2;

  void connect();
  void scheduleNextStep();
  void runNextStep();
  void setCurrentAside();
  void promote(const WatchSession& session);
  void discard(SessionPointer session);
  void discardLateSessions();
  bool onMessage(WatchSession& session, std::string_view text) override;
  void onDataReceived(WatchSession& session) override;
  void onFailed(WatchSession& session, const WatchError& error) override;

  net::Loop& loop_;
  std::string address_;
  Listener& listener_;
  WatchPolicy policy_;
  timing::Alarm alarm_;
  SessionPointer current_;
  std::deque<SessionPointer> lateSessions_;  // timed out without a list, which may still come; oldest first
};

}  // namespace garnethook::platform
