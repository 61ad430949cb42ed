/// One connection of the watch: requests the list and its changes from a revision on, and reports the JSON
/// objects that arrive.
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

/// A connection with one request whose response has no end. Runs on the loop's thread.
class WatchSession final : private net::StreamEvents, private http1::MessageEvents {
 public:
  /// Receives what happens on a session.
  class Listener {
   public:
    virtual ~Listener() = default;
    /// A complete object came. Returns false where it cannot be used; the session ends then.
    virtual bool onMessage(WatchSession& session, std::string_view text) = 0;
    /// Bytes came; called after `onMessage` for the objects in them.
    virtual void onDataReceived(WatchSession& session) = 0;
    /// The session has ended by itself. It may be closed from within, and destroyed in a later turn of the
    /// loop.
    virtual void onFailed(WatchSession& session, const WatchError& error) = 0;
  };

  /// Connects at once. `address`: HOST:PORT; throws Poco::Exception where it is none. `version`: the list's
  /// revision that is known already. The listener must outlive the session.
  WatchSession(net::Loop& loop, const std::string& address, std::int64_t version, net::Micros connectTimeout,
               Listener& listener);

  /// Closes the connection; the listener is not called any more.
  void close();

  /// Whether an object has begun and not ended yet.
  bool isInsideMessage() const { return splitter_.isInsideObject(); }

  /// Whether a usable object has come.
  bool hasReceivedMessage() const { return hasReceivedMessage_; }

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
  std::optional<WatchError> error_;  // found while parsing; reported once the parser has returned
  bool hasReceivedMessage_ = false;
  bool isClosed_ = false;
  net::Stream stream_;
};

}  // namespace garnethook::platform
