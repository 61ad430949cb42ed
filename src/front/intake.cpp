#include "front/intake.h"

#include <algorithm>

namespace garnethook::front {

std::size_t characters(std::string_view text) {
  return static_cast<std::size_t>(std::count_if(
      text.begin(), text.end(), [](char c) { return (static_cast<std::uint8_t>(c) & 0xc0U) != 0x80; }));
}

std::size_t octetsOf(std::string_view text, std::size_t characters) {
  for (std::size_t i = 0; i < text.size(); ++i)
    if ((static_cast<std::uint8_t>(text[i]) & 0xc0U) != 0x80 && characters-- == 0) return i;
  return text.size();
}

std::optional<routing::Ask> takeIn(const v1::GenerateRequest& request, std::optional<Micros> timeout,
                                   const IntakeOptions& options, std::string& trouble) {
  const auto refuse = [&](std::string text) {
    trouble = std::move(text);
    return std::nullopt;
  };
  routing::Ask ask;
  const bool byIds = request.has_prompt_tokens() && request.prompt_tokens().ids_size() > 0;
  if (byIds && !request.prompt().empty()) return refuse("prompt and prompt_tokens: only one may be given");
  if (!byIds && request.prompt().empty()) return refuse("prompt: is empty");
  const std::size_t bytes =
      byIds ? static_cast<std::size_t>(request.prompt_tokens().ids_size()) * 4 : request.prompt().size();
  if (bytes > options.promptBytes)
    return refuse("prompt: " + std::to_string(bytes) + " octets; at most " +
                  std::to_string(options.promptBytes) + " are taken");
  if (!request.request_class().empty()) {
    const auto at = std::find(options.classNames.begin(), options.classNames.end(), request.request_class());
    if (at == options.classNames.end())
      return refuse("request_class: \"" + request.request_class().substr(0, 80) + "\" is not known here");
    ask.requestClass = static_cast<std::size_t>(at - options.classNames.begin());
  }
  if (request.max_output_tokens() > options.mostOutput)
    return refuse("max_output_tokens: " + std::to_string(request.max_output_tokens()) + "; at most " +
                  std::to_string(options.mostOutput) + " are taken");
  if (request.stop_size() > 16) return refuse("stop: at most 16 texts are taken");
  if (request.session().size() > 1024) return refuse("session: at most 1024 octets are taken");
  if (request.shared_beginning().key().size() > 1024)
    return refuse("shared_beginning.key: at most 1024 octets are taken");
  if (request.has_temperature() && !(request.temperature() >= 0 && request.temperature() <= 10))
    return refuse("temperature: not between 0 and 10");

  ask.remaining = std::min(timeout.value_or(options.deadlines[ask.requestClass]), options.longest);
  ask.session = request.session();
  ask.maxOutput = request.max_output_tokens() > 0 ? request.max_output_tokens() : options.maxOutput;
  ask.stop.assign(request.stop().begin(), request.stop().end());
  if (request.has_temperature()) ask.temperature = request.temperature();
  if (request.has_seed()) ask.seed = request.seed();
  ask.model = request.model();
  const double length = request.shared_beginning().length();
  if (byIds) {
    ask.promptIds.assign(request.prompt_tokens().ids().begin(), request.prompt_tokens().ids().end());
    ask.promptTokens = static_cast<double>(ask.promptIds.size());
    ask.sharedTokens = length;
  } else {
    ask.prompt = std::make_shared<const std::string>(request.prompt());
    ask.specialTokens = request.special_tokens();
    ask.estimated = true;
    ask.sharedOctets = octetsOf(*ask.prompt, request.shared_beginning().length());
    ask.promptTokens =
        std::max(1.0, static_cast<double>(characters(*ask.prompt)) / options.charactersPerToken);
    ask.sharedTokens = length / options.charactersPerToken;
  }
  if (!request.shared_beginning().key().empty()) ask.shared = request.shared_beginning().key();
  ask.sharedTokens = ask.shared.empty() ? 0 : std::min(ask.sharedTokens, ask.promptTokens);
  return ask;
}

}  // namespace garnethook::front
