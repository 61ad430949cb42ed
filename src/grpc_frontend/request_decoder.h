// From a request's message to what the core takes: one rule for all fronts. Free of I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "garnethook/v1/generate.pb.h"
#include "routing/request.h"

namespace garnethook::grpc_frontend {

struct IntakeOptions {
  std::vector<std::string> classNames;
  std::vector<Micros> deadlines;      // by class: where the client tells none
  std::uint32_t maxOutput = 1024;     // where the client tells none
  std::uint32_t mostOutput = 32'768;  // and the most that is taken
  std::size_t promptBytes = 4u << 20;
  Micros longest = 3'600'000'000;  // deadlines beyond are cut
  double charactersPerToken = 4;   // the estimate, where the prompt comes as text
};

// Unicode code points of UTF-8 text.
std::size_t characters(std::string_view text);
// Bytes of the first `characters` code points; all, where there are fewer.
std::size_t bytesOf(std::string_view text, std::size_t characters);

// The request as the core takes it; where it can't be taken, none, and `trouble` names the field.
std::optional<routing::Request> takeIn(const v1::GenerateRequest& request, std::optional<Micros> timeout,
                                       const IntakeOptions& options, std::string& error);

}  // namespace garnethook::grpc_frontend
