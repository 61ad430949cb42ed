#include "engine/connection.h"

#include <utility>

namespace garnethook::engine {

using net::CloseCause;
using routing::DeliveryState;

Connection::Connection(net::Loop& loop, const Options& options, const Poco::Net::SocketAddress& address,
                       EndpointId endpoint, ConnectionOwner& owner)
    : loop_(loop),
      options_(options),
      address_(address),
      endpoint_(endpoint),
      owner_(owner),
      timer_(loop),
      parser_(http1::MessageParser::Kind::response, options.message, *this),
      openedAt_(loop.now()) {
  connect();
}

void Connection::connect() {
  stream_ = std::make_unique<net::Stream>(loop_, address_, options_.sourceAddress, options_.connectTimeout,
                                          static_cast<net::StreamEvents&>(*this));
}

void Connection::start(std::unique_ptr<Exchange> exchange, RequestWriter request, Micros timeout,
                       bool retryIfRefused) {
  exchange_ = std::move(exchange);
  ++exchangeCount_;
  hasResponseHead_ = hasReceivedBytes_ = isResponseDropped_ = false;
  retryIfRefused_ = retryIfRefused;
  idleBeforeReuse_ = idleSince_ == 0 ? std::nullopt : std::optional(idleTime());
  timer_.stop();
  if (timeout > 0)
    timer_.start(timeout, [this] {
      fail(describeFailure(Outcome::timedOut, "no answer in time"), ConnectionCloseReason::timedOut);
    });
  request_ = std::move(request);
  if (stream_->connected()) sendRequest();
}

void Connection::cancel() {
  if (!hasReceivedBytes_) owner_.onResponsiveness(*this, false);
  if (exchange_) exchange_->detach();
  cancelledExchange_ = std::move(exchange_);
  close(ConnectionCloseReason::cancelled);
}

void Connection::markIdle() {
  idleSince_ = loop_.now();
  timer_.start(options_.idleTimeout, [this] { close(ConnectionCloseReason::idleTimeout); });
}

DeliveryState Connection::deliveryState() const {
  if (!stream_->connected() || stream_->pending() > 0) return DeliveryState::undelivered;
  return hasReceivedBytes_ ? DeliveryState::confirmed : DeliveryState::written;
}

void Connection::sendRequest() {
  const auto text = std::exchange(request_, {})(loop_.now());
  if (text) return stream_->send(*text);
  loop_.post([this, alive = std::weak_ptr<bool>(alive_)] {  // deferred, as the owner may still be in start()
    if (alive.expired() || !exchange_) return;
    fail(describeFailure(Outcome::connectFailed, "it was too late to send it"),
         ConnectionCloseReason::notEstablished);
  });
}

void Connection::onBytes(std::string_view bytes) {
  if (!exchange_) return close(ConnectionCloseReason::unsolicitedInput);
  if (!std::exchange(hasReceivedBytes_, true)) owner_.onResponsiveness(*this, true);
  reportReuse(false);
  const bool isValid = parser_.receive(bytes);
  if (exchange_ && !isValid)
    return fail(describeFailure(Outcome::error, "bad HTTP: " + std::string(parser_.error())),
                ConnectionCloseReason::responseUnusable);
  if (std::exchange(isExchangeOver_, false)) finishResponse(isValid);
}

void Connection::finishResponse(bool isInputValid) {
  if (isResponseDropped_) return close(ConnectionCloseReason::responseUnusable);
  if (!isInputValid || hasUnsolicitedHead_ || parser_.hasPartialInput())
    return close(ConnectionCloseReason::unsolicitedInput);
  if (!keepAlive_) return close(ConnectionCloseReason::announcedClose);
  // The rest of the request would precede the next request on this connection.
  if (stream_->pending() > 0) return close(ConnectionCloseReason::requestNotWritten);
  timer_.stop();
  stream_->pauseReading(false);
  owner_.onFinished(*this, std::nullopt);
}

void Connection::onClosed(CloseCause cause) {
  if (!exchange_) return close(ConnectionCloseReason::closedByEngine);
  if (!stream_->connected()) return onClosedBeforeConnected(cause);
  // A local failure is not evidence against the endpoint, just as a full connection pool is not.
  if (cause == CloseCause::unavailable) return failNotSent("this machine can't connect at the moment");
  // A request that was never written completely cannot have been executed.
  if (stream_->unsent() > 0 && !hasResponseHead_)
    return fail(
        describeFailure(Outcome::connectFailed, "the connection broke off before the request was written"),
        ConnectionCloseReason::closedByEngine);
  if (cause == CloseCause::peerClosed && parser_.close() && isExchangeOver_)
    return close(ConnectionCloseReason::announcedClose);
  const bool wasReused = idleBeforeReuse_.has_value();
  reportReuse(true);
  const char* text = "the connection broke off";
  if (wasReused) text = "a kept connection broke off";
  if (hasResponseHead_) text = "the connection broke off in the answer";
  fail(describeFailure(Outcome::connectionReset, text, wasReused), ConnectionCloseReason::closedByEngine);
}

void Connection::onClosedBeforeConnected(CloseCause cause) {
  if (cause == CloseCause::refused && std::exchange(retryIfRefused_, false)) return retryConnect();
  if (cause == CloseCause::unavailable) return failNotSent("this machine can't connect at the moment");
  const char* text = cause == CloseCause::timedOut ? "no connection in time" : "no connection";
  fail(describeFailure(Outcome::connectFailed, text), ConnectionCloseReason::notEstablished);
}

// Called from within the stream, so the stream is replaced in the next iteration of the loop.
void Connection::retryConnect() {
  loop_.post([this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired() && exchange_) connect();
  });
}

