#include "net/stream.h"

#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <thread>
#include <utility>

#include "net/system_calls.h"

namespace garnethook::net {
namespace {

constexpr std::size_t kReadPiece = 64 * 1024;
constexpr int kBacklog = 1024;      // connections that wait to be accepted
constexpr int kAcceptsInTurn = 64;  // the rest waits for the next turn
// Where this machine has no room for a connection that waits, or to begin one: soon again, as such failures
// pass, then twice as late each time.
constexpr Micros kFirstFailurePause = 1'000;
constexpr Micros kLongestFailurePause = 50'000;
// A listener that closes tries so long to take whoever waits.
constexpr Micros kCloseWithin = 500'000;
// An address may be taken for a moment, above all by the process before this one.
constexpr int kListenTries = 100;
constexpr std::chrono::milliseconds kListenPause{20};
// One peer's turn: the rest waits for the next, so that a flooding peer does not keep the others waiting.
constexpr int kReadsInTurn = 4;
// How often a stream that is no longer read asks whether its peer has closed: soon at first, as most peers
// close at once, then twice as late each time.
constexpr Micros kFirstPeerClosePoll = 1'000;
constexpr Micros kLastPeerClosePoll = 32'000;

Micros longer(Micros pause) { return std::clamp(2 * pause, kFirstFailurePause, kLongestFailurePause); }

}  // namespace

SocketWatch::Events Stream::watchEvents() {
  return {[this] { onReadable(); }, [this] { onWritable(); }, [this] { onError(); }};
}

Stream::Stream(Loop& loop, Poco::Net::StreamSocket socket, StreamEvents& events)
    : loop_(loop),
      socket_(std::move(socket)),
      events_(events),
      watch_(loop, watchEvents()),
      dialAlarm_(loop),
      connectAlarm_(loop),
      closeAlarm_(loop) {
  sendWithoutDelay(descriptor());
  watch_.attach(socket_);
  connected_ = begun_ = true;
  watchReading(true);
}

Stream::Stream(Loop& loop, const Poco::Net::SocketAddress& to, const std::string& from, Micros connectTimeout,
               StreamEvents& events)
    : loop_(loop),
      events_(events),
      watch_(loop, watchEvents()),
      to_(to),
      from_(from),
      dialAlarm_(loop),
      connectAlarm_(loop),
      closeAlarm_(loop) {
  connectAlarm_.start(connectTimeout,
                      [this] { over(begun_ ? CloseCause::timedOut : CloseCause::unavailable); });
  dial();
}

void Stream::dial() {
  const Poco::Net::SocketAddress local =
      from_.empty() ? Poco::Net::SocketAddress() : Poco::Net::SocketAddress(from_, 0);
  const ConnectResult result = beginConnection(
      to_.addr(), to_.length(), from_.empty() ? nullptr : local.addr(), from_.empty() ? 0 : local.length());
  if (result.connect == Connect::refused) return failLater(CloseCause::refused);
  if (result.connect == Connect::unavailable) return dialLater();
  begun_ = true;
  socket_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(result.descriptor));
  sendWithoutDelay(descriptor());
  watch_.attach(socket_);
  watchWriting(true);
}

void Stream::dialLater() {
  begun_ = false;
  dialPause_ = longer(dialPause_);
  dialAlarm_.start(dialPause_, [this] { dial(); });
}

// What became of the connection that was begun.
void Stream::onProgress() {
  switch (connectionProgress(descriptor())) {
    case Progress::unknown: return;  // asked again in the next turn
    case Progress::refused: return over(CloseCause::refused);
    case Progress::timedOut: return over(CloseCause::timedOut);
    case Progress::unavailable:
      watch(false, false);
      socket_.close();
      return dialLater();
    case Progress::up: break;
  }
  connectAlarm_.stop();
  connected_ = true;
  watch(true, false);
  events_.onConnected();
}

Stream::~Stream() {
  *alive_ = false;
  close();
}

void Stream::watch(bool reading, bool writing) { watch_.await(reading, writing, writing && !connected_); }
void Stream::watchReading(bool on) { watch(on, watch_.writing()); }
void Stream::watchWriting(bool on) { watch(watch_.reading(), on); }

void Stream::pauseReading(bool paused) {
  if (open_ && connected_ && !closing_) watchReading(!paused);
}

bool Stream::quiet() const { return open_ && connected_ && lookAtUnread(descriptor()) == Unread::nothing; }

bool Stream::delivered() const {
  if (!open_ || !connected_ || pending() > 0) return false;
  return unacknowledgedBytes(descriptor()).value_or(0) == 0;
}

Micros Stream::sinceLatestBytes() const {
  return open_ && connected_ ? net::sinceLatestBytes(descriptor()).value_or(0) : 0;
}

bool Stream::peerGone() const {
  if (!open_) return true;
  return connected_ && peerHasClosed(descriptor());
}

void Stream::onError() {
  if (open_ && !connected_) onProgress();
}

