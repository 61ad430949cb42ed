#include "engine/connection.h"

#include <utility>

namespace garnethook::engine {

Connection::Connection(net::Loop& loop, const Options& options, const Poco::Net::SocketAddress& to,
                       ServerId server, ConnectionOwner& owner)
    : options_(options),
      server_(server),
      owner_(owner),
      timer_(loop),
      parser_(http1::MessageParser::Kind::response, options.message, *this),
      stream_(loop, to, options.sourceAddress, options.connectTimeout, *this) {}

void Connection::run(std::unique_ptr<Exchange> exchange, std::string request, Micros limit) {
  exchange_ = std::move(exchange);
  answered_ = false;
  timer_.stop();
  if (limit > 0) timer_.start(limit, [this] { fail(Outcome::timedOut, "no answer in time"); });
  if (stream_.connected())
    stream_.send(request);
  else
    request_ = std::move(request);
}

void Connection::abandon() {
  if (exchange_) exchange_->mute();
  muted_ = std::move(exchange_);
  free(false);
}

void Connection::rest() {
  timer_.start(options_.idleTimeout, [this] { free(false); });
}

void Connection::onConnected() { stream_.send(std::exchange(request_, {})); }

void Connection::onOctets(std::string_view octets) {
  if (!exchange_) return free(false);  // octets that nobody asked for
  const bool good = parser_.receive(octets);
  if (exchange_ && !good) return fail(Outcome::error, "bad HTTP: " + std::string(parser_.error()));
  if (std::exchange(over_, false)) free(good && keepAlive_ && !parser_.midway());
}

void Connection::onClosed(net::CloseCause cause) {
  if (!exchange_) return free(false);
  if (!stream_.connected())
    return fail(Outcome::connectFailed,
                cause == net::CloseCause::timedOut ? "no connection in time" : "no connection");
  // What was never written whole was never begun.
  if (stream_.unsent() > 0 && !answered_)
    return fail(Outcome::connectFailed, "the connection broke off before the request was written");
  if (cause == net::CloseCause::peerClosed && parser_.close() && over_) return free(false);
  fail(Outcome::reset, answered_ ? "the connection broke off in the answer" : "the connection broke off");
}

void Connection::onHead(const http1::Head& head) {
  answered_ = true;
  keepAlive_ = head.keepAlive && exchange_;  // an answer that nobody asked for ends the connection
  if (!exchange_ || exchange_->onHead(head)) return;
  exchange_.reset();
  over_ = true;
  keepAlive_ = false;
}

void Connection::onBody(std::string_view octets) {
  if (!exchange_ || exchange_->onBody(octets)) return;
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

void Connection::fail(Outcome outcome, const std::string& text) {
  const auto exchange = std::move(exchange_);
  free(false);
  if (exchange) exchange->onFailed(outcome, text);
}

void Connection::free(bool reusable) {
  timer_.stop();
  if (!reusable) stream_.close();
  owner_.onFree(*this, reusable);
}

}  // namespace garnethook::engine
