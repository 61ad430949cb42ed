#include "net/stream.h"

#include <Poco/NObserver.h>
#include <Poco/Net/SocketImpl.h>
#include <netinet/in.h>
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
// One peer's turn: the rest waits for the next, so that a flooding peer does not keep the others waiting.
constexpr int kReadsInTurn = 4;

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

void Stream::watchReading(bool on) {
  if (reading_ == on) return;
  reading_ = on;
  const Poco::NObserver<Stream, ReadableNotification> observer(*this, &Stream::onReadable);
  if (on)
    loop_.reactor().addEventHandler(socket_, observer);
  else
    loop_.reactor().removeEventHandler(socket_, observer);
}

void Stream::watchWriting(bool on) {
  if (writing_ == on) return;
  writing_ = on;
  const Poco::NObserver<Stream, WritableNotification> observer(*this, &Stream::onWritable);
  const Poco::NObserver<Stream, ErrorNotification> failure(*this, &Stream::onError);
  if (on) {
    loop_.reactor().addEventHandler(socket_, observer);
    if (!connected_) loop_.reactor().addEventHandler(socket_, failure);
  } else {
    loop_.reactor().removeEventHandler(socket_, observer);
    if (loop_.reactor().hasEventHandler(socket_, failure))
      loop_.reactor().removeEventHandler(socket_, failure);
  }
}

void Stream::pauseReading(bool paused) {
  if (open_ && connected_ && !closing_) watchReading(!paused);
}

bool Stream::quiet() const {
  if (!open_ || !connected_) return false;
  char octet = 0;
  const auto n = ::recv(socket_.impl()->sockfd(), &octet, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
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
    watchWriting(false);
    watchReading(true);
    events_.onConnected();
    if (!*alive || !open_) return;
  }
  flush();
  if (!*alive || !open_ || pending() > 0) return;
  watchWriting(false);
  if (closing_) return over(CloseCause::local);
  if (std::exchange(wantDrained_, false)) events_.onDrained();
}

std::size_t Stream::trySend(std::string_view octets) {
  if (!open_ || closing_ || octets.empty()) return 0;
  if (!connected_ || pending() > 0) {
    wantDrained_ = true;
    return 0;
  }
  std::size_t done = 0;
  try {
    while (done < octets.size()) {
      const int n = socket_.sendBytes(octets.data() + done, static_cast<int>(octets.size() - done));
      if (n <= 0) break;
      done += static_cast<std::size_t>(n);
    }
  } catch (const Poco::Exception&) {
    failLater(CloseCause::reset);
    return octets.size();
  }
  if (done < octets.size()) {
    wantDrained_ = true;
    watchWriting(true);
  }
  return done;
}

void Stream::send(std::string_view octets) {
  if (!open_ || closing_) return;
  out_.append(octets);
  if (connected_) flush();
  if (open_ && connected_ && pending() > 0) watchWriting(true);
}

void Stream::flush() {
  try {
    while (pending() > 0) {
      const int n = socket_.sendBytes(out_.data() + outAt_,
                                      static_cast<int>(std::min<std::size_t>(pending(), 1 << 20)));
      if (n <= 0) break;
      outAt_ += static_cast<std::size_t>(n);
    }
  } catch (const Poco::Exception&) {
    unsent_ = pending();
    out_.clear();
    outAt_ = 0;
    return failLater(CloseCause::reset);
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
  watchReading(false);
  watchWriting(false);
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

Listener::Listener(Loop& loop, const Poco::Net::SocketAddress& address, Accept accept)
    : loop_(loop), accept_(std::move(accept)), retry_(loop) {
  try {
    socket_.bind(address, true, false);
    socket_.listen(1024);
  } catch (const Poco::Exception& e) {
    throw Poco::Net::NetException("can't listen on " + address.toString() + ": " + e.displayText());
  }
  socket_.setBlocking(false);
  pause(false);
}

Listener::~Listener() { close(); }

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
  open_ = false;
  retry_.stop();
  socket_.close();
}

void Listener::onReadable(const Poco::AutoPtr<ReadableNotification>&) {
  for (int i = 0; i < 64 && open_ && watching_; ++i) {
    try {
      if (!socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) return;
      accept_(socket_.acceptConnection());
    } catch (const Poco::Exception&) {
      // Out of descriptors, or the peer is gone already: leave the queue alone for a while, so that the loop
      // does not spin on a listener that stays readable.
      return rest(50'000);
    }
  }
}

}  // namespace garnethook::net
