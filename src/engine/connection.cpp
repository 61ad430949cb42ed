#include "engine/connection.h"

#include <utility>

namespace garnethook::engine {

Connection::Connection(net::Loop& loop, const Options& options, const Poco::Net::SocketAddress& to,
                       EndpointId endpoint, ConnectionOwner& owner)
    : loop_(loop),
      options_(options),
      to_(to),
      endpoint_(endpoint),
      owner_(owner),
      timer_(loop),
      parser_(http1::MessageParser::Kind::response, options.message, *this) {
  dial();
}

void Connection::dial() {
  stream_ = std::make_unique<net::Stream>(loop_, to_, options_.sourceAddress, options_.connectTimeout,
                                          static_cast<net::StreamEvents&>(*this));
}

void Connection::run(std::unique_ptr<Exchange> exchange, RequestWriter request, Micros limit, bool redial) {
  exchange_ = std::move(exchange);
  answered_ = heard_ = false;
  redial_ = redial;
  reusedAfter_ = restedAt_ == 0 ? -1 : loop_.now() - restedAt_;
  timer_.stop();
  if (limit > 0) timer_.start(limit, [this] { fail(Outcome::timedOut, "no answer in time"); });
  request_ = std::move(request);
  if (stream_->connected()) write();
}

void Connection::abandon() {
  if (!heard_) owner_.onHeard(*this, false);
  if (exchange_) exchange_->mute();
  muted_ = std::move(exchange_);
  free(false);
}

void Connection::rest() {
  restedAt_ = loop_.now();
  timer_.start(options_.idleTimeout, [this] { free(false); });
}

routing::DeliveryState Connection::deliveryState() const {
  if (!stream_->connected() || stream_->pending() > 0) return routing::DeliveryState::undelivered;
  if (heard_) return routing::DeliveryState::confirmed;
  return reusedAfter_ >= 0 || !stream_->delivered() ? routing::DeliveryState::written
                                                    : routing::DeliveryState::connected;
}

void Connection::onConnected() { write(); }

void Connection::write() {
  const auto text = std::exchange(request_, {})(loop_.now());
  if (text) return stream_->send(*text);
  loop_.post([this, alive = std::weak_ptr<bool>(alive_)] {  // the owner may be in the middle of run()
    if (!alive.expired() && exchange_) fail(Outcome::connectFailed, "it was too late to send it");
  });
}

void Connection::onBytes(std::string_view bytes) {
  if (!exchange_) return free(false);  // bytes that nobody asked for
  if (!std::exchange(heard_, true)) owner_.onHeard(*this, true);
  if (reusedAfter_ >= 0) owner_.onReused(*this, std::exchange(reusedAfter_, -1), false);
  const bool good = parser_.receive(bytes);
  if (exchange_ && !good) return fail(Outcome::error, "bad HTTP: " + std::string(parser_.error()));
  // What is left of a request that was answered early would come before the next one.
  if (std::exchange(over_, false)) free(good && keepAlive_ && !parser_.midway() && stream_->pending() == 0);
}

void Connection::onClosed(net::CloseCause cause) {
  if (!exchange_) return free(false);
  if (!stream_->connected() && cause == net::CloseCause::refused && std::exchange(redial_, false)) {
    loop_.post([this, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired() && exchange_) dial();
    });
    return;
  }
  // This machine's own failure tells nothing of the engine, like a pool without a free connection.
  if (cause == net::CloseCause::unavailable) return failHere("this machine can't connect at the moment");
  if (!stream_->connected())
    return fail(Outcome::connectFailed,
                cause == net::CloseCause::timedOut ? "no connection in time" : "no connection");
  // What was never written whole was never begun.
  if (stream_->unsent() > 0 && !answered_)
    return fail(Outcome::connectFailed, "the connection broke off before the request was written");
  if (cause == net::CloseCause::peerClosed && parser_.close() && over_) return free(false);
  const bool kept = reusedAfter_ >= 0;
  if (kept) owner_.onReused(*this, std::exchange(reusedAfter_, -1), true);
  fail(Outcome::connectionReset,
       answered_ ? "the connection broke off in the answer"
       : kept    ? "a kept connection broke off"
                 : "the connection broke off",
       kept);
}

void Connection::onHead(const http1::Head& head) {
  answered_ = true;
  keepAlive_ = head.keepAlive && exchange_;  // an answer that nobody asked for ends the connection
  if (!exchange_ || exchange_->onHead(head)) return;
  exchange_.reset();
  over_ = true;
  keepAlive_ = false;
}

void Connection::onBody(std::string_view bytes) {
  if (!exchange_ || exchange_->onBody(bytes)) return;
  exchange_.reset();
  over_ = true;
  keepAlive_ = false;
}

void Connection::onEnd() {
  if (!exchange_) return;
  over_ = true;
  const auto exchange = std::move(exchange_);
  exchange->onEnd();
}

void Connection::fail(Outcome outcome, const std::string& text, bool kept) {
  if (!heard_) owner_.onHeard(*this, false);
  const auto exchange = std::move(exchange_);
  free(false);
  if (exchange) exchange->onFailed(outcome, text, kept);
}

void Connection::failHere(const std::string& text) {
  const auto exchange = std::move(exchange_);
  free(false);
  if (exchange) exchange->onNotSent(text);
}

void Connection::free(bool reusable) {
  timer_.stop();
  if (!reusable) stream_->close();
  owner_.onFree(*this, reusable);
}

}  // namespace garnethook::engine
