// Blocking sockets and a plain HTTP/1.1 reader for the peers of a soak. Each connection is served by its own
// thread.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "event_log.h"

namespace garnethook::soak {

/// Owns a socket descriptor and closes it on destruction.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  ~Socket() { close(); }
  Socket(Socket&& other) noexcept : descriptor_(other.descriptor_) { other.descriptor_ = -1; }
  Socket& operator=(Socket&& other) noexcept;

  explicit operator bool() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  void close();
  /// Closes the connection with a TCP reset.
  void reset();
  /// Writes all bytes; returns false if the connection is broken.
  bool write(std::string_view bytes) const;
  /// Reads what arrives within `wait`. Returns an empty string at the end of the connection, and std::nullopt
  /// on a timeout or if the connection is broken (then `broken` is true).
  std::optional<std::string> read(Micros wait, bool& broken) const;
  /// Waits until the peer has closed or reset the connection, without reading; returns false on a timeout.
  bool awaitPeerClose(Micros wait) const;
  std::string localHost() const;
  int localPort() const;
  int peerPort() const;

 private:
  int descriptor_ = -1;
};

/// Connects within `wait`; returns an empty socket on failure.
Socket connectTo(const std::string& host, int port, Micros wait);
/// Listens on all addresses; throws std::runtime_error on failure.
Socket listenAt(int port, int backlog = 1024);
/// Accepts the next connection within `wait`; returns an empty socket if there is none.
Socket acceptFrom(const Socket& listener, Micros wait);

/// One HTTP/1.1 message. Header names are in lower case.
struct HttpMessage {
  std::string start;
  std::map<std::string, std::string> fields;
  std::string body;
  Micros firstByteAt = 0;
  Micros lastByteAt = 0;

  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
};

/// Reads messages from a connection and buffers the bytes that follow the last one.
class HttpReader {
 public:
  explicit HttpReader(const Socket& socket) : socket_(socket) {}
  enum class Result { whole, ended, broken, timedOut };
  /// Reads a request or a response with a Content-Length. If a chunked body follows, `message` contains the
  /// head only.
  Result readMessage(HttpMessage& message, Micros deadline);
  /// Reads the next chunk of a chunked body; an empty chunk is the last one.
  Result readChunk(std::string& chunk, Micros deadline);
  bool hasBufferedBytes() const { return !buffer_.empty(); }

 private:
  Result readMore(Micros deadline);
  const Socket& socket_;
  std::string buffer_;
};

}  // namespace garnethook::soak
