// garnethook-sentencepiece MODEL: encodes texts with the SentencePiece library, serving requests over
// standard input and output.
//
// Runs as a separate process because the library bundles a protobuf whose symbols conflict with those of the
// system's protobuf, which the router uses, and so that a text or model that crashes it does not crash the
// router. Messages use host byte order. Request: a uint32 length and the text. Response: a uint32 count and
// that many uint32 ids, or 0xffffffff, a uint32 length and an error text. The first message, sent without a
// request, reports the number of tokens in the model as a count of 1 followed by that number.
#include <sentencepiece_processor.h>

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

namespace {

bool writeBytes(const void* data, std::size_t size) { return std::fwrite(data, 1, size, stdout) == size; }
bool writeNumber(std::uint32_t value) { return writeBytes(&value, sizeof value); }
bool writeError(const std::string& text) {
  return writeNumber(0xffffffff) && writeNumber(static_cast<std::uint32_t>(text.size())) &&
         writeBytes(text.data(), text.size()) && std::fflush(stdout) == 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  sentencepiece::SentencePieceProcessor processor;
  if (const auto status = processor.Load(argv[1]); !status.ok()) {
    writeError(status.ToString());
    return 1;
  }
  if (!writeNumber(1) || !writeNumber(static_cast<std::uint32_t>(processor.GetPieceSize())) ||
      std::fflush(stdout) != 0)
    return 1;
  std::string text;
  std::vector<int> ids;
  for (;;) {
    std::uint32_t length = 0;
    if (std::fread(&length, sizeof length, 1, stdin) != 1) return 0;
    if (length > (64U << 20)) return 1;
    text.resize(length);
    if (length > 0 && std::fread(text.data(), 1, length, stdin) != length) return 1;
    ids.clear();
    const auto status = processor.Encode(text, &ids);
    if (!status.ok()) {
      if (!writeError(status.ToString())) return 1;
      continue;
    }
    if (!writeNumber(static_cast<std::uint32_t>(ids.size())) ||
        !writeBytes(ids.data(), ids.size() * sizeof(int)) || std::fflush(stdout) != 0)
      return 1;
  }
}
