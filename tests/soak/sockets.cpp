#include "sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace garnethook::soak {
namespace {

sockaddr_in addressOf(const std::string& host, int port) {
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, host.c_str(), &endpoint.sin_addr);
  return endpoint;
}

short waitFor(int descriptor, short events, Micros wait) {
  pollfd entry{descriptor, events, 0};
  const int milliseconds = static_cast<int>(std::max<Micros>(0, (wait + 999) / 1000));
  return ::poll(&entry, 1, milliseconds) > 0 ? entry.revents : static_cast<short>(0);
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  return *this;
}

void Socket::close() {
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
}

void Socket::reset() {
  const linger resetOnClose{1, 0};
  if (descriptor_ >= 0) ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
  close();
}

bool Socket::write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const auto count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

std::optional<std::string> Socket::read(Micros wait, bool& broken) const {
  broken = false;
  if (waitFor(descriptor_, POLLIN, wait) == 0) return std::nullopt;
  std::string received(64 * 1024, '\0');
  const auto count = ::recv(descriptor_, received.data(), received.size(), 0);
  if (count < 0) {
    broken = true;
    return std::nullopt;
  }
  received.resize(static_cast<std::size_t>(count));
  return received;
}

bool Socket::awaitPeerClose(Micros wait) const {
  return (waitFor(descriptor_, POLLRDHUP, wait) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::string Socket::localHost() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
  char text[INET_ADDRSTRLEN] = {};
  ::inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
  return text;
}

int Socket::localPort() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

int Socket::peerPort() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (::getpeername(descriptor_, reinterpret_cast<sockaddr*>(&address), &size) != 0) return 0;
  return ntohs(address.sin_port);
}

Socket connectTo(const std::string& host, int port, Micros wait) {
  Socket connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const sockaddr_in address = addressOf(host, port);
  const int one = 1;
  ::setsockopt(connection.descriptor(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  const bool isConnected =
      ::connect(connection.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  if (!isConnected && (errno != EINPROGRESS || waitFor(connection.descriptor(), POLLOUT, wait) == 0))
    return {};
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(connection.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return {};
  ::fcntl(connection.descriptor(), F_SETFL, 0);
  return connection;
}

Socket listenAt(int port, int backlog) {
  Socket listeningSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int one = 1;
  ::setsockopt(listeningSocket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = addressOf("0.0.0.0", port);
  if (::bind(listeningSocket.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
          0 ||
      ::listen(listeningSocket.descriptor(), backlog) != 0)
    throw std::runtime_error("cannot listen on port " + std::to_string(port) + ": " + std::strerror(errno));
  return listeningSocket;
}

Socket acceptFrom(const Socket& listener, Micros wait) {
  if (waitFor(listener.descriptor(), POLLIN, wait) == 0) return {};
  Socket connection(::accept4(listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
  const int one = 1;
  if (connection) ::setsockopt(connection.descriptor(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return connection;
}

HttpReader::Result HttpReader::readMore(Micros deadline) {
  bool broken = false;
  const auto bytes = socket_.read(deadline - monotonicNow(), broken);
  if (broken) return Result::broken;
  if (!bytes) return Result::timedOut;
  if (bytes->empty()) return Result::ended;
  buffer_ += *bytes;
  return Result::whole;
}

HttpReader::Result HttpReader::readMessage(HttpMessage& message, Micros deadline) {
  message = {};
  if (!buffer_.empty()) message.firstByteAt = monotonicNow();
  std::size_t end = std::string::npos;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (const auto result = readMore(deadline); result != Result::whole) return result;
    if (message.firstByteAt == 0) message.firstByteAt = monotonicNow();
  }
  std::string head = buffer_.substr(0, end + 2);
  buffer_.erase(0, end + 4);
  const auto line = head.find("\r\n");
  message.start = head.substr(0, line);
  for (std::size_t at = line + 2; at < head.size();) {
    const auto lineEnd = head.find("\r\n", at);
    const auto colon = head.find(':', at);
    if (colon == std::string::npos || colon > lineEnd) break;
    std::string name = head.substr(at, colon - at);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    const auto value = head.find_first_not_of(' ', colon + 1);
    message.fields[name] = value < lineEnd ? head.substr(value, lineEnd - value) : std::string();
    at = lineEnd + 2;
  }
  const std::string length = message.field("content-length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (buffer_.size() < size)
    if (const auto result = readMore(deadline); result != Result::whole) return result;
  message.body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  message.lastByteAt = monotonicNow();
  return Result::whole;
}

HttpReader::Result HttpReader::readChunk(std::string& chunk, Micros deadline) {
  while (true) {
    const auto line = buffer_.find("\r\n");
    if (line != std::string::npos) {
      const std::size_t size = std::stoul(buffer_.substr(0, line), nullptr, 16);
      if (buffer_.size() >= line + 2 + size + 2) {
        chunk = buffer_.substr(line + 2, size);
        buffer_.erase(0, line + 2 + size + 2);
        return Result::whole;
      }
    }
    if (const auto result = readMore(deadline); result != Result::whole) return result;
  }
}

}  // namespace garnethook::soak
