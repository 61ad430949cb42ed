#include "client/channel.h"

#include <utility>
#include <vector>

namespace garnethook::client {
namespace {

http2::Limits limits(std::uint32_t window) {
  http2::Limits l;
  l.streamWindow = window;
  l.connectionWindow = 64u << 20;
  l.emptyFrames = 1'000'000;
  l.resets = 1'000'000;
  l.pings = 100'000;
  return l;
}

}  // namespace

Channel::Channel(net::Loop& loop, const Poco::Net::SocketAddress& to, const Options& options)
    : loop_(loop),
      options_(options),
      codec_(http2::Side::client, limits(options.streamWindow), *this),
      stream_(loop, to, options.sourceAddress, options.connectTimeout, *this) {}

Channel::~Channel() { *alive_ = false; }

http2::StreamId Channel::call(const std::string& path, std::string_view message, Micros timeoutMicros,
                              CallEvents& events) {
  http2::Headers headers{{":method", "POST"},
                         {":scheme", "http"},
                         {":path", path},
                         {":authority", "garnethook"},
                         {"content-type", "application/grpc"},
                         {"te", "trailers"}};
  if (timeoutMicros > 0) headers.push_back({"grpc-timeout", grpc::formatTimeout(timeoutMicros)});
  if (!open()) return 0;
  const auto id = codec_.open(headers, false);
  if (id == 0) return 0;
  auto& slot = calls_.emplace(id, options_.messageBytes).first->second;
  slot.events = &events;
  std::string framed;
  grpc::frame(message, framed);
  codec_.sendData(id, framed, true);
  flush();
  return id;
}

void Channel::cancel(http2::StreamId id) {
  if (calls_.erase(id) == 0) return;
  codec_.reset(id, http2::ErrorCode::cancel);
  flush();
}

void Channel::hold(http2::StreamId id, bool held) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;
  at->second.held = held;
  if (!held) codec_.consumed(id, std::exchange(at->second.unread, 0));
  flush();
}

void Channel::onBytes(std::string_view bytes) {
  const bool good =
      codec_.receive(loop_.now(), {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
  flush();
  if (good) return;
  stream_.close();
  onClosed(net::CloseCause::local);
}

void Channel::onClosed(net::CloseCause) {
  std::vector<http2::StreamId> open;
  for (const auto& [id, slot] : calls_) open.push_back(id);
  const auto alive = alive_;
  for (const auto id : open) {
    if (!*alive) return;
    end(id, {grpc::Code::unavailable, "the connection is gone", {}}, {}, false);
  }
}

void Channel::onHeaders(http2::StreamId id, http2::Headers headers, bool trailers, bool isEnd) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) { return; }
  if (isEnd) {
    const auto status = grpc::fromTrailers(headers);
    return end(id, status, headers, true);
  }
  if (!trailers) at->second.head = std::move(headers);
}

void Channel::onData(http2::StreamId id, std::span<const std::uint8_t> data, bool isEnd) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) {
    codec_.consumed(id, data.size());
    return;
  }
  Slot& slot = at->second;
  if (slot.held)
    slot.unread += data.size();
  else
    codec_.consumed(id, data.size());
  std::vector<std::string> messages;
  const auto status = slot.reader.receive({reinterpret_cast<const char*>(data.data()), data.size()},
                                          [&](std::string_view m) { messages.emplace_back(m); });
  CallEvents& events = *slot.events;
  for (const auto& m : messages) {
    events.onMessage(m);
    if (!calls_.contains(id)) return;
  }
  if (status.code != grpc::Code::ok) {
    codec_.reset(id, http2::ErrorCode::cancel);
    return end(id, status, {}, false);
  }
  if (isEnd) end(id, grpc::fromTrailers(calls_.at(id).head), {}, true);
}

void Channel::onReset(http2::StreamId id, http2::ErrorCode code) {
  if (!calls_.contains(id)) return;
  const auto mapped = code == http2::ErrorCode::refusedStream     ? grpc::Code::unavailable
                      : code == http2::ErrorCode::cancel          ? grpc::Code::cancelled
                      : code == http2::ErrorCode::enhanceYourCalm ? grpc::Code::resourceExhausted
                                                                  : grpc::Code::internal;
  end(id, {mapped, "the stream was reset", {}}, {}, false);
}

void Channel::onGoAway(http2::StreamId last, http2::ErrorCode) {
  std::vector<http2::StreamId> lost;
  for (const auto& [id, slot] : calls_)
    if (id > last) lost.push_back(id);
  for (const auto id : lost) end(id, {grpc::Code::unavailable, "the server goes away", {}}, {}, false);
}

void Channel::end(http2::StreamId id, const grpc::Status& status, const http2::Headers& trailers,
                  bool fromServer) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;
  CallEvents* events = at->second.events;
  calls_.erase(at);
  events->onStatus(status, trailers, fromServer);
}

void Channel::flush() {
  while (stream_.open() && !codec_.output().empty()) {
    const auto output = codec_.output();
    const std::size_t n = stream_.trySend(output);
    codec_.sent(n);
    if (n < output.size()) break;
  }
}

}  // namespace garnethook::client
