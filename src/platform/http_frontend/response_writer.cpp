#include "platform/http_frontend/response_writer.h"

#include <string>

namespace garnethook::platform {
namespace {

// Head of a streamed response and framing of a chunk, rounded up.
constexpr std::size_t kFramingBytes = 160;

}  // namespace

void ResponseWriter::send(const Response& response) { stream_.send(responseText(response)); }

void ResponseWriter::sendContinue() { stream_.send(kContinueResponse); }

void ResponseWriter::startStream(std::string_view events, bool keepAlive) {
  isStreaming_ = true;
  std::string out;
  out.reserve(events.size() + kFramingBytes);
  appendStreamHead(out, keepAlive);
  appendChunk(out, events);
  stream_.send(out);
}

void ResponseWriter::sendEvents(std::string_view events) {
  std::string out;
  out.reserve(events.size() + kFramingBytes);
  appendChunk(out, events);
  stream_.send(out);
}

void ResponseWriter::finishStream() {
  isStreaming_ = false;
  stream_.send(kLastChunk);
}

}  // namespace garnethook::platform
