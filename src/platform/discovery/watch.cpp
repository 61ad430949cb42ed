#include "platform/discovery/watch.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace garnethook::platform {
namespace {

constexpr std::size_t kLongestList = 4u << 20;
// A watch has no end, so its body has no bound; its lists do.
constexpr http1::MessageLimits kLimits{.headBytes = 16 * 1024, .bodyBytes = std::size_t{1} << 60};

}  // namespace

Watch::Watch(net::Loop& loop, const std::string& address, Events events)
    : loop_(loop), address_(address), events_(std::move(events)), lists_(kLongestList), alarm_(loop) {
  begin();
}

Watch::~Watch() = default;

void Watch::move(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  policy_.moved();
  begin();
}

// The one timer: the watch is given up, or begun anew.
void Watch::plan() {
  alarm_.start(std::max<Micros>(0, policy_.due() - loop_.now()), [this] {
    if (policy_.next() == WatchPolicy::Step::begin) return begin();
    end(lists_.midway() ? "a list that does not end" : "silent");
  });
}

void Watch::begin() {
  over_.clear();
  lists_.clear();
  parser_ = std::make_unique<http1::MessageParser>(http1::MessageParser::Kind::response, kLimits,
                                                   static_cast<http1::MessageEvents&>(*this));
  stream_ =
      std::make_unique<net::Stream>(loop_, Poco::Net::SocketAddress(address_), std::string(),
                                    policy_.options().connectWithin, static_cast<net::StreamEvents&>(*this));
  policy_.begun(loop_.now());
  plan();
}

// The stream may be the one that calls, so it goes with the next begin(), which comes by the timer.
void Watch::end(const std::string& why) {
  if (stream_) stream_->close();
  events_.trouble(address_ + ": " + why);
  policy_.ended(loop_.now());
  plan();
}

void Watch::onConnected() {
  stream_->send("GET /api/targets?stream=1&index=" + std::to_string(events_.version()) +
                " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n");
}

void Watch::onOctets(std::string_view octets) {
  if (!parser_->receive(octets)) return end("bad HTTP: " + std::string(parser_->error()));
  policy_.heard(loop_.now(), lists_.midway());
  plan();
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
  if (lists_.receive(octets, [this](std::string_view text) { list(text); })) return;
  over_ = "a list is too long";
  parser_->stop();
}

void Watch::list(std::string_view text) {
  if (!over_.empty()) return;
  try {
    events_.update(parseTargets(text));
  } catch (const std::runtime_error& e) {
    // What it told is asked for again, from the version that is held: later changes would pass over it.
    over_ = std::string("a list can't be used: ") + e.what();
    policy_.spoilt();
    parser_->stop();
  }
}

}  // namespace garnethook::platform
