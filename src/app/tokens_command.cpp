#include "app/tokens_command.h"

#include <charconv>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "tokeniser/tokeniser.h"

namespace garnethook::app {
namespace {

bool hasSuffix(const std::string& text, std::string_view suffix) {
  return std::string_view(text).ends_with(suffix);
}

tokeniser::FileOptions fileOptions(const TokensOptions& options) {
  tokeniser::FileOptions result;
  const std::string format = !options.format.empty()                      ? options.format
                             : hasSuffix(options.vocabulary, ".tiktoken") ? "ranks"
                             : hasSuffix(options.vocabulary, ".model")    ? "sentencepiece"
                                                                          : "huggingface";
  result.format = format == "ranks"           ? tokeniser::Format::ranks
                  : format == "sentencepiece" ? tokeniser::Format::sentencePiece
                                              : tokeniser::Format::huggingFace;
  result.pattern = options.pattern;
  for (const auto& text : options.specialTokens) {
    const std::size_t separator = text.rfind('=');
    tokeniser::TokenId id = 0;
    if (separator == std::string::npos ||
        std::from_chars(text.data() + separator + 1, text.data() + text.size(), id).ptr !=
            text.data() + text.size())
      throw tokeniser::FileError("--special-token " + text + ": must have the form TEXT=ID");
    result.specialTokens.emplace_back(text.substr(0, separator), id);
  }
  return result;
}

std::string readAll(const std::string& path) {
  if (path == "-") return {std::istreambuf_iterator<char>(std::cin), {}};
  std::ifstream input(path, std::ios::binary);
  if (!input) throw std::runtime_error(path + ": cannot be read");
  return {std::istreambuf_iterator<char>(input), {}};
}

double secondsSince(std::chrono::steady_clock::time_point from) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
}

void printIds(const std::vector<tokeniser::TokenId>& ids) {
  std::string jsonArray = "[";
  for (const auto id : ids) jsonArray += (jsonArray.size() > 1 ? "," : "") + std::to_string(id);
  std::cout << jsonArray << "]\n";
}

}  // namespace

int tokens(const TokensOptions& options) {
  try {
    auto startTime = std::chrono::steady_clock::now();
    const auto tokeniser = tokeniser::loadFile(options.vocabulary, fileOptions(options));
    const double loadSeconds = secondsSince(startTime);
    const std::string text = readAll(options.file);
    const tokeniser::TextOptions textOptions{options.special, options.frame};
    tokeniser::Workspace workspace;
    std::vector<std::string> texts;
    if (options.lines) {
      std::size_t number = 0;
      for (std::size_t lineStart = 0; lineStart < text.size();) {
        const std::size_t lineEnd = std::min(text.find('\n', lineStart), text.size());
        ++number;
        const auto line =
            nlohmann::json::parse(text.begin() + static_cast<std::ptrdiff_t>(lineStart),
                                  text.begin() + static_cast<std::ptrdiff_t>(lineEnd), nullptr, false);
        if (!line.is_string())
          throw std::runtime_error(options.file + ":" + std::to_string(number) + ": is not a JSON string");
        texts.push_back(line.get<std::string>());
        lineStart = lineEnd + 1;
      }
    } else {
      texts.push_back(text);
    }
    std::size_t bytes = 0;
    std::size_t count = 0;
    startTime = std::chrono::steady_clock::now();
    std::vector<std::vector<tokeniser::TokenId>> encodedTexts;
    for (int round = 0; round < options.repeat; ++round) {
      for (const auto& inputText : texts) {
        auto ids = tokeniser::encode(*tokeniser, inputText, textOptions, workspace);
        bytes += inputText.size();
        count += ids.size();
        if (round == 0 && (options.ids || options.lines)) encodedTexts.push_back(std::move(ids));
      }
    }
    const double encodeSeconds = secondsSince(startTime);
    for (const auto& ids : encodedTexts)
      if (options.ids)
        printIds(ids);
      else
        std::cout << ids.size() << '\n';
    if (!options.ids && !options.lines) std::cout << count / static_cast<std::size_t>(options.repeat) << '\n';
    std::cerr << tokeniser->describe() << "; " << count << " tokens of " << bytes << " bytes in "
              << encodeSeconds * 1000 << " ms ("
              << static_cast<double>(bytes) / 1e6 / std::max(encodeSeconds, 1e-9) << " MB/s); loaded in "
              << loadSeconds * 1000 << " ms, about " << tokeniser->memory() / 1'000'000 << " MB\n";
    return 0;
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
}

}  // namespace garnethook::app
