#include "grpc_frontend/request_decoder.h"

#include <algorithm>

namespace garnethook::grpc_frontend {

std::size_t codePointCount(std::string_view text) {
  return static_cast<std::size_t>(std::count_if(
      text.begin(), text.end(), [](char byte) { return (static_cast<std::uint8_t>(byte) & 0xc0U) != 0x80; }));
}

std::size_t prefixBytes(std::string_view text, std::size_t codePoints) {
  for (std::size_t offset = 0; offset < text.size(); ++offset)
    if ((static_cast<std::uint8_t>(text[offset]) & 0xc0U) != 0x80 && codePoints-- == 0) return offset;
  return text.size();
}

std::optional<routing::Request> decodeRequest(const v1::GenerateRequest& message,
                                              std::optional<Micros> timeout,
                                              const RequestDecoderOptions& options, std::string& error) {
  const auto invalid = [&](std::string text) {
    error = std::move(text);
    return std::nullopt;
  };
  routing::Request request;
  const bool hasTokenIds = message.has_prompt_tokens() && message.prompt_tokens().ids_size() > 0;
  if (hasTokenIds && !message.prompt().empty())
    return invalid("prompt and prompt_tokens: only one may be given");
  if (!hasTokenIds && message.prompt().empty()) return invalid("prompt: is empty");
  const std::size_t promptSize = hasTokenIds
                                     ? static_cast<std::size_t>(message.prompt_tokens().ids_size()) * 4
                                     : message.prompt().size();
  if (promptSize > options.maxPromptBytes)
    return invalid("prompt: " + std::to_string(promptSize) + " octets; at most " +
                   std::to_string(options.maxPromptBytes) + " are taken");
  if (!message.request_class().empty()) {
    const auto found =
        std::find(options.classNames.begin(), options.classNames.end(), message.request_class());
    if (found == options.classNames.end())
      return invalid("request_class: \"" + message.request_class().substr(0, 80) + "\" is not known here");
    request.requestClass = static_cast<std::size_t>(found - options.classNames.begin());
  }
  if (message.max_output_tokens() > options.maxOutputTokensLimit)
    return invalid("max_output_tokens: " + std::to_string(message.max_output_tokens()) + "; at most " +
                   std::to_string(options.maxOutputTokensLimit) + " are taken");
  if (message.stop_size() > 16) return invalid("stop: at most 16 texts are taken");
  if (message.session().size() > 1024) return invalid("session: at most 1024 octets are taken");
  if (message.shared_beginning().key().size() > 1024)
    return invalid("shared_beginning.key: at most 1024 octets are taken");
  if (message.has_temperature() && !(message.temperature() >= 0 && message.temperature() <= 10))
    return invalid("temperature: not between 0 and 10");

  request.remaining =
      std::min(timeout.value_or(options.defaultDeadlines[request.requestClass]), options.maxDeadline);
  request.session = message.session();
  request.maxOutput =
      message.max_output_tokens() > 0 ? message.max_output_tokens() : options.defaultMaxOutputTokens;
  request.stop.assign(message.stop().begin(), message.stop().end());
  if (message.has_temperature()) request.temperature = message.temperature();
  if (message.has_seed()) request.seed = message.seed();
  request.model = message.model();
  const double sharedPrefixLength = message.shared_beginning().length();
  if (hasTokenIds) {
    request.promptIds.assign(message.prompt_tokens().ids().begin(), message.prompt_tokens().ids().end());
    request.promptTokens = static_cast<double>(request.promptIds.size());
    request.sharedPrefixTokens = sharedPrefixLength;
  } else {
    request.prompt = std::make_shared<const std::string>(message.prompt());
    request.specialTokens = message.special_tokens();
    request.estimated = true;
    request.sharedPrefixBytes = prefixBytes(*request.prompt, message.shared_beginning().length());
    request.promptTokens =
        std::max(1.0, static_cast<double>(codePointCount(*request.prompt)) / options.charactersPerToken);
    request.sharedPrefixTokens = sharedPrefixLength / options.charactersPerToken;
  }
  if (!message.shared_beginning().key().empty()) request.sharedPrefixKey = message.shared_beginning().key();
  request.sharedPrefixTokens =
      request.sharedPrefixKey.empty() ? 0 : std::min(request.sharedPrefixTokens, request.promptTokens);
  return request;
}

}  // namespace garnethook::grpc_frontend
