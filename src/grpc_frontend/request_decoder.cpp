#include "grpc_frontend/request_decoder.h"

#include <algorithm>

namespace garnethook::grpc_frontend {

std::size_t characters(std::string_view text) {
  return static_cast<std::size_t>(std::count_if(
      text.begin(), text.end(), [](char c) { return (static_cast<std::uint8_t>(c) & 0xc0U) != 0x80; }));
}

std::size_t bytesOf(std::string_view text, std::size_t characters) {
  for (std::size_t i = 0; i < text.size(); ++i)
    if ((static_cast<std::uint8_t>(text[i]) & 0xc0U) != 0x80 && characters-- == 0) return i;
  return text.size();
}

std::optional<routing::Request> takeIn(const v1::GenerateRequest& message, std::optional<Micros> timeout,
                                       const IntakeOptions& options, std::string& error) {
  const auto refuse = [&](std::string text) {
    error = std::move(text);
    return std::nullopt;
  };
  routing::Request request;
  const bool byIds = message.has_prompt_tokens() && message.prompt_tokens().ids_size() > 0;
  if (byIds && !message.prompt().empty()) return refuse("prompt and prompt_tokens: only one may be given");
  if (!byIds && message.prompt().empty()) return refuse("prompt: is empty");
  const std::size_t bytes =
      byIds ? static_cast<std::size_t>(message.prompt_tokens().ids_size()) * 4 : message.prompt().size();
  if (bytes > options.promptBytes)
    return refuse("prompt: " + std::to_string(bytes) + " octets; at most " +
                  std::to_string(options.promptBytes) + " are taken");
  if (!message.request_class().empty()) {
    const auto at = std::find(options.classNames.begin(), options.classNames.end(), message.request_class());
    if (at == options.classNames.end())
      return refuse("request_class: \"" + message.request_class().substr(0, 80) + "\" is not known here");
    request.requestClass = static_cast<std::size_t>(at - options.classNames.begin());
  }
  if (message.max_output_tokens() > options.mostOutput)
    return refuse("max_output_tokens: " + std::to_string(message.max_output_tokens()) + "; at most " +
                  std::to_string(options.mostOutput) + " are taken");
  if (message.stop_size() > 16) return refuse("stop: at most 16 texts are taken");
  if (message.session().size() > 1024) return refuse("session: at most 1024 octets are taken");
  if (message.shared_beginning().key().size() > 1024)
    return refuse("shared_beginning.key: at most 1024 octets are taken");
  if (message.has_temperature() && !(message.temperature() >= 0 && message.temperature() <= 10))
    return refuse("temperature: not between 0 and 10");

  request.remaining = std::min(timeout.value_or(options.deadlines[request.requestClass]), options.longest);
  request.session = message.session();
  request.maxOutput = message.max_output_tokens() > 0 ? message.max_output_tokens() : options.maxOutput;
  request.stop.assign(message.stop().begin(), message.stop().end());
  if (message.has_temperature()) request.temperature = message.temperature();
  if (message.has_seed()) request.seed = message.seed();
  request.model = message.model();
  const double length = message.shared_beginning().length();
  if (byIds) {
    request.promptIds.assign(message.prompt_tokens().ids().begin(), message.prompt_tokens().ids().end());
    request.promptTokens = static_cast<double>(request.promptIds.size());
    request.sharedPrefixTokens = length;
  } else {
    request.prompt = std::make_shared<const std::string>(message.prompt());
    request.specialTokens = message.special_tokens();
    request.estimated = true;
    request.sharedPrefixBytes = bytesOf(*request.prompt, message.shared_beginning().length());
    request.promptTokens =
        std::max(1.0, static_cast<double>(characters(*request.prompt)) / options.charactersPerToken);
    request.sharedPrefixTokens = length / options.charactersPerToken;
  }
  if (!message.shared_beginning().key().empty()) request.sharedPrefixKey = message.shared_beginning().key();
  request.sharedPrefixTokens =
      request.sharedPrefixKey.empty() ? 0 : std::min(request.sharedPrefixTokens, request.promptTokens);
  return request;
}

}  // namespace garnethook::grpc_frontend