void Connection::onHead(const http1::Head& head) {
  hasResponseHead_ = true;
  keepAlive_ = head.keepAlive;
  hasUnsolicitedHead_ = !exchange_;
  if (exchange_ && !exchange_->onHead(head)) dropExchange();
}

void Connection::onBody(std::string_view bytes) {
  if (exchange_ && !exchange_->onBody(bytes)) dropExchange();
}

void Connection::onTrailer(const http1::Field& field) {
  if (exchange_) exchange_->onTrailer(field);
}

// Ends the exchange before the response is complete, as it does not need the rest.
void Connection::dropExchange() {
  isExchangeOver_ = isResponseDropped_ = true;
  const auto exchange = std::move(exchange_);
  stream_->close();
  exchange->onDropped();
}

void Connection::onEnd() {
  if (!exchange_) return;
  isExchangeOver_ = true;
  const auto exchange = std::move(exchange_);
  if (!exchange->isComplete()) {
    isResponseDropped_ = true;
    stream_->close();
  }
  exchange->onEnd();
}

void Connection::reportReuse(bool wasDead) {
  if (const auto idleTime = std::exchange(idleBeforeReuse_, std::nullopt))
    owner_.onReuseOutcome(*this, *idleTime, wasDead);
}

ExchangeFailure Connection::describeFailure(Outcome outcome, std::string text, bool reusedConnection) const {
  return {outcome, std::move(text), reusedConnection, hasReceivedBytes_};
}

void Connection::fail(const ExchangeFailure& failure, ConnectionCloseReason reason) {
  if (!hasReceivedBytes_) owner_.onResponsiveness(*this, false);
  const auto exchange = std::move(exchange_);
  close(reason);
  if (exchange) exchange->onFailed(failure);
}

void Connection::failNotSent(const std::string& text) {
  const auto exchange = std::move(exchange_);
  close(ConnectionCloseReason::notEstablished);
  if (exchange) exchange->onNotSent(text);
}

void Connection::close(ConnectionCloseReason reason) {
  timer_.stop();
  stream_->close();
  owner_.onFinished(*this, reason);
}

}  // namespace garnethook::engine
