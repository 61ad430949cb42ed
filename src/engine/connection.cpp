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
      parser_(http1::MessageParser::Kind::response, options.message, *this) {
  connect();
}

void Connection::connect() {
  stream_ = std::make_unique<net::Stream>(loop_, address_, options_.sourceAddress, options_.connectTimeout,
                                          static_cast<net::StreamEvents&>(*this));
}

void Connection::start(std::unique_ptr<Exchange> exchange, RequestWriter request, Micros timeout,
                       bool retryIfRefused) {
  exchange_ = std::move(exchange);
  hasResponseHead_ = hasReceivedBytes_ = false;
  retryIfRefused_ = retryIfRefused;
  idleBeforeReuse_ = idleSince_ == 0 ? std::nullopt : std::optional(idleTime());
  timer_.stop();
  if (timeout > 0) timer_.start(timeout, [this] { fail(Outcome::timedOut, "no answer in time"); });
  request_ = std::move(request);
  if (stream_->connected()) sendRequest();
}

void Connection::cancel() {
  if (!hasReceivedBytes_) owner_.onResponsiveness(*this, false);
  if (exchange_) exchange_->detach();
  cancelledExchange_ = std::move(exchange_);
  finish(false);
}

void Connection::markIdle() {
  idleSince_ = loop_.now();
  timer_.start(options_.idleTimeout, [this] { finish(false); });
}

DeliveryState Connection::deliveryState() const {
  if (!stream_->connected() || stream_->pending() > 0) return DeliveryState::undelivered;
  return hasReceivedBytes_ ? DeliveryState::confirmed : DeliveryState::written;
}

void Connection::sendRequest() {
  const auto text = std::exchange(request_, {})(loop_.now());
  if (text) return stream_->send(*text);
  loop_.post([this, alive = std::weak_ptr<bool>(alive_)] {  // deferred, as the owner may still be in start()
    if (!alive.expired() && exchange_) fail(Outcome::connectFailed, "it was too late to send it");
  });
}

void Connection::onBytes(std::string_view bytes) {
  if (!exchange_) return finish(false);  // unsolicited bytes
  if (!std::exchange(hasReceivedBytes_, true)) owner_.onResponsiveness(*this, true);
  reportReuse(false);
  const bool isValid = parser_.receive(bytes);
  if (exchange_ && !isValid) return fail(Outcome::error, "bad HTTP: " + std::string(parser_.error()));
  if (!std::exchange(isExchangeOver_, false)) return;
  // If the response came before the whole request was written, the rest of the request would precede the next
  // request on this connection.
  finish(isValid && keepAlive_ && !parser_.hasPartialInput() && stream_->pending() == 0);
}

void Connection::onClosed(CloseCause cause) {
  if (!exchange_) return finish(false);
  if (!stream_->connected()) return onClosedBeforeConnected(cause);
  // A local failure is not evidence against the endpoint, just as a full connection pool is not.
  if (cause == CloseCause::unavailable) return failNotSent("this machine can't connect at the moment");
  // A request that was never written completely cannot have been executed.
  if (stream_->unsent() > 0 && !hasResponseHead_)
    return fail(Outcome::connectFailed, "the connection broke off before the request was written");
  if (cause == CloseCause::peerClosed && parser_.close() && isExchangeOver_) return finish(false);
  const bool wasReused = idleBeforeReuse_.has_value();
  reportReuse(true);
  if (hasResponseHead_)
    return fail(Outcome::connectionReset, "the connection broke off in the answer", wasReused);
  fail(Outcome::connectionReset, wasReused ? "a kept connection broke off" : "the connection broke off",
       wasReused);
}

void Connection::onClosedBeforeConnected(CloseCause cause) {
  if (cause == CloseCause::refused && std::exchange(retryIfRefused_, false)) return retryConnect();
  if (cause == CloseCause::unavailable) return failNotSent("this machine can't connect at the moment");
  fail(Outcome::connectFailed, cause == CloseCause::timedOut ? "no connection in time" : "no connection");
}

// Called from within the stream, so the stream is replaced in the next iteration of the loop.
void Connection::retryConnect() {
  loop_.post([this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired() && exchange_) connect();
  });
}

void Connection::onHead(const http1::Head& head) {
  hasResponseHead_ = true;
  keepAlive_ = head.keepAlive && exchange_;  // an unsolicited response ends the connection
  if (exchange_ && !exchange_->onHead(head)) dropExchange();
}

void Connection::onBody(std::string_view bytes) {
  if (exchange_ && !exchange_->onBody(bytes)) dropExchange();
}

// Ends the exchange before the response is complete, as it does not need the rest.
void Connection::dropExchange() {
  exchange_.reset();
  isExchangeOver_ = true;
  keepAlive_ = false;
}

void Connection::onEnd() {
  if (!exchange_) return;
  isExchangeOver_ = true;
  const auto exchange = std::move(exchange_);
  exchange->onEnd();
}

void Connection::reportReuse(bool wasDead) {
  if (const auto idleTime = std::exchange(idleBeforeReuse_, std::nullopt))
    owner_.onReuseOutcome(*this, *idleTime, wasDead);
}

void Connection::fail(Outcome outcome, const std::string& text, bool reusedConnection) {
  if (!hasReceivedBytes_) owner_.onResponsiveness(*this, false);
  const ExchangeFailure failure{outcome, text, reusedConnection, hasReceivedBytes_};
  const auto exchange = std::move(exchange_);
  finish(false);
  if (exchange) exchange->onFailed(failure);
}

void Connection::failNotSent(const std::string& text) {
  const auto exchange = std::move(exchange_);
  finish(false);
  if (exchange) exchange->onNotSent(text);
}

void Connection::finish(bool isReusable) {
  timer_.stop();
  if (!isReusable) stream_->close();
  owner_.onFinished(*this, isReusable);
}

}  // namespace garnethook::engine
