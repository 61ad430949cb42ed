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
constexpr std::size_t kMaxIdleBufferBytes = 1024;
// Limit of reads from one peer in a turn of the loop, so that a flooding peer does not delay the others.
constexpr int kReadsPerTurn = 4;
// Interval at which a stream that is no longer read checks whether its peer has closed: short at first, since
// most peers close immediately, then doubled each time.
constexpr Micros kFirstPeerClosePoll = 1'000;
constexpr Micros kMaxPeerClosePoll = 32'000;

}  // namespace

SocketWatch::Events Stream::watchEvents() {
  return {[this] { onReadable(); }, [this] { onWritable(); }, [this] { onError(); }};
}

Stream::Stream(Loop& loop, const Poco::Net::StreamSocket& socket, StreamEvents& events, Micros connectedSince)
    : loop_(loop),
      socket_(socket),
      events_(events),
      watch_(loop, watchEvents()),
      hasSocket_(true),
      connectRetryAlarm_(loop),
      connectTimeoutAlarm_(loop),
      closeAlarm_(loop),
      arrival_{connectedSince, connectedSince},
      leftUnreadAt_(loop.now()),
      isConnected_(true) {
  disableNagle(descriptor());
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
  connectTimeoutAlarm_.start(connectTimeout, [this] {
    closeWithEvent(hasSocket_ ? CloseCause::timedOut : CloseCause::unavailable);
  });
  connect();
}

void Stream::connect() {
  const Poco::Net::SocketAddress local =
      sourceAddress_.empty() ? Poco::Net::SocketAddress() : Poco::Net::SocketAddress(sourceAddress_, 0);
  const ConnectResult result =
      startConnect(peer_.addr(), peer_.length(), sourceAddress_.empty() ? nullptr : local.addr(),
                   sourceAddress_.empty() ? 0 : local.length());
  if (result.connect == Connect::refused) return postFailure(CloseCause::refused);
  if (result.connect == Connect::unavailable) return retryConnect();
  hasSocket_ = true;
  socket_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(result.descriptor));
  disableNagle(descriptor());
  watch_.attach(socket_);
  watchWriting(true);
}

void Stream::retryConnect() {
  hasSocket_ = false;
  connectRetryDelay_ = nextRetryDelay(connectRetryDelay_);
  connectRetryAlarm_.start(connectRetryDelay_, [this] { connect(); });
}

// Handles a connection attempt that has succeeded or failed.
void Stream::onConnectProgress() {
  switch (connectionProgress(descriptor())) {
    case Progress::unknown: return;  // queried again in the next turn
    case Progress::refused: return closeWithEvent(CloseCause::refused);
    case Progress::timedOut: return closeWithEvent(CloseCause::timedOut);
    case Progress::unavailable:
      watch(false, false);
      socket_.close();
      return retryConnect();
    case Progress::established: break;
  }
  connectTimeoutAlarm_.stop();
  isConnected_ = true;
  watch(true, false);
  events_.onConnected();
}

Stream::~Stream() {
  *isAlive_ = false;
  close();
}

void Stream::watch(bool reading, bool writing) { watch_.await(reading, writing, writing && !isConnected_); }
void Stream::watchReading(bool on) { watch(on, watch_.writing()); }
void Stream::watchWriting(bool on) { watch(watch_.reading(), on); }

void Stream::pauseReading(bool paused) {
  if (isOpen_ && isConnected_ && !closesAfterSending_) watchReading(!paused);
}

bool Stream::quiet() const { return isOpen_ && isConnected_ && peekUnread(descriptor()) == Unread::nothing; }

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
  const auto isAlive = isAlive_;
  for (int reads = 0; reads < kReadsPerTurn && *isAlive && isOpen_ && watch_.reading(); ++reads) {
    const TransferResult read = receiveBytes(descriptor(), buffer);
    switch (read.transfer) {
      case Transfer::retryLater: return;
      case Transfer::ended: return closeWithEvent(CloseCause::peerClosed);
      case Transfer::broken: return closeWithEvent(CloseCause::reset);
      case Transfer::done: break;
    }
    recordArrival(read.count == buffer.size());
    if (!closesAfterSending_) events_.onBytes({buffer.data(), read.count});
    if (read.count < buffer.size()) return;
  }
}

// The system reports the arrival of the last byte that it received. That is the last byte read, unless more
// are unread.
void Stream::recordArrival(bool mayHaveMore) {
  if (loop_.hasPolledSince(leftUnreadAt_)) arrival_.earliest = loop_.earliestArrival();
  const Micros now = loop_.now();
  leftUnreadAt_ = mayHaveMore ? now : 0;
  arrival_.latest = arrival_.earliest;
  if (mayHaveMore) return;
  if (const auto age = timeSinceLastReceive(descriptor())) arrival_.latest = now - *age;
  arrival_.earliest = std::min(arrival_.earliest, arrival_.latest);
}

