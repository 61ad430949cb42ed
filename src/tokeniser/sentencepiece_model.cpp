// SentencePiece models (".model"), encoded by the library itself: unigram and its BPE. No seam of such a text
// is certain before the whole is seen, so it is encoded at once.
#include <sentencepiece_processor.h>

#include "tokeniser/tokeniser.h"

namespace garnethook::tokeniser {
namespace {

class SentencePiece final : public Tokeniser {
 public:
  SentencePiece(const std::string& name, std::string_view octets, const FileOptions& options)
      : before_(options.before), behind_(options.behind) {
    if (!options.specialTokens.empty())
      throw FileError(name + ": special_tokens: a SentencePiece model has its own");
    const auto status = processor_.LoadFromSerializedProto(absl::string_view(octets.data(), octets.size()));
    if (!status.ok()) throw FileError(name + ": no SentencePiece model: " + status.ToString());
    octets_ = octets.size();
  }

  std::optional<std::string> normalised(std::string_view, const TextOptions&) const override {
    return std::nullopt;
  }
  Mark advance(std::string_view text, Mark from, std::size_t limit, const TextOptions&, Workspace&,
               std::vector<TokenId>* ids) const override {
    if (limit < text.size() || from.at >= text.size()) return from;
    std::vector<int> out;
    const auto status = processor_.Encode(absl::string_view(text.data(), text.size()), &out);
    if (!status.ok()) throw std::runtime_error("SentencePiece: " + status.ToString());
    if (ids != nullptr)
      for (const int id : out) ids->push_back(static_cast<TokenId>(id));
    return {text.size(), out.size()};
  }
  std::span<const TokenId> before() const override { return before_; }
  std::span<const TokenId> behind() const override { return behind_; }
  std::string octets(TokenId id) const override {
    if (id >= static_cast<TokenId>(processor_.GetPieceSize())) return {};
    return processor_.IdToPiece(static_cast<int>(id));
  }
  bool inParts() const override { return false; }
  std::size_t memory() const override {
    return octets_ * 4;
  }  // the library does not tell; measured about this
  std::string describe() const override {
    return "SentencePiece, " + std::to_string(processor_.GetPieceSize()) + " tokens";
  }

 private:
  sentencepiece::SentencePieceProcessor processor_;
  std::vector<TokenId> before_;
  std::vector<TokenId> behind_;
  std::size_t octets_ = 0;
};

}  // namespace

std::shared_ptr<const Tokeniser> readSentencePiece(const std::string& name, std::string_view octets,
                                                   const FileOptions& options) {
  return std::make_shared<SentencePiece>(name, octets, options);
}

}  // namespace garnethook::tokeniser
