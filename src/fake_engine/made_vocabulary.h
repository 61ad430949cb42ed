// A byte-level BPE vocabulary made on the spot: for stand-ins, drills and tests, which have no published one.
#pragma once

#include <cstdint>
#include <string>

namespace garnethook::fake_engine {

// A ranks file (".tiktoken") of 256 bytes and `merges` merges (fewer where the text gives no more), trained
// on words drawn from the seed. Two seeds give vocabularies that count the same text differently.
std::string madeRanks(std::uint64_t seed, std::size_t merges = 400);

}  // namespace garnethook::fake_engine
