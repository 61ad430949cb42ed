/// @file
/// What a router knows about an endpoint from its own connections. Free of I/O.
#pragma once

namespace garnethook::engine {

/// The latest news of an endpoint. In order of preference: earlier values are better.
enum class Responsiveness {
  responsive,   ///< It has sent something.
  unknown,      ///< This router has not tried it since it started.
  unresponsive  ///< It was given up on: no connection, no response, or a reset.
};

}  // namespace garnethook::engine
