#include "net/stream.h"

#include <Poco/NObserver.h>
#include <Poco/Net/SocketImpl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace garnethook::net {
namespace {

using Poco::Net::ErrorNotification;
using Poco::Net::ReadableNotification;
using Poco::Net::WritableNotification;
constexpr std::size_t kReadPiece = 64 * 1024;
constexpr int kBacklog = 1024;      // connections that wait to be accepted
constexpr int kAcceptsInTurn = 64;  // the rest waits for the next turn
constexpr Micros kFailurePause = 50'000;
// One peer's turn: the rest waits for the next, so that a flooding peer does not keep the others waiting.
constexpr int kReadsInTurn = 4;
// How often a stream that is no longer read asks whether its peer has closed: soon at first, as most peers
// close at once, then twice as late each time.
constexpr Micros kFirstPeerClosePoll = 1'000;
constexpr Micros kLastPeerClosePoll = 32'000;

}  // namespace

Stream::Stream(Loop& loop, Poco::Net::StreamSocket socket, StreamEvents& events)
    : loop_(loop), socket_(std::move(socket)), events_(events), connectAlarm_(loop), closeAlarm_(loop) {
  socket_.setBlocking(false);
  socket_.setNoDelay(true);
  connected_ = true;
  peerHost_ = socket_.peerAddress().host().toString();
  watchReading(true);
}

Stream::Stream(Loop& loop, const Poco::Net::SocketAddress& to, const std::string& from, Micros connectTimeout,
               StreamEvents& events)
    : loop_(loop), events_(events), connectAlarm_(loop), closeAlarm_(loop) {
  peerHost_ = to.host().toString();
  try {
    if (!from.empty()) socket_.impl()->bind(Poco::Net::SocketAddress(from, 0), true);
    socket_.connectNB(to);
    socket_.setBlocking(false);
    socket_.setNoDelay(true);
    watchWriting(true);
    connectAlarm_.start(connectTimeout, [this] { over(CloseCause::timedOut); });
  } catch (const Poco::Exception&) { failLater(CloseCause::refused); }
}

Stream::~Stream() {
  *alive_ = false;
  close();
}

// All handlers go before those that are wanted come: the reactor (POCO 1.11.0) asks the system for readiness
// that a removed handler wanted for as long as another one of the socket stands, and then spins on it.
void Stream::watch(bool reading, bool writing) {
  if (reading_ == reading && writing_ == writing) return;
  const Poco::NObserver<Stream, ReadableNotification> read(*this, &Stream::onReadable);
  const Poco::NObserver<Stream, WritableNotification> write(*this, &Stream::onWritable);
  const Poco::NObserver<Stream, ErrorNotification> failure(*this, &Stream::onError);
  auto& reactor = loop_.reactor();
  if (reading_) reactor.removeEventHandler(socket_, read);
  if (writing_) reactor.removeEventHandler(socket_, write);
  if (reactor.hasEventHandler(socket_, failure)) reactor.removeEventHandler(socket_, failure);
  reading_ = reading;
  writing_ = writing;
  if (reading_) reactor.addEventHandler(socket_, read);
  if (writing_) reactor.addEventHandler(socket_, write);
  if (writing_ && !connected_) reactor.addEventHandler(socket_, failure);
}
void Stream::watchReading(bool on) { watch(on, writing_); }
void Stream::watchWriting(bool on) { watch(reading_, on); }

void Stream::pauseReading(bool paused) {
  if (open_ && connected_ && !closing_) watchReading(!paused);
}

