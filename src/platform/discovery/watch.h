/// @file
/// Watch on discovery: a chunked response that stays open and delivers one list after another. When the
/// response ends, it is requested again from the revision known at that time.
///
/// A slow or overloaded discovery may respond only after a silent session has timed out. A session that has
/// not answered yet is therefore kept open alongside the next one; the first session that answers becomes the
/// current one, and the others are closed.
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

/// Maintains one watch during its lifetime. Runs on the event loop's thread.
class Watch final : private WatchSession::Listener {
 public:
  /// Receives the lists and errors of a watch.
  class Listener {
   public:
    virtual ~Listener() = default;
    /// A list was received.
    virtual void onListUpdate(const EndpointListUpdate& update) = 0;
    /// A session with discovery failed, or a list was invalid.
    virtual void onWatchError(const std::string& address, const WatchError& error) = 0;
    /// Returns the known revision of the list, from which the next session starts.
    virtual std::int64_t currentListVersion() const = 0;
    /// Data was received on a session that has answered, and no list is incomplete: the known list is
    /// current.
    virtual void onWatchAlive() = 0;
  };

  /// Connects immediately.
  /// @param loop event loop that runs all I/O and callbacks; must outlive the watch
  /// @param address HOST:PORT; Poco::Exception is thrown if it is not a valid address
  /// @param listener receives lists and errors; must outlive the watch
  Watch(net::Loop& loop, const std::string& address, Listener& listener);
  ~Watch() override;

  /// Switches the watch to another address. Throws Poco::Exception if the address is invalid; the watch on
  /// the previous address then continues.
  void changeAddress(const std::string& address);

  /// Number of connections to discovery, including those still being established.
  std::size_t sessionCount() const { return lateSessions_.size() + (current_ ? 1 : 0); }

 private:
  using SessionPointer = std::unique_ptr<WatchSession>;
  static constexpr std::size_t kMaxLateSessions = 2;

  void connect();
  void scheduleNextStep();
  void runNextStep();
  void keepCurrentAsLate();
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
  std::deque<SessionPointer> lateSessions_;  // timed out before an answer; oldest first
};

}  // namespace garnethook::platform
