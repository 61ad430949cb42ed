#include "platform/http_frontend/response.h"

#include <array>
#include <charconv>

namespace garnethook::platform {
namespace {

std::string_view reasonPhrase(int status) {
  switch (status) {
    case 200: return "OK";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 408: return "Request Timeout";
    case 409: return "Conflict";
    case 413: return "Content Too Large";
    case 429: return "Too Many Requests";
    case 431: return "Request Header Fields Too Large";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 504: return "Gateway Timeout";
    default: return "Bad Request";
  }
}

// Formats a duration as seconds with three decimals, rounded up.
std::string formatSeconds(Micros time) {
  const Micros milliseconds = (time + 999) / 1000;
  const std::string fraction = std::to_string(milliseconds % 1000);
  return std::to_string(milliseconds / 1000) + "." + std::string(3 - fraction.size(), '0') + fraction;
}

}  // namespace

std::string serializeResponse(const Response& response) {
  std::string buffer = "HTTP/1.1 " + std::to_string(response.status) + " ";
  buffer.append(reasonPhrase(response.status)).append("\r\nContent-Type: text/plain\r\nContent-Length: ");
  buffer.append(std::to_string(response.text.size() + 1)).append("\r\n");
  if (response.retryAfter > 0)
    buffer.append("Retry-After: ").append(formatSeconds(response.retryAfter)).append("\r\n");
  if (!response.keepAlive) buffer.append("Connection: close\r\n");
  return buffer.append("\r\n").append(response.text).append("\n");
}

void appendStreamHead(std::string& buffer, bool keepAlive) {
  buffer.append("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
  if (!keepAlive) buffer.append("Connection: close\r\n");
  buffer.append("\r\n");
}

void appendChunk(std::string& buffer, std::string_view text) {
  std::array<char, 20> size{};
  const char* const sizeEnd = std::to_chars(size.data(), size.data() + size.size(), text.size(), 16).ptr;
  buffer.append(size.data(), static_cast<std::size_t>(sizeEnd - size.data()))
      .append("\r\n")
      .append(text)
      .append("\r\n");
}

}  // namespace garnethook::platform