bool Stream::quiet() const {
  if (!open_ || !connected_) return false;
  char octet = 0;
  const auto n = ::recv(socket_.impl()->sockfd(), &octet, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool Stream::peerGone() const {
  if (!open_) return true;
  if (!connected_) return false;
  pollfd look{socket_.impl()->sockfd(), POLLRDHUP, 0};
  if (::poll(&look, 1, 0) > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) return true;
  char octet = 0;
  const auto n = ::recv(socket_.impl()->sockfd(), &octet, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void Stream::onError(const Poco::AutoPtr<ErrorNotification>&) {
  if (open_ && !connected_) over(CloseCause::refused);
}

void Stream::onReadable(const Poco::AutoPtr<ReadableNotification>&) {
  std::array<char, kReadPiece> piece;  // NOLINT: filled by the read
  const auto alive = alive_;
  for (int i = 0; i < kReadsInTurn && *alive && open_ && reading_; ++i) {
    int n = 0;
    try {
      n = socket_.receiveBytes(piece.data(), static_cast<int>(piece.size()));
    } catch (const Poco::Exception&) { return over(CloseCause::reset); }
    if (n < 0) return;
    if (n == 0) return over(CloseCause::peerClosed);
    if (!closing_) events_.onOctets({piece.data(), static_cast<std::size_t>(n)});
    if (n < static_cast<int>(piece.size())) return;
  }
}

void Stream::onWritable(const Poco::AutoPtr<WritableNotification>&) {
  if (!open_) return;
  const auto alive = alive_;
  if (!connected_) {
    int error = 0;
    socket_.impl()->getOption(SOL_SOCKET, SO_ERROR, error);
    if (error != 0) return over(error == ETIMEDOUT ? CloseCause::timedOut : CloseCause::refused);
    connectAlarm_.stop();
    connected_ = true;
    watch(true, false);
    events_.onConnected();
    if (!*alive || !open_) return;
  }
  flush();
  if (!*alive || !open_) return;
  if (pending() > 0) return watchWriting(true);
  watchWriting(false);
  if (closing_) return over(CloseCause::local);
  shutdownIfSent();
  if (std::exchange(wantDrained_, false)) events_.onDrained();
}

std::size_t Stream::trySend(std::string_view octets) {
  if (!open_ || closing_ || finishing_ || octets.empty()) return 0;
  if (!connected_ || pending() > 0) {
    wantDrained_ = true;
    return 0;
  }
  std::size_t done = 0;
  while (done < octets.size()) {
    const auto n = write(octets.substr(done));
    if (!n) {
      failLater(CloseCause::reset);
      return octets.size();
    }
    if (*n == 0) break;
    done += *n;
  }
  if (done < octets.size()) {
    wantDrained_ = true;
    watchWriting(true);
  }
  return done;
}

void Stream::send(std::string_view octets) {
  if (!open_ || closing_ || finishing_) return;
  out_.append(octets);
  if (connected_) flush();
  if (open_ && connected_ && pending() > 0) watchWriting(true);
}

// As much as the socket takes, 0 where it is full; nothing where the connection is broken. POCO's sendBytes
// (1.11.0) throws where a non-blocking socket is full, as if it were broken.
std::optional<std::size_t> Stream::write(std::string_view octets) {
  const auto n = ::send(socket_.impl()->sockfd(), octets.data(),
                        std::min<std::size_t>(octets.size(), 1 << 20), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n >= 0) return static_cast<std::size_t>(n);
  if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) return 0;
  return std::nullopt;
}

void Stream::flush() {
  while (pending() > 0) {
    const auto n = write(std::string_view(out_).substr(outAt_));
    if (!n) {
      unsent_ = pending();
      out_.clear();
      outAt_ = 0;
      return failLater(CloseCause::reset);
    }
    if (*n == 0) break;
    outAt_ += *n;
  }
  if (pending() == 0) {
    out_.clear();
    outAt_ = 0;
  } else if (outAt_ > kReadPiece) {
    out_.erase(0, outAt_);
    outAt_ = 0;
  }
}

// A failure inside a call of the owner's is told in the next turn.
void Stream::failLater(CloseCause cause) {
  if (std::exchange(failing_, true)) return;
  loop_.post([this, cause, alive = alive_] {
    if (*alive) over(cause);
  });
}

void Stream::over(CloseCause cause) {
  if (!open_) return;
  const bool told = closing_;
  close();
  if (!told) events_.onClosed(cause);
}

void Stream::close(bool abort) {
  if (!std::exchange(open_, false)) return;
  unsent_ = std::max(unsent_, pending());
  connectAlarm_.stop();
  closeAlarm_.stop();
  watch(false, false);
  try {
    if (abort) socket_.setLinger(true, 0);
    socket_.close();
  } catch (const Poco::Exception&) {  // it is closed all the same
  }
}

void Stream::closeAfterSending(Micros limit) {
  if (!open_ || closing_) return;
  if (!connected_ || pending() == 0) {
    try {
      if (connected_) socket_.shutdownSend();
    } catch (const Poco::Exception&) {}
    return close();
  }
  closing_ = true;
  watchReading(false);
  closeAlarm_.start(limit, [this] { over(CloseCause::local); });
}

void Stream::finishSending(Inbound inbound) {
  if (!open_ || closing_ || std::exchange(finishing_, true)) return;
  watchReading(connected_ && inbound == Inbound::read);
  shutdownIfSent();
  if (inbound == Inbound::leave) awaitPeerClose(kFirstPeerClosePoll);
}

// Without reading, the peer's FIN is seen by asking for it; unread bytes in front of it do not hide it.
void Stream::awaitPeerClose(Micros pause) {
  closeAlarm_.start(pause, [this, pause] {
    if (peerGone()) return over(CloseCause::peerClosed);
    awaitPeerClose(std::min(2 * pause, kLastPeerClosePoll));
  });
}

void Stream::shutdownIfSent() {
  if (!finishing_ || !open_ || !connected_ || pending() > 0) return;
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception&) {  // the peer is gone already, which reading tells
  }
}

Listener::Listener(Loop& loop, const Poco::Net::SocketAddress& address, Accept accept)
    : loop_(loop), accept_(std::move(accept)), retry_(loop) {
  try {
    socket_.bind(address, true, false);
    socket_.listen(kBacklog);
  } catch (const Poco::Exception& e) {
    throw Poco::Net::NetException("can't listen on " + address.toString() + ": " + e.displayText());
  }
  socket_.setBlocking(false);
  pause(false);
}

Listener::~Listener() { shut(); }

void Listener::pause(bool paused) {
  if (!open_ || watching_ == !paused) return;
  watching_ = !paused;
  const Poco::NObserver<Listener, ReadableNotification> observer(*this, &Listener::onReadable);
  if (watching_)
    loop_.reactor().addEventHandler(socket_, observer);
  else
    loop_.reactor().removeEventHandler(socket_, observer);
}

void Listener::rest(Micros span) {
  pause(true);
  retry_.start(span, [this] { pause(false); });
}

void Listener::close() {
  if (!open_) return;
  pause(true);
  acceptWaiting(kBacklog);
  shut();
}

void Listener::shut() {
  if (!open_) return;
  pause(true);
  open_ = false;
  retry_.stop();
  socket_.close();
}

void Listener::onReadable(const Poco::AutoPtr<ReadableNotification>&) {
  // Out of descriptors: leave the queue alone for a while, so that the loop does not spin on a listener that
  // stays readable.
  if (!acceptWaiting(kAcceptsInTurn)) rest(kFailurePause);
}

bool Listener::acceptWaiting(int most) {
  const bool watched = watching_;  // an owner that pauses the listener from within a call ends the round
  for (int i = 0; i < most && open_ && watching_ == watched; ++i) {
    try {
      if (!socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) return true;
      accept_(socket_.acceptConnection());
    } catch (const Poco::Net::ConnectionAbortedException&) {  // that peer is gone; the next may not be
    } catch (const Poco::Exception&) { return false; }
  }
  return true;
}

}  // namespace garnethook::net
