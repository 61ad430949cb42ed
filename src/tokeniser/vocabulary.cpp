#include "tokeniser/vocabulary.h"

#include <xxhash.h>

#include <bit>
#include <random>

namespace garnethook::tokeniser {

void Vocabulary::add(TokenId id, std::string_view bytes) {
  if (id >= kMostTokens) throw std::invalid_argument("id " + std::to_string(id) + " is too large");
  if (bytes.empty()) throw std::invalid_argument("token " + std::to_string(id) + " is empty");
  if (bytes.size() > kMaxTokenBytes)
    throw std::invalid_argument("token " + std::to_string(id) + " has more than " +
                                std::to_string(kMaxTokenBytes) + " octets");
  if (text_.size() + bytes.size() > 0x7fffffff)
    throw std::invalid_argument("the tokens have too many octets");
  if (id >= ranges_.size()) ranges_.resize(id + 1);
  if (ranges_[id].length > 0) throw std::invalid_argument("id " + std::to_string(id) + " is told twice");
  ranges_[id] = {static_cast<std::uint32_t>(text_.size()), static_cast<std::uint32_t>(bytes.size())};
  text_ += bytes;
  ++count_;
}

// The seed is random for each vocabulary, so that an attacker cannot choose texts that collide.
std::uint64_t Vocabulary::hash(std::string_view bytes) const {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed_);
}

void Vocabulary::seal() {
  std::random_device device;
  seed_ = std::uint64_t{device()} << 32 | device();
  slots_.assign(std::bit_ceil(count_ * 2 + 2), {});
  const std::size_t mask = slots_.size() - 1;
  for (TokenId id = 0; id < ranges_.size(); ++id) {
    if (ranges_[id].length == 0) continue;
    const std::uint64_t hashValue = hash(bytes(id));
    const auto fingerprint = static_cast<std::uint32_t>(hashValue >> 32);
    std::size_t i = hashValue & mask;
    for (; slots_[i].id != kNoToken; i = (i + 1) & mask)
      if (slots_[i].fingerprint == fingerprint && bytes(slots_[i].id) == bytes(id))
        throw std::invalid_argument("tokens " + std::to_string(slots_[i].id) + " and " + std::to_string(id) +
                                    " have the same octets");
    slots_[i] = {id, fingerprint};
  }
}

TokenId Vocabulary::find(std::string_view bytes) const {
  if (slots_.empty()) return kNoToken;
  const std::size_t mask = slots_.size() - 1;
  const std::uint64_t hashValue = hash(bytes);
  const auto fingerprint = static_cast<std::uint32_t>(hashValue >> 32);
  for (std::size_t i = hashValue & mask; slots_[i].id != kNoToken; i = (i + 1) & mask)
    if (slots_[i].fingerprint == fingerprint && this->bytes(slots_[i].id) == bytes) return slots_[i].id;
  return kNoToken;
}

std::size_t Vocabulary::memory() const {
  return text_.capacity() + ranges_.capacity() * sizeof(ByteRange) + slots_.capacity() * sizeof(Slot);
}

}  // namespace garnethook::tokeniser
