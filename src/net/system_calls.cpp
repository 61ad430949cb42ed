#include "net/system_calls.h"

#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace garnethook::net {
namespace {

constexpr int kMaxRetries = 16;  // then the call is left to the next readiness event of the socket
constexpr std::size_t kMaxWriteBytes = 1u << 20;

bool isWouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

// Whether a transfer failed only temporarily: the connection is intact and the call has to be repeated later.
bool isTransient(int error) {
  return isWouldBlock(error) || error == EINTR || error == ENOMEM || error == ENOBUFS;
}

// Whether a connection attempt failed for a reason on this machine, before the peer was contacted.
bool isLocalFailure(int error) {
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

// Repeats an interrupted call a bounded number of times.
template <class Call>
auto retryInterrupted(Call call) {
  auto result = call();
  for (int i = 0; i < kMaxRetries && result < 0 && errno == EINTR; ++i) result = call();
  return result;
}

}  // namespace

TransferResult receiveBytes(int descriptor, std::span<char> buffer) {
  const auto count =
      retryInterrupted([&] { return ::recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT); });
  if (count > 0) return {Transfer::done, static_cast<std::size_t>(count)};
  if (count == 0) return {Transfer::ended, 0};
  return {isTransient(errno) ? Transfer::retryLater : Transfer::broken, 0};
}

TransferResult sendBytes(int descriptor, std::string_view bytes) {
  const std::size_t size = std::min(bytes.size(), kMaxWriteBytes);
  const auto count =
      retryInterrupted([&] { return ::send(descriptor, bytes.data(), size, MSG_NOSIGNAL | MSG_DONTWAIT); });
  if (count >= 0) return {Transfer::done, static_cast<std::size_t>(count)};
  return {isTransient(errno) ? Transfer::retryLater : Transfer::broken, 0};
}

Unread peekUnread(int descriptor) {
  char byte = 0;
  const auto count = retryInterrupted([&] { return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT); });
  if (count > 0) return Unread::bytes;
  if (count == 0) return Unread::end;
  if (isWouldBlock(errno)) return Unread::nothing;
  return isTransient(errno) ? Unread::unknown : Unread::broken;
}

bool peerHasClosed(int descriptor) {
  pollfd request{descriptor, POLLRDHUP, 0};
  const int ready = retryInterrupted([&] { return ::poll(&request, 1, 0); });
  if (ready > 0 && (request.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) return true;
  const Unread unread = peekUnread(descriptor);
  return unread == Unread::end || unread == Unread::broken;
}

std::optional<std::int64_t> timeSinceLastReceive(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  return std::int64_t{info.tcpi_last_data_recv} * 1000;
}

AcceptResult acceptConnection(int listener) {
  const int descriptor =
      retryInterrupted([&] { return ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); });
  if (descriptor >= 0) return {Accept::done, descriptor};
  if (isWouldBlock(errno)) return {Accept::queueEmpty, -1};
  switch (errno) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM: return {Accept::outOfResources, -1};
    default: return {Accept::tryAgain, -1};  // network errors of a queued connection, see accept(2)
  }
}

void dropNewHandshakes(int listener) {
  // The filter sees the packet from its TCP header on, and returns how many bytes of it to keep.
  constexpr unsigned kFlagsOffset = 13;
  constexpr unsigned kSyn = 0x02;
  constexpr unsigned kAck = 0x10;
  constexpr unsigned kDropPacket = 0;
  constexpr unsigned kKeepPacket = 0xffffffff;
  std::array<sock_filter, 5> instructions{{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSyn | kAck),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, kDropPacket),
      BPF_STMT(BPF_RET | BPF_K, kKeepPacket),
  }};
  const sock_fprog program{.len = instructions.size(), .filter = instructions.data()};
  for (int i = 0; i < kMaxRetries; ++i)
    if (::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0) return;
}

ConnectResult startConnect(const sockaddr* peer, socklen_t peerSize, const sockaddr* local,
                           socklen_t localSize) {
  const int descriptor = ::socket(peer->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return {Connect::unavailable, -1};
  if (local != nullptr && ::bind(descriptor, local, localSize) != 0) {
    ::close(descriptor);
    return {Connect::unavailable, -1};
  }
  // An interrupted connect continues in the background, like one in progress.
  if (::connect(descriptor, peer, peerSize) == 0 || errno == EINPROGRESS || errno == EINTR)
    return {Connect::started, descriptor};
  const int error = errno;
  ::close(descriptor);
  return {isLocalFailure(error) ? Connect::unavailable : Connect::refused, -1};
}

Progress connectionProgress(int descriptor) {
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return Progress::unknown;
  if (error == 0) return Progress::established;
  if (error == ETIMEDOUT) return Progress::timedOut;
  return isLocalFailure(error) ? Progress::unavailable : Progress::refused;
}

void disableNagle(int descriptor) {
  const int on = 1;
  for (int i = 0; i < kMaxRetries; ++i)
    if (::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on) == 0) return;
}

}  // namespace garnethook::net
