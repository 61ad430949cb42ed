#include "grpc/message.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace garnethook::grpc {
namespace {

constexpr std::size_t kPrefixBytes = 5;
constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr std::string_view kBase64Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

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

void frame(std::string_view message, std::string& output) {
  const auto payloadBytes = static_cast<std::uint32_t>(message.size());
  output.push_back(0);
  for (int shift = 24; shift >= 0; shift -= 8) output.push_back(static_cast<char>(payloadBytes >> shift));
  output.append(message);
}

Status MessageReader::receive(std::string_view bytes, const Handler& handler) {
  buffer_.append(bytes);
  std::size_t offset = 0;
  Status status;
  while (buffer_.size() - offset >= kPrefixBytes) {
    const auto prefixByte = [&](std::size_t index) {
      return static_cast<std::uint8_t>(buffer_[offset + index]);
    };
    const std::size_t length = std::size_t{prefixByte(1)} << 24 | std::size_t{prefixByte(2)} << 16 |
                               std::size_t{prefixByte(3)} << 8 | prefixByte(4);
    if (prefixByte(0) == 1)
      status = {Code::unimplemented, "compressed messages are not taken; send grpc-encoding: identity", {}};
    else if (prefixByte(0) != 0)
      status = {Code::internal, "malformed message prefix", {}};
    else if (length > maxMessageBytes_)
      status = {Code::resourceExhausted,
                "message of " + std::to_string(length) + " octets; at most " +
                    std::to_string(maxMessageBytes_) + " are taken",
                {}};
    if (status.code != Code::ok) break;
    if (buffer_.size() - offset < kPrefixBytes + length) break;
    handler(std::string_view(buffer_).substr(offset + kPrefixBytes, length));
    offset += kPrefixBytes + length;
  }
  buffer_.erase(0, offset);
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
  constexpr std::int64_t maxValue = 99'999'999;
  micros = std::max<std::int64_t>(micros, 0);
  if (micros <= maxValue) return std::to_string(micros) + "u";
  if (micros / 1000 <= maxValue) return std::to_string(micros / 1000) + "m";
  if (micros / 1'000'000 <= maxValue) return std::to_string(micros / 1'000'000) + "S";
  return std::to_string(std::min(micros / 3'600'000'000, maxValue)) + "H";
}

std::string percentEncode(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    if (c >= 0x20 && c <= 0x7e && c != '%') {
      encoded.push_back(c);
    } else {
      encoded.push_back('%');
      encoded.push_back(kHexDigits[static_cast<std::uint8_t>(c) >> 4]);
      encoded.push_back(kHexDigits[static_cast<std::uint8_t>(c) & 15]);
    }
  }
  return encoded;
}

std::string percentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '%' && index + 2 < text.size() && hexDigit(text[index + 1]) >= 0 &&
        hexDigit(text[index + 2]) >= 0) {
      decoded.push_back(static_cast<char>(hexDigit(text[index + 1]) << 4 | hexDigit(text[index + 2])));
      index += 2;
    } else {
      decoded.push_back(text[index]);
    }
  }
  return decoded;
}

std::string base64Encode(std::string_view bytes) {
  std::string encoded;
  std::uint32_t bits = 0;
  unsigned bitCount = 0;
  for (const char c : bytes) {
    bits = bits << 8 | static_cast<std::uint8_t>(c);
    for (bitCount += 8; bitCount >= 6; bitCount -= 6)
      encoded.push_back(kBase64Alphabet[bits >> (bitCount - 6) & 63]);
  }
  if (bitCount > 0) encoded.push_back(kBase64Alphabet[bits << (6 - bitCount) & 63]);
  return encoded;
}

std::optional<std::string> base64Decode(std::string_view text) {
  while (!text.empty() && text.back() == '=') text.remove_suffix(1);
  if (text.size() % 4 == 1) return std::nullopt;
  std::string decoded;
  std::uint32_t bits = 0;
  unsigned bitCount = 0;
  for (const char c : text) {
    const auto value = kBase64Alphabet.find(c);
    if (value == std::string_view::npos) return std::nullopt;
    bits = bits << 6 | static_cast<std::uint32_t>(value);
    if ((bitCount += 6) >= 8) decoded.push_back(static_cast<char>(bits >> (bitCount -= 8)));
  }
  return decoded;
}

http2::Headers trailers(const Status& status, std::string_view details) {
  http2::Headers trailerFields{{"grpc-status", std::to_string(static_cast<int>(status.code))}};
  if (!status.message.empty()) trailerFields.push_back({"grpc-message", percentEncode(status.message)});
  if (status.retryAfterMs)
    trailerFields.push_back({"grpc-retry-pushback-ms", std::to_string(*status.retryAfterMs)});
  if (!details.empty()) trailerFields.push_back({"grpc-status-details-bin", base64Encode(details)});
  return trailerFields;
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
    const auto [end, parseError] = std::from_chars(code->data(), code->data() + code->size(), value);
    const bool isValid =
        parseError == std::errc() && end == code->data() + code->size() && value >= 0 && value <= 16;
    status = {isValid ? static_cast<Code>(value) : Code::unknown, {}, {}};
  } else if (const auto httpStatus = http2::find(headers, ":status")) {
    int value = 0;
    std::from_chars(httpStatus->data(), httpStatus->data() + httpStatus->size(), value);
    status = {
        value == 200 ? Code::unknown : fromHttpStatus(value), "HTTP status " + std::string(*httpStatus), {}};
  }
  if (const auto encodedMessage = http2::find(headers, "grpc-message"))
    status.message = percentDecode(*encodedMessage);
  if (const auto pushback = http2::find(headers, "grpc-retry-pushback-ms")) {
    std::int64_t value = 0;
    const auto [end, parseError] =
        std::from_chars(pushback->data(), pushback->data() + pushback->size(), value);
    if (parseError == std::errc() && end == pushback->data() + pushback->size()) status.retryAfterMs = value;
  }
  return status;
}

}  // namespace garnethook::grpc
