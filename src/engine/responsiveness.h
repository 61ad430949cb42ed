/// @file
/// Responsiveness of an endpoint, as observed on this router's connections. Performs no I/O.
#pragma once

namespace garnethook::engine {

/// The latest observation of an endpoint, in order of preference: earlier values are better.
enum class Responsiveness {
  responsive,   ///< It has sent data.
  unknown,      ///< This router has not contacted it since it was listed, restarted or moved.
  unresponsive  ///< It did not respond: no connection, no response, or a reset.
};

}  // namespace garnethook::engine
