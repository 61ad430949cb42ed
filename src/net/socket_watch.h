/// @file
/// Registration of one socket with the reactor for read, write and error readiness. If the system temporarily
/// refuses a registration (epoll_ctl: ENOMEM, ENOSPC), it is retried until it succeeds, so that no socket
/// stays unwatched and no exception reaches a caller in the middle of its work.
///
/// Must be used on the loop's thread only.
#pragma once

#include <Poco/Net/Socket.h>

#include <functional>
#include <memory>

#include "net/loop.h"

namespace garnethook::net {

/// Watches one socket for the requested kinds of readiness.
class SocketWatch {
 public:
  /// Callbacks for the readiness of the socket.
  struct Events {
    std::function<void()> readable;  ///< Bytes, a connection or the end of the stream can be read.
    std::function<void()> writable;  ///< Bytes can be written.
    std::function<void()> failed;    ///< The poll reports an error; watched while a connection is being
                                     ///< established. May be empty.
  };
  /// @param loop loop whose reactor is used; must outlive the watch
  /// @param events callbacks for readiness
  SocketWatch(Loop& loop, Events events);
  ~SocketWatch();
  SocketWatch(const SocketWatch&) = delete;
  SocketWatch& operator=(const SocketWatch&) = delete;

  /// Sets the socket to watch. Must be called before the first call of await().
  void attach(const Poco::Net::Socket& socket) { socket_ = socket; }
  /// Replaces the set of watched kinds of readiness.
  /// @param reading whether to watch for readability
  /// @param writing whether to watch for writability
  /// @param failure whether to watch for errors of a connection that is being established
  void await(bool reading, bool writing, bool failure = false);
  /// Whether the socket is watched for readability.
  bool reading() const { return wanted_.reading; }
  /// Whether the socket is watched for writability.
  bool writing() const { return wanted_.writing; }

 private:
  struct Interest {
    bool reading = false;
    bool writing = false;
    bool failure = false;
    friend bool operator==(const Interest&, const Interest&) = default;
  };
  class Observers;
  void updateRegistration();
  void unregister();

  Loop& loop_;
  Events events_;
  Poco::Net::Socket socket_;
  Interest wanted_;
  Interest registered_;
  timing::Alarm retryAlarm_;
  Micros retryDelay_ = 0;
  std::unique_ptr<Observers> observers_;
};

}  // namespace garnethook::net
