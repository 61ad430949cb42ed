/// @file
/// One connection of a watch: requests the list and its changes since a revision, and reports the JSON
/// objects received.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http1/message.h"
#include "net/stream.h"
#include "platform/discovery/json_object_splitter.h"
#include "platform/discovery/watch_error.h"

namespace garnethook::platform {

/// Connection with a single request whose response stays open. Runs on the event loop's thread.
class WatchSession final : private net::StreamEvents, private http1::MessageEvents {
 public:
  /// Receives the events of a session.
  class Listener {
   public:
    virtual ~Listener() = default;
    /// A complete object was received. Returns false if it is invalid, which ends the session.
    virtual bool onMessage(WatchSession& session, std::string_view text) = 0;
    /// Data was received; called after `onMessage` for the objects that it completes.
    virtual void onDataReceived(WatchSession& session) = 0;
    /// The session ended other than by `close`. The listener may close it during the call, but may destroy it
    /// only in a later iteration of the event loop.
    virtual void onFailed(WatchSession& session, const WatchError& error) = 0;
  };

  /// Connects immediately.
  /// @param loop event loop that runs all I/O and callbacks; must outlive the session
  /// @param address HOST:PORT; Poco::Exception is thrown if it is not a valid address
  /// @param version known revision of the list
  /// @param connectTimeout limit for establishing the connection, in microseconds
  /// @param listener receives the events of the session; must outlive it
  WatchSession(net::Loop& loop, const std::string& address, std::int64_t version, net::Micros connectTimeout,
               Listener& listener);

  /// Closes the connection; the listener is no longer called.
  void close();

  /// Whether an object has started but is not complete.
  bool isInsideMessage() const { return splitter_.isInsideObject(); }

  /// Whether discovery has sent a complete valid object, or a keep-alive, which says that nothing has changed
  /// since the revision that the session started from.
  bool hasAnswered() const { return hasAnswered_; }

 private:
  void onConnected() override;
  void onBytes(std::string_view bytes) override;
  void onClosed(net::CloseCause cause) override;
  void onHead(const http1::Head& head) override;
  void onBody(std::string_view bytes) override;
  void onEnd() override { error_ = WatchError{WatchErrorCode::responseEnded}; }
  void fail(const WatchError& error);

  std::string address_;
  std::int64_t version_;
  Listener& listener_;
  JsonObjectSplitter splitter_;
  http1::MessageParser parser_;
  std::optional<WatchError> error_;  // detected during parsing; reported after the parser returns
  bool hasAnswered_ = false;
  bool isClosed_ = false;
  net::Stream stream_;
};

}  // namespace garnethook::platform
