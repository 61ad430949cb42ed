/// @file
/// A listening TCP socket that is driven by the event loop.
#pragma once

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <optional>

#include "net/loop.h"
#include "net/socket_watch.h"

namespace garnethook::net {

/// Accepts TCP connections. Must be used on the loop's thread only.
class Listener {
 public:
  /// Called for each accepted connection; may pause or close the listener.
  using AcceptCallback = std::function<void(Poco::Net::StreamSocket)>;
  /// Starts listening immediately; retries for two seconds if the address is in use.
  /// @param loop event loop that runs the listener; must outlive it
  /// @param address address to listen on; port 0 selects a free port
  /// @param accept called for each accepted connection
  /// @throws Poco::Net::NetException with the address in its message if listening fails
  Listener(Loop& loop, const Poco::Net::SocketAddress& address, AcceptCallback accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  /// The address that the listener is bound to, with the actual port.
  const Poco::Net::SocketAddress& address() const { return address_; }
  /// Accepts the connections in the kernel's accept queue, since their requests may already have been sent,
  /// and for a short time those whose handshakes have begun; then stops accepting and releases the port. If
  /// the system lacks a descriptor for one of them, accepting is retried for half a second.
  /// @param closed called once the port is released, unless the listener is destroyed or aborted before
  void close(std::function<void()> closed = [] {});
  /// Stops accepting and releases the port at once; the kernel resets the connections that were not accepted.
  void abort();
  /// Earliest time at which the connection that is being accepted may have been established.
  Micros earliestConnect() const { return backlogSince_.value_or(loop_.earliestArrival()); }
  /// Whether the listener may still accept connections.
  bool open() const { return isOpen_; }
  /// Leaves new connections in the kernel's accept queue until resume(). No effect once close() was called.
  void pause();
  /// Accepts connections again from the next turn of the loop, beginning with those already queued. No effect
  /// once close() was called.
  void resume();

 private:
  void listenWithRetries(const Poco::Net::SocketAddress& address);
  void listen(const Poco::Net::SocketAddress& address);
  void onReadable();
  void setWatching(bool on);
  bool acceptQueued(int maxConnections);
  void pauseForLackOfResources();
  void acceptUntilClosed();
  void closeSocket();

  Loop& loop_;
  Poco::Net::ServerSocket socket_;
  Poco::Net::SocketAddress address_;
  AcceptCallback accept_;
  SocketWatch watch_;
  timing::Alarm retryAlarm_;
  Micros retryDelay_ = 0;
  Micros closingSince_ = 0;
  std::function<void()> closed_;
  // Since when connections may have been waiting in the kernel's accept queue; none if it was found empty.
  std::optional<Micros> backlogSince_;
  bool isPaused_ = true;
  bool isClosing_ = false;
  bool isOpen_ = true;
};

}  // namespace garnethook::net
