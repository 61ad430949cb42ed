/// @file
/// What the events of an OpenAI-compatible stream tell about its state. Performs no I/O.
#pragma once

#include <string_view>

#include "http1/event_stream.h"

namespace garnethook::engine {

/// Data of the event that ends a stream.
inline constexpr std::string_view kEndMarker = "[DONE]";

/// Whether the bytes that the parser buffers can still become an event: its data is a JSON object or the end
/// marker.
inline bool isEventUnderWay(const http1::EventStreamParser& parser) {
  const auto data = parser.partialData();
  return data && (data->empty() || data->front() == '{' || kEndMarker.starts_with(*data));
}

}  // namespace garnethook::engine
