/// What a client requests, whichever frontend it came through.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy/routing_policy.h"

namespace garnethook::routing {

/// One request, as a frontend hands it to the router. Plain values.
struct Request {
  std::size_t requestClass = 0;       ///< Index into the settings' classes.
  Micros remaining = 0;               ///< Time left until the client's deadline, in microseconds.
  std::string session;                ///< Key of the client's session; empty: none.
  std::string sharedPrefixKey;        ///< Key of the shared beginning of the prompt; empty: none.
  double promptTokens = 0;            ///< Length of the prompt.
  double sharedPrefixTokens = 0;      ///< The part of it in the shared beginning.
  std::vector<PromptCount> counts;    ///< By the tokenisers of endpoints, where they are known.
  bool estimated = false;             ///< promptTokens is estimated from the length of the text.
  std::size_t sharedPrefixBytes = 0;  ///< Length of the shared beginning in the prompt's text.
  bool specialTokens = false;         ///< The text of special tokens in the prompt stands for those tokens.
  std::shared_ptr<const std::string> prompt;  ///< The prompt as text; none where it is given as token ids.
  std::vector<std::uint32_t> promptIds;       ///< The prompt as token ids, where there is no text.
  std::uint32_t maxOutput = 0;                ///< Most tokens of the answer.
  std::vector<std::string> stop;              ///< Texts that end the answer.
  std::optional<double> temperature;          ///< Sampling temperature.
  std::optional<std::uint64_t> seed;          ///< Sampling seed.
  std::string model;                          ///< Name of the model.

  /// The id under which engines and logs know the request; empty: the router makes one.
  std::string traceId;
  /// Path and query of the client's own request, for engines that receive it as it came.
  std::string target;
  /// Further header fields for such engines, each a line with its CRLF.
  std::string fields;
  /// Body of the client's own request, for such engines.
  std::shared_ptr<const std::string> body;
};

}  // namespace garnethook::routing
