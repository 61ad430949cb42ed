#include "net/stream.h"

#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <algorithm>
#include <array>
#include <utility>

#include "net/retry_delay.h"
#include "net/system_calls.h"

namespace garnethook::net {
namespace {

constexpr std::size_t kReadSize = std::size_t{64} * 1024;
// Reads of one peer in one turn: the rest waits for the next, so that a flooding peer does not keep others
// waiting.
constexpr int kReadsPerTurn = 4;
// How often a stream that is no longer read checks whether its peer has closed: soon at first, as
// most peers close at once, then after twice the time.
constexpr Micros kFirstPeerClosePoll = 1'000;
constexpr Micros kLongestPeerClosePoll = 32'000;

}  // namespace

SocketWatch::Events Stream::watchEvents() {
  return {[this] { onReadable(); }, [this] { onWritable(); }, [this] { onError(); }};
}

Stream::Stream(Loop& loop, const Poco::Net::StreamSocket& socket, StreamEvents& events)
    : loop_(loop),
      socket_(socket),
      events_(events),
      watch_(loop, watchEvents()),
      hasSocket_(true),
      connectRetryAlarm_(loop),
      connectTimeoutAlarm_(loop),
      closeAlarm_(loop),
      isConnected_(true) {
  sendWithoutDelay(descriptor());
  watch_.attach(socket_);
  watchReading(true);
}

Stream::Stream(Loop& loop, const Poco::Net::SocketAddress& peer, const std::string& sourceAddress,
               Micros connectTimeout, StreamEvents& events)
    : loop_(loop),
      events_(events),
      watch_(loop, watchEvents()),
      peer_(peer),
      sourceAddress_(sourceAddress),
      connectRetryAlarm_(loop),
      connectTimeoutAlarm_(loop),
      closeAlarm_(loop) {
  connectTimeoutAlarm_.start(connectTimeout,
                             [this] { finish(hasSocket_ ? CloseCause::timedOut : CloseCause::unavailable); });
  connect();
}

void Stream::connect() {
  const Poco::Net::SocketAddress local =
      sourceAddress_.empty() ? Poco::Net::SocketAddress() : Poco::Net::SocketAddress(sourceAddress_, 0);
  const ConnectResult result =
      beginConnection(peer_.addr(), peer_.length(), sourceAddress_.empty() ? nullptr : local.addr(),
                      sourceAddress_.empty() ? 0 : local.length());
  if (result.connect == Connect::refused) return postFailure(CloseCause::refused);
  if (result.connect == Connect::unavailable) return retryConnect();
  hasSocket_ = true;
  socket_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(result.descriptor));
  sendWithoutDelay(descriptor());
  watch_.attach(socket_);
  watchWriting(true);
}

void Stream::retryConnect() {
  hasSocket_ = false;
  connectRetryDelay_ = nextRetryDelay(connectRetryDelay_);
  connectRetryAlarm_.start(connectRetryDelay_, [this] { connect(); });
}

// The connection is established, or has failed.
void Stream::onConnectProgress() {
  switch (connectionProgress(descriptor())) {
    case Progress::unknown: return;  // asked again in the next turn
    case Progress::refused: return finish(CloseCause::refused);
    case Progress::timedOut: return finish(CloseCause::timedOut);
    case Progress::unavailable:
      watch(false, false);
      socket_.close();
      return retryConnect();
    case Progress::up: break;
  }
  connectTimeoutAlarm_.stop();
  isConnected_ = true;
  watch(true, false);
  events_.onConnected();
}

Stream::~Stream() {
  *alive_ = false;
  close();
}

void Stream::watch(bool reading, bool writing) { watch_.await(reading, writing, writing && !isConnected_); }
void Stream::watchReading(bool on) { watch(on, watch_.writing()); }
void Stream::watchWriting(bool on) { watch(watch_.reading(), on); }

void Stream::pauseReading(bool paused) {
  if (isOpen_ && isConnected_ && !closesAfterSending_) watchReading(!paused);
}

bool Stream::quiet() const {
  return isOpen_ && isConnected_ && lookAtUnread(descriptor()) == Unread::nothing;
}

bool Stream::delivered() const {
  if (!isOpen_ || !isConnected_ || pending() > 0) return false;
  return unacknowledgedBytes(descriptor()).value_or(0) == 0;
}

Micros Stream::timeSinceLastReceive() const {
  return isOpen_ && isConnected_ ? net::timeSinceLastReceive(descriptor()).value_or(0) : 0;
}

bool Stream::peerGone() const {
  if (!isOpen_) return true;
  return isConnected_ && peerHasClosed(descriptor());
}

void Stream::onError() {
  if (isOpen_ && !isConnected_) onConnectProgress();
}