void Stream::onWritable() {
  if (!isOpen_) return;
  const auto isAlive = isAlive_;
  if (!isConnected_) {
    onConnectProgress();
    if (!*isAlive || !isOpen_ || !isConnected_) return;
  }
  flush();
  if (!*isAlive || !isOpen_) return;
  if (pending() > 0) return watchWriting(true);
  watchWriting(false);
  if (closesAfterSending_) return closeWithEvent(CloseCause::local);
  shutdownIfSent();
  if (std::exchange(notifiesDrained_, false)) events_.onDrained();
}

std::size_t Stream::trySend(std::string_view bytes) {
  if (!isOpen_ || closesAfterSending_ || finishesSending_ || bytes.empty()) return 0;
  if (!isConnected_ || pending() > 0) {
    notifiesDrained_ = true;
    return 0;
  }
  std::size_t accepted = 0;
  while (accepted < bytes.size()) {
    const auto written = writeToSocket(bytes.substr(accepted));
    if (!written) {
      postFailure(CloseCause::reset);
      return bytes.size();
    }
    if (*written == 0) break;
    accepted += *written;
  }
  if (accepted < bytes.size()) {
    notifiesDrained_ = true;
    watchWriting(true);
  }
  return accepted;
}

void Stream::send(std::string_view bytes) {
  if (!isOpen_ || closesAfterSending_ || finishesSending_) return;
  sendBuffer_.append(bytes);
  if (isConnected_) flush();
  if (!isOpen_ || !isConnected_ || pending() == 0) return;
  notifiesDrained_ = true;
  watchWriting(true);
}

// Writes as many bytes as the socket accepts, 0 if it is full; `std::nullopt` if the connection is lost.
std::optional<std::size_t> Stream::writeToSocket(std::string_view bytes) {
  const TransferResult sent = sendBytes(descriptor(), bytes);
  if (sent.transfer == Transfer::broken) return std::nullopt;
  return sent.count;
}

void Stream::flush() {
  while (pending() > 0) {
    const auto written = writeToSocket(std::string_view(sendBuffer_).substr(sentBytes_));
    if (!written) {
      unsent_ = pending();
      clearSendBuffer();
      return postFailure(CloseCause::reset);
    }
    if (*written == 0) break;
    sentBytes_ += *written;
  }
  if (pending() == 0) {
    clearSendBuffer();
  } else if (sentBytes_ > kReadSize) {
    sendBuffer_.erase(0, sentBytes_);
    sentBytes_ = 0;
  }
}

// Connections that wait for their next message must not keep the memory of a long one.
void Stream::clearSendBuffer() {
  if (sendBuffer_.capacity() > kMaxIdleBufferBytes)
    std::string().swap(sendBuffer_);
  else
    sendBuffer_.clear();
  sentBytes_ = 0;
}

// Reports a failure in the next turn, since events must not be raised inside a call by the owner.
void Stream::postFailure(CloseCause cause) {
  if (std::exchange(failurePosted_, true)) return;
  loop_.post([this, cause, isAlive = isAlive_] {
    if (*isAlive) closeWithEvent(cause);
  });
}

void Stream::closeWithEvent(CloseCause cause) {
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
  } catch (const Poco::Exception&) {  // the socket is closed nevertheless
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
  closeAlarm_.start(timeout, [this] { closeWithEvent(CloseCause::local); });
}

void Stream::finishSending(Inbound inbound) {
  if (!isOpen_ || closesAfterSending_ || std::exchange(finishesSending_, true)) return;
  watchReading(isConnected_ && inbound == Inbound::read);
  shutdownIfSent();
  if (inbound == Inbound::leaveUnread) pollPeerClose(kFirstPeerClosePoll);
}

// A stream that is not read has to poll for the peer's FIN, which is detected even behind unread bytes.
void Stream::pollPeerClose(Micros delay) {
  closeAlarm_.start(delay, [this, delay] {
    if (peerGone()) return closeWithEvent(CloseCause::peerClosed);
    pollPeerClose(std::min(2 * delay, kMaxPeerClosePoll));
  });
}

void Stream::shutdownIfSent() {
  if (!finishesSending_ || !isOpen_ || !isConnected_ || pending() > 0) return;
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception&) {  // the peer has already closed, which the next read reports
  }
}

}  // namespace garnethook::net
