#include "platform/http_frontend/response.h"

namespace garnethook::platform {
namespace {

std::string_view reason(int status) {
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

// Seconds with milliseconds, rounded up.
std::string seconds(Micros time) {
  const Micros ms = (time + 999) / 1000;
  const std::string rest = std::to_string(ms % 1000);
  return std::to_string(ms / 1000) + "." + std::string(3 - rest.size(), '0') + rest;
}

}  // namespace

std::string responseText(const Response& response) {
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " ";
  out.append(reason(response.status)).append("\r\nContent-Type: text/plain\r\nContent-Length: ");
  out.append(std::to_string(response.text.size() + 1)).append("\r\n");
  if (response.retryAfter > 0)
    out.append("Retry-After: ").append(seconds(response.retryAfter)).append("\r\n");
  if (!response.keepAlive) out.append("Connection: close\r\n");
  return out.append("\r\n").append(response.text).append("\n");
}

}  // namespace garnethook::platform
