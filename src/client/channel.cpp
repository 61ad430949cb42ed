#include "client/channel.h"

#include <utility>
#include <vector>

namespace garnethook::client {
namespace {

http2::Limits connectionLimits(std::uint32_t perStreamWindow) {
  http2::Limits result;
  result.streamWindow = perStreamWindow;
  result.connectionWindow = 64u << 20;
  result.emptyFrames = 1'000'000;
  result.resets = 1'000'000;
  result.pings = 100'000;
  return result;
}

}  // namespace

Channel::Channel(net::Loop& loop, const Poco::Net::SocketAddress& address, const Options& options)
    : loop_(loop),
      options_(options),
      codec_(http2::Side::client, connectionLimits(options.streamWindow), *this),
      stream_(loop, address, options.sourceAddress, options.connectTimeout, *this) {}

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
  auto& state = calls_.emplace(id, options_.maxMessageBytes).first->second;
  state.events = &events;
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

void Channel::pauseReading(http2::StreamId id, bool paused) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  it->second.readingPaused = paused;
  if (!paused) codec_.consumed(id, std::exchange(it->second.unreadBytes, 0));
  flush();
}

void Channel::onBytes(std::string_view bytes) {
  const bool valid =
      codec_.receive(loop_.now(), {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
  flush();
  if (valid) return;
  stream_.close();
  onClosed(net::CloseCause::local);
}

void Channel::onClosed(net::CloseCause) {
  std::vector<http2::StreamId> openCalls;
  for (const auto& [id, state] : calls_) openCalls.push_back(id);
  const auto alive = alive_;
  for (const auto id : openCalls) {
    if (!*alive) return;
    finishCall(id, {grpc::Code::unavailable, "the connection is gone", {}}, {}, false);
  }
}

void Channel::onHeaders(http2::StreamId id, http2::Headers headers, bool trailers, bool endStream) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) { return; }
  if (endStream) {
    auto status = grpc::fromTrailers(headers);
    if (status.code == grpc::Code::ok && it->second.reader.hasPartialInput())
      status = {grpc::Code::internal, "the response was cut inside a message", {}};
    return finishCall(id, status, headers, true);
  }
  if (!trailers) it->second.initialHeaders = std::move(headers);
}

void Channel::onData(http2::StreamId id, std::span<const std::uint8_t> data, bool endStream) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    codec_.consumed(id, data.size());
    return;
  }
  CallState& state = it->second;
  if (state.readingPaused)
    state.unreadBytes += data.size();
  else
    codec_.consumed(id, data.size());
  std::vector<std::string> messages;
  const auto status = state.reader.receive({reinterpret_cast<const char*>(data.data()), data.size()},
                                           [&](std::string_view payload) { messages.emplace_back(payload); });
  CallEvents& events = *state.events;
  for (const auto& payload : messages) {
    events.onMessage(payload);
    if (!calls_.contains(id)) return;
  }
  if (status.code != grpc::Code::ok) {
    codec_.reset(id, http2::ErrorCode::cancel);
    return finishCall(id, status, {}, false);
  }
  if (endStream) finishCall(id, grpc::fromTrailers(calls_.at(id).initialHeaders), {}, true);
}

void Channel::onReset(http2::StreamId id, http2::ErrorCode code) {
  if (!calls_.contains(id)) return;
  const auto grpcCode = code == http2::ErrorCode::refusedStream     ? grpc::Code::unavailable
                        : code == http2::ErrorCode::cancel          ? grpc::Code::cancelled
                        : code == http2::ErrorCode::enhanceYourCalm ? grpc::Code::resourceExhausted
                                                                    : grpc::Code::internal;
  finishCall(id, {grpcCode, "the stream was reset", {}}, {}, false);
}

void Channel::onGoAway(http2::StreamId lastStreamId, http2::ErrorCode) {
  std::vector<http2::StreamId> refusedCalls;
  for (const auto& [id, state] : calls_)
    if (id > lastStreamId) refusedCalls.push_back(id);
  for (const auto id : refusedCalls)
    finishCall(id, {grpc::Code::unavailable, "the server goes away", {}}, {}, false);
}

void Channel::finishCall(http2::StreamId id, const grpc::Status& status, const http2::Headers& trailers,
                         bool fromServer) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  CallEvents* events = it->second.events;
  calls_.erase(it);
  events->onStatus(status, trailers, fromServer);
}

void Channel::flush() {
  while (stream_.open() && !codec_.output().empty()) {
    const auto output = codec_.output();
    const std::size_t sentBytes = stream_.trySend(output);
    codec_.sent(sentBytes);
    if (sentBytes < output.size()) break;
  }
}

}  // namespace garnethook::client
