#include "platform/discovery/watch.h"

#include <stdexcept>
#include <utility>

namespace garnethook::platform {
namespace {

constexpr std::size_t kLongestLine = 4u << 20;
// A watch has no end, so its body has no bound; its lines do.
constexpr http1::MessageLimits kLimits{.headBytes = 16 * 1024, .bodyBytes = std::size_t{1} << 60};

}  // namespace

Watch::Watch(net::Loop& loop, const std::string& address, Events events)
    : loop_(loop), address_(address), events_(std::move(events)), lines_(kLongestLine), alarm_(loop) {
  begin();
}

Watch::~Watch() = default;

void Watch::move(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  policy_.heard();
  begin();
}

void Watch::begin() {
  over_.clear();
  lines_.clear();
  parser_ = std::make_unique<http1::MessageParser>(http1::MessageParser::Kind::response, kLimits,
                                                   static_cast<http1::MessageEvents&>(*this));
  stream_ =
      std::make_unique<net::Stream>(loop_, Poco::Net::SocketAddress(address_), std::string(),
                                    policy_.options().connectWithin, static_cast<net::StreamEvents&>(*this));
  alarm_.start(policy_.options().silence, [this] { end("silent"); });
}

// The stream may be the one that calls, so it goes with the next begin(), which comes by the timer.
void Watch::end(const std::string& why) {
  if (stream_) stream_->close();
  events_.trouble(address_ + ": " + why);
  alarm_.start(policy_.ended(), [this] { begin(); });
}

void Watch::onConnected() {
  stream_->send("GET /api/targets?stream=1&index=" + std::to_string(events_.version()) +
                " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n");
}

void Watch::onOctets(std::string_view octets) {
  policy_.heard();
  alarm_.start(policy_.options().silence, [this] { end("silent"); });
  if (!parser_->receive(octets)) return end("bad HTTP: " + std::string(parser_->error()));
  if (!over_.empty()) end(std::exchange(over_, {}));
}

void Watch::onClosed(net::CloseCause cause) {
  end(cause == net::CloseCause::refused    ? "refused"
      : cause == net::CloseCause::timedOut ? "no connection in time"
                                           : "closed");
}

void Watch::onHead(const http1::Head& head) {
  if (head.status == 200) return;
  over_ = "status " + std::to_string(head.status);
  parser_->stop();
}

void Watch::onBody(std::string_view octets) {
  if (!over_.empty()) return;
  if (lines_.receive(octets, [this](std::string_view text) { line(text); })) return;
  over_ = "a line is too long";
  parser_->stop();
}

void Watch::line(std::string_view text) {
  if (text.empty()) return;
  try {
    events_.update(parseTargets(text));
  } catch (const std::runtime_error& e) { events_.trouble(address_ + ": a list can't be used: " + e.what()); }
}

}  // namespace garnethook::platform
