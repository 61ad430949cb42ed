// Names of texts and their beginnings, which nobody outside can foresee or bring to collide: SipHash-2-4 of
// 128 bits (Aumasson and Bernstein, 2012) under a key drawn when the process starts, by OpenSSL.
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
  DigestKey();  // drawn by the system. Throws std::runtime_error where it can't
  const std::array<std::uint8_t, 16>& bytes() const { return bytes_; }

 private:
  std::array<std::uint8_t, 16> bytes_{};
};

// Of one thread at a time.
class Digester {
 public:
  explicit Digester(const DigestKey& key);
  ~Digester();
  Digester(Digester&&) noexcept;
  Digester& operator=(Digester&&) noexcept;
  // The digest of `bytes` behind what `before` names. `kind` keeps uses apart.
  Digest of(const Digest& before, char kind, std::string_view bytes);

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

// The digests of a text's beginnings. Each block of kBlock bytes is read once.
class Beginnings {
 public:
  static constexpr std::size_t kBlock = 4096;
  // `identity`: of tokeniser, version and options; other identities give other digests. The text must outlive
  // this.
  Beginnings(Digester& digester, const Digest& identity, std::string_view text);
  // Of text[0, bytes), as a beginning of any text.
  Digest at(std::size_t bytes);
  // Of the text as a whole.
  Digest whole();

 private:
  const Digest& chain(std::size_t blocks);
  Digester& digester_;
  std::string_view text_;
  std::vector<Digest> chain_;  // of 0, 1, 2... blocks
};

}  // namespace garnethook::counting
