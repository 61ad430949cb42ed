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

bool endsWith(const std::string& text, std::string_view end) { return std::string_view(text).ends_with(end); }

tokeniser::FileOptions fileOptions(const TokensOptions& options) {
  tokeniser::FileOptions out;
  const std::string format = !options.format.empty()                     ? options.format
                             : endsWith(options.vocabulary, ".tiktoken") ? "ranks"
                             : endsWith(options.vocabulary, ".model")    ? "sentencepiece"
                                                                         : "huggingface";
  out.format = format == "ranks"           ? tokeniser::Format::ranks
               : format == "sentencepiece" ? tokeniser::Format::sentencePiece
                                           : tokeniser::Format::huggingFace;
  out.pattern = options.pattern;
  for (const auto& text : options.specialTokens) {
    const std::size_t at = text.rfind('=');
    tokeniser::TokenId id = 0;
    if (at == std::string::npos ||
        std::from_chars(text.data() + at + 1, text.data() + text.size(), id).ptr != text.data() + text.size())
      throw tokeniser::FileError("--special-token " + text + ": is not TEXT=ID");
    out.specialTokens.emplace_back(text.substr(0, at), id);
  }
  return out;
}

std::string readAll(const std::string& path) {
  if (path == "-") return {std::istreambuf_iterator<char>(std::cin), {}};
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error(path + ": can't be read");
  return {std::istreambuf_iterator<char>(in), {}};
}

double seconds(std::chrono::steady_clock::time_point from) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
}

void printIds(const std::vector<tokeniser::TokenId>& ids) {
  std::string out = "[";
  for (const auto id : ids) out += (out.size() > 1 ? "," : "") + std::to_string(id);
  std::cout << out << "]\n";
}

}  // namespace

int tokens(const TokensOptions& options) {
  try {
    auto start = std::chrono::steady_clock::now();
    const auto tokeniser = tokeniser::loadFile(options.vocabulary, fileOptions(options));
    const double loading = seconds(start);
    const std::string text = readAll(options.file);
    const tokeniser::TextOptions how{options.special, options.frame};
    tokeniser::Workspace workspace;
    std::vector<std::string> texts;
    if (options.lines) {
      std::size_t number = 0;
      for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find('\n', at), text.size());
        ++number;
        const auto line =
            nlohmann::json::parse(text.begin() + static_cast<std::ptrdiff_t>(at),
                                  text.begin() + static_cast<std::ptrdiff_t>(end), nullptr, false);
        if (!line.is_string())
          throw std::runtime_error(options.file + ":" + std::to_string(number) + ": is no JSON string");
        texts.push_back(line.get<std::string>());
        at = end + 1;
      }
    } else {
      texts.push_back(text);
    }
    std::size_t bytes = 0;
    std::size_t count = 0;
    start = std::chrono::steady_clock::now();
    std::vector<std::vector<tokeniser::TokenId>> found;
    for (int i = 0; i < options.repeat; ++i) {
      for (const auto& t : texts) {
        auto ids = tokeniser::encode(*tokeniser, t, how, workspace);
        bytes += t.size();
        count += ids.size();
        if (i == 0 && (options.ids || options.lines)) found.push_back(std::move(ids));
      }
    }
    const double took = seconds(start);
    for (const auto& ids : found)
      if (options.ids)
        printIds(ids);
      else
        std::cout << ids.size() << '\n';
    if (!options.ids && !options.lines) std::cout << count / static_cast<std::size_t>(options.repeat) << '\n';
    std::cerr << tokeniser->describe() << "; " << count << " tokens of " << bytes << " octets in "
              << took * 1000 << " ms (" << static_cast<double>(bytes) / 1e6 / std::max(took, 1e-9)
              << " MB/s); loaded in " << loading * 1000 << " ms, about " << tokeniser->memory() / 1'000'000
              << " MB\n";
    return 0;
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
}

}  // namespace garnethook::app
