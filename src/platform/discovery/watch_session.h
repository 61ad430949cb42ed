// One connection of the watch: asks for the list and its changes from a version on, and hands on what comes.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "http1/message.h"
#include "net/stream.h"
#include "platform/discovery/object_splitter.h"

namespace garnethook::platform {

class WatchSession final : private net::StreamEvents, private http1::MessageEvents {
 public:
  class Events {
   public:
    virtual ~Events() = default;
    // A whole object came. False: it is of no use, and the session ends.
    virtual bool onObject(WatchSession& session, std::string_view text) = 0;
    // Bytes came, after the objects in them were told.
    virtual void onHeard(WatchSession& session) = 0;
    // It is of no further use. The session may be ended from within, and destroyed in a later turn.
    virtual void onOver(WatchSession& session, const std::string& why) = 0;
  };

  // Begins at once. `address`: HOST:PORT. Throws Poco::Exception where that is none.
  WatchSession(net::Loop& loop, const std::string& address, std::int64_t version, net::Micros connectWithin,
               Events& events);

  // Nothing is told any more.
  void end();
  // An object has begun and not ended.
  bool midway() const { return objects_.midway(); }
  // A usable object has come on it.
  bool productive() const { return productive_; }

 private:
  void onConnected() override;
  void onBytes(std::string_view bytes) override;
  void onClosed(net::CloseCause cause) override;
  void onHead(const http1::Head& head) override;
  void onBody(std::string_view bytes) override;
  void onEnd() override { over_ = "the answer ended"; }
  void giveUp(const std::string& why);

  std::string address_;
  std::int64_t version_;
  Events& events_;
  ObjectSplitter objects_;
  http1::MessageParser parser_;
  std::string over_;  // why it is of no further use; empty: it is
  bool productive_ = false;
  bool ended_ = false;
  net::Stream stream_;
};

}  // namespace garnethook::platform
