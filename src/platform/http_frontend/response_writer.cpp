#include "platform/http_frontend/response_writer.h"

#include <string>

namespace garnethook::platform {
namespace {

// Upper bound for the head of a streamed response and the framing of one chunk.
constexpr std::size_t kFramingBytes = 160;

}  // namespace

void ResponseWriter::send(const Response& response) { stream_.send(serializeResponse(response)); }

void ResponseWriter::sendContinue() { stream_.send(kContinueResponse); }

void ResponseWriter::startStream(std::string_view events, bool keepAlive) {
  isStreaming_ = true;
  std::string buffer;
  buffer.reserve(events.size() + kFramingBytes);
  appendStreamHead(buffer, keepAlive);
  appendChunk(buffer, events);
  stream_.send(buffer);
}

void ResponseWriter::sendEvents(std::string_view events) {
  std::string buffer;
  buffer.reserve(events.size() + kFramingBytes);
  appendChunk(buffer, events);
  stream_.send(buffer);
}

void ResponseWriter::finishStream() {
  isStreaming_ = false;
  stream_.send(kLastChunk);
}

}  // namespace garnethook::platform