void Stream::onReadable() {
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init): filled by the read, too large to clear each time
  std::array<char, kReadSize> buffer;
  const auto alive = alive_;
  for (int i = 0; i < kReadsPerTurn && *alive && isOpen_ && watch_.reading(); ++i) {
    const TransferResult read = receiveBytes(descriptor(), buffer);
    switch (read.transfer) {
      case Transfer::notNow: return;
      case Transfer::ended: return finish(CloseCause::peerClosed);
      case Transfer::broken: return finish(CloseCause::reset);
      case Transfer::done: break;
    }
    if (!closesAfterSending_) events_.onBytes({buffer.data(), read.count});
    if (read.count < buffer.size()) return;
  }
}

void Stream::onWritable() {
  if (!isOpen_) return;
  const auto alive = alive_;
  if (!isConnected_) {
    onConnectProgress();
    if (!*alive || !isOpen_ || !isConnected_) return;
  }
  flush();
  if (!*alive || !isOpen_) return;
  if (pending() > 0) return watchWriting(true);
  watchWriting(false);
  if (closesAfterSending_) return finish(CloseCause::local);
  shutdownIfSent();
  if (std::exchange(notifiesDrained_, false)) events_.onDrained();
}

std::size_t Stream::trySend(std::string_view bytes) {
  if (!isOpen_ || closesAfterSending_ || finishesSending_ || bytes.empty()) return 0;
  if (!isConnected_ || pending() > 0) {
    notifiesDrained_ = true;
    return 0;
  }
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto written = write(bytes.substr(done));
    if (!written) {
      postFailure(CloseCause::reset);
      return bytes.size();
    }
    if (*written == 0) break;
    done += *written;
  }
  if (done < bytes.size()) {
    notifiesDrained_ = true;
    watchWriting(true);
  }
  return done;
}

void Stream::send(std::string_view bytes) {
  if (!isOpen_ || closesAfterSending_ || finishesSending_) return;
  sendBuffer_.append(bytes);
  if (isConnected_) flush();
  if (isOpen_ && isConnected_ && pending() > 0) watchWriting(true);
}

// Writes as much as the socket takes, 0 bytes where it is full. Nothing where the connection is broken.
std::optional<std::size_t> Stream::write(std::string_view bytes) {
  const TransferResult sent = sendBytes(descriptor(), bytes);
  if (sent.transfer == Transfer::broken) return std::nullopt;
  return sent.count;
}

void Stream::flush() {
  while (pending() > 0) {
    const auto written = write(std::string_view(sendBuffer_).substr(sentBytes_));
    if (!written) {
      unsent_ = pending();
      sendBuffer_.clear();
      sentBytes_ = 0;
      return postFailure(CloseCause::reset);
    }
    if (*written == 0) break;
    sentBytes_ += *written;
  }
  if (pending() == 0) {
    sendBuffer_.clear();
    sentBytes_ = 0;
  } else if (sentBytes_ > kReadSize) {
    sendBuffer_.erase(0, sentBytes_);
    sentBytes_ = 0;
  }
}

// A failure inside a call by the owner is reported in the next turn.
void Stream::postFailure(CloseCause cause) {
  if (std::exchange(failurePosted_, true)) return;
  loop_.post([this, cause, alive = alive_] {
    if (*alive) finish(cause);
  });
}

void Stream::finish(CloseCause cause) {
  if (!isOpen_) return;
  const bool isExpected = closesAfterSending_;
  close();
  if (!isExpected) events_.onClosed(cause);
}

void Stream::close(bool abort) {
  if (!std::exchange(isOpen_, false)) return;
  unsent_ = std::max(unsent_, pending());
  connectRetryAlarm_.stop();
  connectTimeoutAlarm_.stop();
  closeAlarm_.stop();
  watch(false, false);
  if (!hasSocket_) return;
  try {
    if (abort) socket_.setLinger(true, 0);
    socket_.close();
  } catch (const Poco::Exception&) {  // it is closed all the same
  }
}

void Stream::closeAfterSending(Micros timeout) {
  if (!isOpen_ || closesAfterSending_) return;
  if (!isConnected_ || pending() == 0) {
    try {
      if (isConnected_) socket_.shutdownSend();
    } catch (const Poco::Exception&) {}
    return close();
  }
  closesAfterSending_ = true;
  watchReading(false);
  closeAlarm_.start(timeout, [this] { finish(CloseCause::local); });
}

void Stream::finishSending(Inbound inbound) {
  if (!isOpen_ || closesAfterSending_ || std::exchange(finishesSending_, true)) return;
  watchReading(isConnected_ && inbound == Inbound::read);
  shutdownIfSent();
  if (inbound == Inbound::leaveUnread) pollPeerClose(kFirstPeerClosePoll);
}

// A stream that is not read sees its peer's FIN only by asking for it; unread bytes before it do not hide it.
void Stream::pollPeerClose(Micros delay) {
  closeAlarm_.start(delay, [this, delay] {
    if (peerGone()) return finish(CloseCause::peerClosed);
    pollPeerClose(std::min(2 * delay, kLongestPeerClosePoll));
  });
}

void Stream::shutdownIfSent() {
  if (!finishesSending_ || !isOpen_ || !isConnected_ || pending() > 0) return;
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception&) {  // the peer has gone already, which reading shows
  }
}

}  // namespace garnethook::net
