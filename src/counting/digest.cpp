#include "counting/digest.h"

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <cstring>
#include <stdexcept>

namespace garnethook::counting {

DigestKey::DigestKey() {
  if (RAND_bytes(bytes_.data(), static_cast<int>(bytes_.size())) != 1)
    throw std::runtime_error("OpenSSL could not generate random bytes for the digest key");
}

struct Digester::MacState {
  EVP_MAC* mac = EVP_MAC_fetch(nullptr, "SIPHASH", nullptr);
  EVP_MAC_CTX* context = mac == nullptr ? nullptr : EVP_MAC_CTX_new(mac);
  std::array<std::uint8_t, 16> key{};
  ~MacState() {
    EVP_MAC_CTX_free(context);
    EVP_MAC_free(mac);
  }
};

Digester::Digester(const DigestKey& key) : state_(std::make_unique<MacState>()) {
  if (state_->context == nullptr) throw std::runtime_error("OpenSSL does not provide SipHash");
  state_->key = key.bytes();
  unsigned size = 16;
  const OSSL_PARAM parameters[] = {OSSL_PARAM_construct_uint(OSSL_MAC_PARAM_SIZE, &size),
                                   OSSL_PARAM_construct_end()};
  if (EVP_MAC_CTX_set_params(state_->context, parameters) != 1)
    throw std::runtime_error("OpenSSL rejected the SipHash output size of 128 bits");
}

Digester::~Digester() = default;
Digester::Digester(Digester&&) noexcept = default;
Digester& Digester::operator=(Digester&&) noexcept = default;

Digest Digester::of(const Digest& previous, char kind, std::string_view bytes) {
  std::array<std::uint8_t, 17> header{};
  std::memcpy(header.data(), &previous.high, 8);
  std::memcpy(header.data() + 8, &previous.low, 8);
  header[16] = static_cast<std::uint8_t>(kind);
  std::array<std::uint8_t, 16> output{};
  std::size_t length = 0;
  const bool done = EVP_MAC_init(state_->context, state_->key.data(), state_->key.size(), nullptr) == 1 &&
                    EVP_MAC_update(state_->context, header.data(), header.size()) == 1 &&
                    EVP_MAC_update(state_->context, reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                   bytes.size()) == 1 &&
                    EVP_MAC_final(state_->context, output.data(), &length, output.size()) == 1 &&
                    length == output.size();
  if (!done) throw std::runtime_error("OpenSSL failed to compute a SipHash digest");
  Digest result;
  std::memcpy(&result.high, output.data(), 8);
  std::memcpy(&result.low, output.data() + 8, 8);
  return result;
}

PrefixDigests::PrefixDigests(Digester& digester, const Digest& identity, std::string_view text)
    : digester_(digester), text_(text), blockChain_{identity} {}

const Digest& PrefixDigests::blockChain(std::size_t blocks) {
  while (blockChain_.size() <= blocks)
    blockChain_.push_back(digester_.of(blockChain_.back(), 'b',
                                       text_.substr((blockChain_.size() - 1) * kBlockBytes, kBlockBytes)));
  return blockChain_[blocks];
}

Digest PrefixDigests::at(std::size_t bytes) {
  const std::size_t blocks = bytes / kBlockBytes;
  return digester_.of(blockChain(blocks), 'p',
                      text_.substr(blocks * kBlockBytes, bytes - blocks * kBlockBytes));
}

Digest PrefixDigests::whole() {
  const std::size_t blocks = text_.size() / kBlockBytes;
  return digester_.of(blockChain(blocks), 'w', text_.substr(blocks * kBlockBytes));
}

}  // namespace garnethook::counting
