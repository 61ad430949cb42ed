#include "platform/discovery/watch_session.h"

#include <utility>

namespace garnethook::platform {
namespace {

constexpr std::size_t kLongestList = 4u << 20;
// A watch has no end, so its body has no bound; its lists do.
constexpr http1::MessageLimits kLimits{.headBytes = 16 * 1024, .bodyBytes = std::size_t{1} << 60};

}  // namespace

WatchSession::WatchSession(net::Loop& loop, const std::string& address, std::int64_t version,
                           net::Micros connectWithin, Events& events)
    : address_(address),
      version_(version),
      events_(events),
      objects_(kLongestList),
      parser_(http1::MessageParser::Kind::response, kLimits, static_cast<http1::MessageEvents&>(*this)),
      stream_(loop, Poco::Net::SocketAddress(address), std::string(), connectWithin,
              static_cast<net::StreamEvents&>(*this)) {}

void WatchSession::end() {
  if (std::exchange(ended_, true)) return;
  parser_.stop();
  stream_.close();
}

void WatchSession::giveUp(const std::string& why) {
  if (ended_) return;
  end();
  events_.onOver(*this, why);
}

void WatchSession::onConnected() {
  stream_.send("GET /api/targets?stream=1&index=" + std::to_string(version_) +
               " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n");
}

void WatchSession::onBytes(std::string_view bytes) {
  if (!parser_.receive(bytes)) return giveUp("bad HTTP: " + std::string(parser_.error()));
  if (ended_) return;
  if (!over_.empty()) return giveUp(over_);
  events_.onHeard(*this);
}

void WatchSession::onClosed(net::CloseCause cause) {
  giveUp(cause == net::CloseCause::refused       ? "refused"
         : cause == net::CloseCause::timedOut    ? "no connection in time"
         : cause == net::CloseCause::unavailable ? "this machine can't connect at the moment"
                                                 : "closed");
}

void WatchSession::onHead(const http1::Head& head) {
  if (head.status == 200) return;
  over_ = "status " + std::to_string(head.status);
  parser_.stop();
}

void WatchSession::onBody(std::string_view bytes) {
  if (!over_.empty() || ended_) return;
  const bool bounded = objects_.receive(bytes, [this](std::string_view text) {
    if (!over_.empty() || ended_) return;
    if (events_.onObject(*this, text))
      productive_ = true;
    else
      over_ = "a list can't be used";
  });
  if (!bounded) over_ = "a list is too long";
  if (!over_.empty()) parser_.stop();
}

}  // namespace garnethook::platform