void Stream::onReadable() {
  std::array<char, kReadPiece> piece;  // NOLINT: filled by the read
  const auto alive = alive_;
  for (int i = 0; i < kReadsInTurn && *alive && open_ && watch_.reading(); ++i) {
    const TransferResult read = receiveBytes(descriptor(), piece);
    switch (read.transfer) {
      case Transfer::notNow: return;
      case Transfer::ended: return over(CloseCause::peerClosed);
      case Transfer::broken: return over(CloseCause::reset);
      case Transfer::done: break;
    }
    if (!closing_) events_.onBytes({piece.data(), read.count});
    if (read.count < piece.size()) return;
  }
}

void Stream::onWritable() {
  if (!open_) return;
  const auto alive = alive_;
  if (!connected_) {
    onProgress();
    if (!*alive || !open_ || !connected_) return;
  }
  flush();
  if (!*alive || !open_) return;
  if (pending() > 0) return watchWriting(true);
  watchWriting(false);
  if (closing_) return over(CloseCause::local);
  shutdownIfSent();
  if (std::exchange(wantDrained_, false)) events_.onDrained();
}

std::size_t Stream::trySend(std::string_view bytes) {
  if (!open_ || closing_ || finishing_ || bytes.empty()) return 0;
  if (!connected_ || pending() > 0) {
    wantDrained_ = true;
    return 0;
  }
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto n = write(bytes.substr(done));
    if (!n) {
      failLater(CloseCause::reset);
      return bytes.size();
    }
    if (*n == 0) break;
    done += *n;
  }
  if (done < bytes.size()) {
    wantDrained_ = true;
    watchWriting(true);
  }
  return done;
}

void Stream::send(std::string_view bytes) {
  if (!open_ || closing_ || finishing_) return;
  out_.append(bytes);
  if (connected_) flush();
  if (open_ && connected_ && pending() > 0) watchWriting(true);
}

// As much as the socket takes, 0 where it is full; nothing where the connection is broken.
std::optional<std::size_t> Stream::write(std::string_view bytes) {
  const TransferResult sent = sendBytes(descriptor(), bytes);
  if (sent.transfer == Transfer::broken) return std::nullopt;
  return sent.count;
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
  dialAlarm_.stop();
  connectAlarm_.stop();
  closeAlarm_.stop();
  watch(false, false);
  if (!begun_) return;
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
    : loop_(loop),
      accept_(std::move(accept)),
      watch_(loop, {.readable = [this] { onReadable(); }, .writable = [] {}, .failed = {}}),
      retry_(loop) {
  for (int tries = 1;; ++tries) {
    try {
      listen(address);
      break;
    } catch (const Poco::Exception& e) {
      if (tries == kListenTries)
        throw Poco::Net::NetException("can't listen on " + address.toString() + ": " + e.displayText());
      std::this_thread::sleep_for(kListenPause);
    }
  }
  watch_.attach(socket_);
  watchQueue(true);
}

void Listener::listen(const Poco::Net::SocketAddress& address) {
  socket_ = Poco::Net::ServerSocket();
  socket_.bind(address, true, false);
  socket_.listen(kBacklog);
  socket_.setBlocking(false);
  address_ = socket_.address();
}

Listener::~Listener() { shut(); }

void Listener::watchQueue(bool on) {
  paused_ = !on;
  if (paused_ && !backlogSince_) backlogSince_ = loop_.now();
  watch_.await(on, false);
}

void Listener::pause() {
  if (!open_ || closing_) return;
  retry_.stop();
  watchQueue(false);
}

// Looks by itself, so that an empty queue is known for one: the owner may pause it again before the system
// tells that it is readable.
void Listener::resume() {
  if (!open_ || closing_ || !paused_) return;
  watchQueue(true);
  retry_.start(0, [this] { onReadable(); });
}

void Listener::close() {
  if (!open_ || std::exchange(closing_, true)) return;
  watchQueue(false);
  closeOnceEmpty(loop_.now() + kCloseWithin);
}

void Listener::closeOnceEmpty(Micros until) {
  if (acceptWaiting(kBacklog) || loop_.now() >= until) return shut();
  pause_ = longer(pause_);
  retry_.start(pause_, [this, until] { closeOnceEmpty(until); });
}

void Listener::shut() {
  if (!open_) return;
  watchQueue(false);
  open_ = false;
  retry_.stop();
  socket_.close();
}

void Listener::onReadable() {
  if (paused_) return;
  if (acceptWaiting(kAcceptsInTurn))
    pause_ = 0;
  else
    restOutOfRoom();
}

// Leaves the queue alone for a while, so that the loop does not spin on a listener that stays readable.
void Listener::restOutOfRoom() {
  pause_ = longer(pause_);
  pause();
  retry_.start(pause_, [this] { resume(); });
}

bool Listener::acceptWaiting(int most) {
  const bool paused = paused_;  // an owner that pauses the listener from within a call ends the round
  for (int i = 0; i < most && open_ && paused_ == paused; ++i) {
    const AcceptResult next = acceptConnection(socket_.impl()->sockfd());
    switch (next.accept) {
      case net::Accept::none: backlogSince_.reset(); return true;
      case net::Accept::noRoom: return false;
      case net::Accept::tryAgain: break;
      case net::Accept::done:
        accept_(Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(next.descriptor)));
        break;
    }
  }
  return true;
}

}  // namespace garnethook::net
