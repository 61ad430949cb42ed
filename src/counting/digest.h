// Digests that identify texts and their prefixes. Clients can neither predict them nor construct collisions:
// SipHash-2-4 with 128 bits (Aumasson and Bernstein, 2012) under a random key drawn at process start. Uses
// OpenSSL.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace garnethook::counting {

struct Digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  friend bool operator==(const Digest&, const Digest&) = default;
};

class DigestKey {
 public:
  DigestKey();  // draws a random key; throws std::runtime_error on failure
  const std::array<std::uint8_t, 16>& bytes() const { return bytes_; }

 private:
  std::array<std::uint8_t, 16> bytes_{};
};

// Computes digests. Not thread-safe.
class Digester {
 public:
  explicit Digester(const DigestKey& key);
  ~Digester();
  Digester(Digester&&) noexcept;
  Digester& operator=(Digester&&) noexcept;
  // Digest of `bytes` appended to the data that `previous` identifies. `kind` separates the uses of a digest.
  Digest of(const Digest& previous, char kind, std::string_view bytes);

 private:
  struct MacState;
  std::unique_ptr<MacState> state_;
};

// Digests of a text's prefixes. Each block of kBlockBytes bytes is hashed once for the chain of blocks.
class PrefixDigests {
 public:
  static constexpr std::size_t kBlockBytes = 4096;
  // `identity`: digest of tokeniser, version and options, which separates their prefixes. The text must
  // outlive this object.
  PrefixDigests(Digester& digester, const Digest& identity, std::string_view text);
  // Digest of text[0, bytes) as a prefix of any text.
  Digest at(std::size_t bytes);
  // Digest of the whole text; differs from that of an equal prefix.
  Digest whole();

 private:
  const Digest& blockChain(std::size_t blocks);
  Digester& digester_;
  std::string_view text_;
  std::vector<Digest> blockChain_;  // digests of the first 0, 1, 2... blocks
};

}  // namespace garnethook::counting
