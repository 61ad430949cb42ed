#include "grpc/message.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace garnethook::grpc {
namespace {

constexpr std::size_t kPrefix = 5;
constexpr std::string_view kHex = "0123456789ABCDEF";
constexpr std::string_view kBase64 = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

int hexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}

}  // namespace

std::string_view name(Code code) {
  constexpr std::array<std::string_view, 17> names{
      "OK",        "CANCELLED",      "UNKNOWN",           "INVALID_ARGUMENT",   "DEADLINE_EXCEEDED",
      "NOT_FOUND", "ALREADY_EXISTS", "PERMISSION_DENIED", "RESOURCE_EXHAUSTED", "FAILED_PRECONDITION",
      "ABORTED",   "OUT_OF_RANGE",   "UNIMPLEMENTED",     "INTERNAL",           "UNAVAILABLE",
      "DATA_LOSS", "UNAUTHENTICATED"};
  return names[static_cast<std::size_t>(code)];
}

void frame(std::string_view message, std::string& out) {
  const auto n = static_cast<std::uint32_t>(message.size());
  out.push_back(0);
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(n >> shift));
  out.append(message);
}

Status MessageReader::receive(std::string_view bytes, const Handler& handler) {
  buffer_.append(bytes);
  std::size_t at = 0;
  Status status;
  while (buffer_.size() - at >= kPrefix) {
    const auto byte = [&](std::size_t i) { return static_cast<std::uint8_t>(buffer_[at + i]); };
    const std::size_t length =
        std::size_t{byte(1)} << 24 | std::size_t{byte(2)} << 16 | std::size_t{byte(3)} << 8 | byte(4);
    if (byte(0) == 1)
      status = {Code::unimplemented, "compressed messages are not taken; send grpc-encoding: identity", {}};
    else if (byte(0) != 0)
      status = {Code::internal, "malformed message prefix", {}};
    else if (length > most_)
      status = {
          Code::resourceExhausted,
          "message of " + std::to_string(length) + " octets; at most " + std::to_string(most_) + " are taken",
          {}};
    if (status.code != Code::ok) break;
    if (buffer_.size() - at < kPrefix + length) break;
    handler(std::string_view(buffer_).substr(at + kPrefix, length));
    at += kPrefix + length;
  }
  buffer_.erase(0, at);
  if (status.code != Code::ok || buffer_.empty()) std::string().swap(buffer_);
  return status;
}

std::optional<std::int64_t> parseTimeout(std::string_view text) {
  if (text.size() < 2 || text.size() > 9) return std::nullopt;
  std::int64_t value = 0;
  const auto digits = text.substr(0, text.size() - 1);
  if (!std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; }))
    return std::nullopt;
  std::from_chars(digits.data(), digits.data() + digits.size(), value);
  switch (text.back()) {
    case 'H': return value * 3'600'000'000;
    case 'M': return value * 60'000'000;
    case 'S': return value * 1'000'000;
    case 'm': return value * 1000;
    case 'u': return value;
    case 'n': return value / 1000;
    default: return std::nullopt;
  }
}

std::string formatTimeout(std::int64_t micros) {
  constexpr std::int64_t most = 99'999'999;
  micros = std::max<std::int64_t>(micros, 0);
  if (micros <= most) return std::to_string(micros) + "u";
  if (micros / 1000 <= most) return std::to_string(micros / 1000) + "m";
  if (micros / 1'000'000 <= most) return std::to_string(micros / 1'000'000) + "S";
  return std::to_string(std::min(micros / 3'600'000'000, most)) + "H";
}

std::string percentEncode(std::string_view text) {
  std::string out;
  for (const char c : text) {
    if (c >= 0x20 && c <= 0x7e && c != '%') {
      out.push_back(c);
    } else {
      out.push_back('%');
      out.push_back(kHex[static_cast<std::uint8_t>(c) >> 4]);
      out.push_back(kHex[static_cast<std::uint8_t>(c) & 15]);
    }
  }
  return out;
}

std::string percentDecode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0) {
      out.push_back(static_cast<char>(hexDigit(text[i + 1]) << 4 | hexDigit(text[i + 2])));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

std::string base64Encode(std::string_view bytes) {
  std::string out;
  std::uint32_t bits = 0;
  unsigned held = 0;
  for (const char c : bytes) {
    bits = bits << 8 | static_cast<std::uint8_t>(c);
    for (held += 8; held >= 6; held -= 6) out.push_back(kBase64[bits >> (held - 6) & 63]);
  }
  if (held > 0) out.push_back(kBase64[bits << (6 - held) & 63]);
  return out;
}

std::optional<std::string> base64Decode(std::string_view text) {
  while (!text.empty() && text.back() == '=') text.remove_suffix(1);
  if (text.size() % 4 == 1) return std::nullopt;
  std::string out;
  std::uint32_t bits = 0;
  unsigned held = 0;
  for (const char c : text) {
    const auto value = kBase64.find(c);
    if (value == std::string_view::npos) return std::nullopt;
    bits = bits << 6 | static_cast<std::uint32_t>(value);
    if ((held += 6) >= 8) out.push_back(static_cast<char>(bits >> (held -= 8)));
  }
  return out;
}

http2::Headers trailers(const Status& status, std::string_view details) {
  http2::Headers out{{"grpc-status", std::to_string(static_cast<int>(status.code))}};
  if (!status.message.empty()) out.push_back({"grpc-message", percentEncode(status.message)});
  if (status.retryAfterMs) out.push_back({"grpc-retry-pushback-ms", std::to_string(*status.retryAfterMs)});
  if (!details.empty()) out.push_back({"grpc-status-details-bin", base64Encode(details)});
  return out;
}

Code fromHttpStatus(int status) {
  switch (status) {
    case 400: return Code::internal;
    case 401: return Code::unauthenticated;
    case 403: return Code::permissionDenied;
    case 404: return Code::unimplemented;
    case 429:
    case 502:
    case 503:
    case 504: return Code::unavailable;
    default: return Code::unknown;
  }
}

Status fromTrailers(const http2::Headers& headers) {
  Status status{Code::unknown, "no grpc-status", {}};
  if (const auto code = http2::find(headers, "grpc-status")) {
    int value = -1;
    const auto [end, bad] = std::from_chars(code->data(), code->data() + code->size(), value);
    const bool good = bad == std::errc() && end == code->data() + code->size() && value >= 0 && value <= 16;
    status = {good ? static_cast<Code>(value) : Code::unknown, {}, {}};
  } else if (const auto http = http2::find(headers, ":status")) {
    int value = 0;
    std::from_chars(http->data(), http->data() + http->size(), value);
    status = {value == 200 ? Code::unknown : fromHttpStatus(value), "HTTP status " + std::string(*http), {}};
  }
  if (const auto text = http2::find(headers, "grpc-message")) status.message = percentDecode(*text);
  if (const auto pushback = http2::find(headers, "grpc-retry-pushback-ms")) {
    std::int64_t value = 0;
    const auto [end, bad] = std::from_chars(pushback->data(), pushback->data() + pushback->size(), value);
    if (bad == std::errc() && end == pushback->data() + pushback->size()) status.retryAfterMs = value;
  }
  return status;
}

}  // namespace garnethook::grpc
