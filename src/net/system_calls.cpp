#include "net/system_calls.h"

#include <linux/filter.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace garnethook::net {
namespace {

constexpr int kRepeats = 16;  // of an interrupted call; the poll offers the socket again
constexpr std::size_t kLargestWrite = 1u << 20;

bool wouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

// Of a transfer: the socket is sound, and the call is to be made again later.
bool momentary(int error) {
  return wouldBlock(error) || error == EINTR || error == ENOMEM || error == ENOBUFS;
}

// Of a connection that could not be made: this machine lacks something, and the peer was not asked.
bool lacksHere(int error) {
  switch (error) {
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case EAGAIN:
    case ENETUNREACH:
    case ENETDOWN:
    case ENOBUFS:
    case ENOMEM: return true;
    default: return false;
  }
}

// Calls again while the call is interrupted, a few times.
template <class Call>
auto repeated(Call call) {
  auto result = call();
  for (int i = 0; i < kRepeats && result < 0 && errno == EINTR; ++i) result = call();
  return result;
}

}  // namespace

TransferResult receiveBytes(int descriptor, std::span<char> into) {
  const auto count = repeated([&] { return ::recv(descriptor, into.data(), into.size(), MSG_DONTWAIT); });
  if (count > 0) return {Transfer::done, static_cast<std::size_t>(count)};
  if (count == 0) return {Transfer::ended, 0};
  return {momentary(errno) ? Transfer::notNow : Transfer::broken, 0};
}

TransferResult sendBytes(int descriptor, std::string_view bytes) {
  const std::size_t size = std::min(bytes.size(), kLargestWrite);
  const auto count =
      repeated([&] { return ::send(descriptor, bytes.data(), size, MSG_NOSIGNAL | MSG_DONTWAIT); });
  if (count >= 0) return {Transfer::done, static_cast<std::size_t>(count)};
  return {momentary(errno) ? Transfer::notNow : Transfer::broken, 0};
}

Unread lookAtUnread(int descriptor) {
  char byte = 0;
  const auto count = repeated([&] { return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT); });
  if (count > 0) return Unread::bytes;
  if (count == 0) return Unread::end;
  if (wouldBlock(errno)) return Unread::nothing;
  return momentary(errno) ? Unread::unknown : Unread::broken;
}

bool peerHasClosed(int descriptor) {
  pollfd look{descriptor, POLLRDHUP, 0};
  const int found = repeated([&] { return ::poll(&look, 1, 0); });
  if (found > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) return true;
  const Unread unread = lookAtUnread(descriptor);
  return unread == Unread::end || unread == Unread::broken;
}

std::optional<std::size_t> unacknowledgedBytes(int descriptor) {
  int count = 0;
  if (::ioctl(descriptor, SIOCOUTQ, &count) != 0 || count < 0) return std::nullopt;
  return static_cast<std::size_t>(count);
}

std::optional<std::int64_t> timeSinceLastReceive(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  return std::int64_t{info.tcpi_last_data_recv} * 1000;
}

AcceptResult acceptConnection(int listener) {
  const int descriptor =
      repeated([&] { return ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); });
  if (descriptor >= 0) return {Accept::done, descriptor};
  if (wouldBlock(errno)) return {Accept::none, -1};
  switch (errno) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM: return {Accept::noRoom, -1};
    default: return {Accept::tryAgain, -1};  // network errors of one that waited, as accept(2) lists them
  }
}

void refuseNewConnections(int listener) {
  sock_filter dropAll = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{.len = 1, .filter = &dropAll};
  for (int i = 0; i < kRepeats; ++i)
    if (::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0) return;
}

ConnectResult beginConnection(const sockaddr* to, socklen_t toSize, const sockaddr* from,
                              socklen_t fromSize) {
  const int descriptor = ::socket(to->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return {Connect::unavailable, -1};
  if (from != nullptr && ::bind(descriptor, from, fromSize) != 0) {
    ::close(descriptor);
    return {Connect::unavailable, -1};
  }
  // An interrupted call goes on in the background, as one in progress does.
  if (::connect(descriptor, to, toSize) == 0 || errno == EINPROGRESS || errno == EINTR)
    return {Connect::begun, descriptor};
  const int error = errno;
  ::close(descriptor);
  return {lacksHere(error) ? Connect::unavailable : Connect::refused, -1};
}

Progress connectionProgress(int descriptor) {
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return Progress::unknown;
  if (error == 0) return Progress::up;
  if (error == ETIMEDOUT) return Progress::timedOut;
  return lacksHere(error) ? Progress::unavailable : Progress::refused;
}

void sendWithoutDelay(int descriptor) {
  const int on = 1;
  for (int i = 0; i < kRepeats; ++i)
    if (::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on) == 0) return;
}

}  // namespace garnethook::net
