// What a router knows of an engine by its own connections. Free of I/O.
#pragma once

namespace garnethook::engine {

// The latest news of an engine: a word from it, none ever, or that it was given up on (no connection, no
// answer, a reset).
enum class Word { heard, none, lost };

}  // namespace garnethook::engine
