/// @file
/// The registration of one socket with the reactor: what of reading and writing is awaited. Where the system
/// refuses a registration for a moment (epoll_ctl: ENOMEM, ENOSPC) it is tried again until it holds, so that
/// no socket is forgotten and no exception reaches a caller in the middle of its work.
///
/// On the loop's thread.
#pragma once

#include <Poco/Net/Socket.h>

#include <functional>
#include <memory>

#include "net/loop.h"

namespace garnethook::net {

/// Registers one socket for what is awaited of it.
class SocketWatch {
 public:
  /// What is called when the socket becomes ready.
  struct Events {
    std::function<void()> readable;  ///< Bytes, a connection or an end can be read.
    std::function<void()> writable;  ///< Bytes can be written.
    std::function<void()>
        failed;  ///< The poll reports an error; asked for while a connection comes up. May be empty.
  };
  /// @param loop whose reactor is used; must outlive the watch
  /// @param events called on readiness
  SocketWatch(Loop& loop, Events events);
  ~SocketWatch();
  SocketWatch(const SocketWatch&) = delete;
  SocketWatch& operator=(const SocketWatch&) = delete;

  /// The socket to be watched, before the first call of `await`.
  void attach(const Poco::Net::Socket& socket) { socket_ = socket; }
  /// Sets what is awaited from now on.
  /// @param reading readable
  /// @param writing writable
  /// @param failure errors of a connection that is being established
  void await(bool reading, bool writing, bool failure = false);
  /// Whether reading is awaited.
  bool reading() const { return wanted_.reading; }
  /// Whether writing is awaited.
  bool writing() const { return wanted_.writing; }

 private:
  struct Interest {
    bool reading = false;
    bool writing = false;
    bool failure = false;
    friend bool operator==(const Interest&, const Interest&) = default;
  };
  class Observers;
  void apply();
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
