/// A client's request, independent of the frontend that received it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy/routing_policy.h"

namespace garnethook::routing {

/// A request, as a frontend passes it to the router.
struct Request {
  std::size_t requestClass = 0;       ///< Index into the settings' classes.
  Micros remaining = 0;               ///< Time left until the client's deadline, in microseconds.
  std::string session;                ///< Key of the client's session; empty: none.
  std::string sharedPrefixKey;        ///< Key of the shared prefix of the prompt; empty: none.
  double promptTokens = 0;            ///< Number of tokens of the prompt.
  double sharedPrefixTokens = 0;      ///< Number of them in the shared prefix.
  std::vector<PromptCount> counts;    ///< Token counts by the endpoints' tokenisers, if known.
  bool estimated = false;             ///< Whether promptTokens is estimated from the text's length.
  std::size_t sharedPrefixBytes = 0;  ///< Length of the shared prefix in the prompt's text.
  bool specialTokens = false;         ///< Whether texts of special tokens in the prompt denote these tokens.
  std::shared_ptr<const std::string> prompt;  ///< The prompt as text; null if it is given as token ids.
  std::vector<std::uint32_t> promptIds;       ///< The prompt as token ids, if there is no text.
  std::uint32_t maxOutput = 0;                ///< Maximum number of output tokens.
  std::vector<std::string> stop;              ///< Texts that end the response.
  std::optional<double> temperature;          ///< Sampling temperature.
  std::optional<std::uint64_t> seed;          ///< Sampling seed.
  std::string model;                          ///< Name of the model.

  /// Id by which engines and logs identify the request; empty: the router generates one.
  std::string traceId;
  /// Path and query of the client's HTTP request, for engines to which it is forwarded unchanged.
  std::string target;
  /// Further header fields for such engines, each a line that ends with CRLF.
  std::string fields;
  /// Body of the client's HTTP request, for such engines.
  std::shared_ptr<const std::string> body;
};

}  // namespace garnethook::routing
