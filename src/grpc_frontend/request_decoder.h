/// Validates a GenerateRequest and converts it to a request of the routing core. Performs no I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "garnethook/v1/generate.pb.h"
#include "routing/request.h"

namespace garnethook::grpc_frontend {

/// Limits and defaults that are applied to requests.
struct RequestDecoderOptions {
  std::vector<std::string> classNames;          ///< request classes, by index
  std::vector<Micros> defaultDeadlines;         ///< by class; used if the client specifies no deadline
  std::uint32_t defaultMaxOutputTokens = 1024;  ///< used if the client specifies none
  std::uint32_t maxOutputTokensLimit = 32'768;  ///< requests for more output tokens are invalid
  std::size_t maxPromptBytes = 4u << 20;        ///< longer prompts are invalid
  Micros maxDeadline = 3'600'000'000;           ///< longer deadlines are shortened to it
  double charactersPerToken = 4;                ///< to estimate the token count of a prompt that is text
};

/// Number of Unicode code points in UTF-8 text.
std::size_t codePointCount(std::string_view text);
/// Length in bytes of the first `codePoints` code points; the whole text if it has fewer.
std::size_t prefixBytes(std::string_view text, std::size_t codePoints);

/// Decodes a request message.
/// @param timeout the client's deadline, if specified
/// @param error set to a message that names the field if the request is invalid
/// @return the request, or nothing if it is invalid
std::optional<routing::Request> decodeRequest(const v1::GenerateRequest& message,
                                              std::optional<Micros> timeout,
                                              const RequestDecoderOptions& options, std::string& error);

}  // namespace garnethook::grpc_frontend
