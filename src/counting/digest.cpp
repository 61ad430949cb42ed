#include "counting/digest.h"

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <cstring>
#include <stdexcept>

namespace garnethook::counting {

DigestKey::DigestKey() {
  if (RAND_bytes(bytes_.data(), static_cast<int>(bytes_.size())) != 1)
    throw std::runtime_error("the system gives no random octets");
}

struct Digester::Parts {
  EVP_MAC* mac = EVP_MAC_fetch(nullptr, "SIPHASH", nullptr);
  EVP_MAC_CTX* context = mac == nullptr ? nullptr : EVP_MAC_CTX_new(mac);
  std::array<std::uint8_t, 16> key{};
  ~Parts() {
    EVP_MAC_CTX_free(context);
    EVP_MAC_free(mac);
  }
};

Digester::Digester(const DigestKey& key) : parts_(std::make_unique<Parts>()) {
  if (parts_->context == nullptr) throw std::runtime_error("OpenSSL has no SipHash");
  parts_->key = key.bytes();
  unsigned size = 16;
  const OSSL_PARAM parameters[] = {OSSL_PARAM_construct_uint(OSSL_MAC_PARAM_SIZE, &size),
                                   OSSL_PARAM_construct_end()};
  if (EVP_MAC_CTX_set_params(parts_->context, parameters) != 1)
    throw std::runtime_error("OpenSSL: SipHash of 128 bits");
}

Digester::~Digester() = default;
Digester::Digester(Digester&&) noexcept = default;
Digester& Digester::operator=(Digester&&) noexcept = default;

Digest Digester::of(const Digest& before, char kind, std::string_view bytes) {
  std::array<std::uint8_t, 17> head{};
  std::memcpy(head.data(), &before.high, 8);
  std::memcpy(head.data() + 8, &before.low, 8);
  head[16] = static_cast<std::uint8_t>(kind);
  std::array<std::uint8_t, 16> out{};
  std::size_t length = 0;
  const bool done = EVP_MAC_init(parts_->context, parts_->key.data(), parts_->key.size(), nullptr) == 1 &&
                    EVP_MAC_update(parts_->context, head.data(), head.size()) == 1 &&
                    EVP_MAC_update(parts_->context, reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                   bytes.size()) == 1 &&
                    EVP_MAC_final(parts_->context, out.data(), &length, out.size()) == 1 &&
                    length == out.size();
  if (!done) throw std::runtime_error("OpenSSL: SipHash failed");
  Digest d;
  std::memcpy(&d.high, out.data(), 8);
  std::memcpy(&d.low, out.data() + 8, 8);
  return d;
}

Beginnings::Beginnings(Digester& digester, const Digest& identity, std::string_view text)
    : digester_(digester), text_(text), chain_{identity} {}

const Digest& Beginnings::chain(std::size_t blocks) {
  while (chain_.size() <= blocks)
    chain_.push_back(digester_.of(chain_.back(), 'b', text_.substr((chain_.size() - 1) * kBlock, kBlock)));
  return chain_[blocks];
}

Digest Beginnings::at(std::size_t bytes) {
  const std::size_t blocks = bytes / kBlock;
  return digester_.of(chain(blocks), 'p', text_.substr(blocks * kBlock, bytes - blocks * kBlock));
}

Digest Beginnings::whole() {
  const std::size_t blocks = text_.size() / kBlock;
  return digester_.of(chain(blocks), 'w', text_.substr(blocks * kBlock));
}

}  // namespace garnethook::counting
