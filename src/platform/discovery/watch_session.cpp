#include "platform/discovery/watch_session.h"

#include <utility>

namespace garnethook::platform {
namespace {

constexpr std::size_t kMaxListBytes = 4u << 20;
constexpr int kStatusOk = 200;
// The response stays open, so its body is effectively unlimited; the size of each list is limited.
constexpr http1::MessageLimits kMessageLimits{.headBytes = std::size_t{16} * 1024,
                                              .bodyBytes = std::size_t{1} << 60};

WatchErrorCode toErrorCode(net::CloseCause cause) {
  if (cause == net::CloseCause::refused) return WatchErrorCode::connectionRefused;
  if (cause == net::CloseCause::timedOut) return WatchErrorCode::connectTimedOut;
  if (cause == net::CloseCause::unavailable) return WatchErrorCode::resourcesUnavailable;
  return WatchErrorCode::connectionClosed;
}

}  // namespace

WatchSession::WatchSession(net::Loop& loop, const std::string& address, std::int64_t version,
                           net::Micros connectTimeout, Listener& listener)
    : address_(address),
      version_(version),
      listener_(listener),
      splitter_(kMaxListBytes),
      parser_(http1::MessageParser::Kind::response, kMessageLimits,
              static_cast<http1::MessageEvents&>(*this)),
      stream_(loop, Poco::Net::SocketAddress(address), std::string(), connectTimeout,
              static_cast<net::StreamEvents&>(*this)) {}

void WatchSession::close() {
  if (std::exchange(isClosed_, true)) return;
  parser_.stop();
  stream_.close();
}

void WatchSession::fail(const WatchError& error) {
  if (isClosed_) return;
  close();
  listener_.onFailed(*this, error);
}

void WatchSession::onConnected() {
  stream_.send("GET /api/targets?stream=1&index=" + std::to_string(version_) +
               " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n");
}

void WatchSession::onBytes(std::string_view bytes) {
  if (!parser_.receive(bytes)) return fail({WatchErrorCode::malformedHttp, std::string(parser_.error())});
  if (isClosed_) return;
  if (error_) return fail(*error_);
  listener_.onDataReceived(*this);
}

void WatchSession::onClosed(net::CloseCause cause) { fail({toErrorCode(cause)}); }

void WatchSession::onHead(const http1::Head& head) {
  if (head.status == kStatusOk) return;
  error_ = WatchError{WatchErrorCode::unexpectedStatus, std::to_string(head.status)};
  parser_.stop();
}

void WatchSession::onBody(std::string_view bytes) {
  if (error_ || isClosed_) return;
  const bool isWithinLimit = splitter_.receive(bytes, [this](std::string_view text) {
    if (error_ || isClosed_) return;
    if (listener_.onMessage(*this, text))
      hasAnswered_ = true;
    else
      error_ = WatchError{WatchErrorCode::invalidMessage};
  });
  if (!isWithinLimit) error_ = WatchError{WatchErrorCode::messageTooLong};
  if (error_) return parser_.stop();
  // An empty line says that nothing has changed; other white space may precede a list.
  if (!isInsideMessage() && bytes.find('\n') != std::string_view::npos) hasAnswered_ = true;
}

}  // namespace garnethook::platform
