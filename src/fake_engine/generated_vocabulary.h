// Generates byte-level BPE vocabularies for fake engines, fault scenarios and tests, which have no published
// vocabulary.
#pragma once

#include <cstdint>
#include <string>

namespace garnethook::fake_engine {

// Returns a ranks file (".tiktoken") with the 256 bytes and up to `merges` merges (fewer if the text yields
// no more), trained on words generated from the seed. Vocabularies of different seeds give different token
// counts for the same text.
std::string generateRanks(std::uint64_t seed, std::size_t merges = 400);

}  // namespace garnethook::fake_engine
