#include "http2/hpack.h"

#include <algorithm>
#include <array>
#include <utility>

namespace garnethook::http2 {
namespace {

constexpr std::size_t kEntryOverheadBytes = 32;  // RFC 7541 section 4.1
constexpr std::size_t kStaticEntries = 61;

using StaticEntry = std::pair<std::string_view, std::string_view>;
constexpr std::array<StaticEntry, kStaticEntries> kStaticTable{{
    {":authority", ""},
    {":method", "GET"},
    {":method", "POST"},
    {":path", "/"},
    {":path", "/index.html"},
    {":scheme", "http"},
    {":scheme", "https"},
    {":status", "200"},
    {":status", "204"},
    {":status", "206"},
    {":status", "304"},
    {":status", "400"},
    {":status", "404"},
    {":status", "500"},
    {"accept-charset", ""},
    {"accept-encoding", "gzip, deflate"},
    {"accept-language", ""},
    {"accept-ranges", ""},
    {"accept", ""},
    {"access-control-allow-origin", ""},
    {"age", ""},
    {"allow", ""},
    {"authorization", ""},
    {"cache-control", ""},
    {"content-disposition", ""},
    {"content-encoding", ""},
    {"content-language", ""},
    {"content-length", ""},
    {"content-location", ""},
    {"content-range", ""},
    {"content-type", ""},
    {"cookie", ""},
    {"date", ""},
    {"etag", ""},
    {"expect", ""},
    {"expires", ""},
    {"from", ""},
    {"host", ""},
    {"if-match", ""},
    {"if-modified-since", ""},
    {"if-none-match", ""},
    {"if-range", ""},
    {"if-unmodified-since", ""},
    {"last-modified", ""},
    {"link", ""},
    {"location", ""},
    {"max-forwards", ""},
    {"proxy-authenticate", ""},
    {"proxy-authorization", ""},
    {"range", ""},
    {"referer", ""},
    {"refresh", ""},
    {"retry-after", ""},
    {"server", ""},
    {"set-cookie", ""},
    {"strict-transport-security", ""},
    {"transfer-encoding", ""},
    {"user-agent", ""},
    {"vary", ""},
    {"via", ""},
    {"www-authenticate", ""},
}};

std::size_t entryBytes(std::string_view name, std::string_view value) {
  return name.size() + value.size() + kEntryOverheadBytes;
}

// RFC 7541 section 5.1.
void encodeInteger(std::uint8_t pattern, unsigned prefixBits, std::size_t value, std::string& output) {
  const std::size_t maxPrefixValue = (std::size_t{1} << prefixBits) - 1;
  if (value < maxPrefixValue) {
    output.push_back(static_cast<char>(pattern | value));
    return;
  }
  output.push_back(static_cast<char>(pattern | maxPrefixValue));
  for (value -= maxPrefixValue; value >= 128; value >>= 7)
    output.push_back(static_cast<char>((value & 127U) | 128U));
  output.push_back(static_cast<char>(value));
}

void encodeString(std::string_view text, std::string& output) {
  const std::size_t encodedBytes = huffmanLength(text);
  if (encodedBytes < text.size()) {
    encodeInteger(0x80, 7, encodedBytes, output);
    huffmanEncode(text, output);
  } else {
    encodeInteger(0, 7, text.size(), output);
    output.append(text);
  }
}

class BlockReader {
 public:
  BlockReader(std::span<const std::uint8_t> input, std::size_t maxStringBytes)
      : input_(input), maxStringBytes_(maxStringBytes) {}
  bool isAtEnd() const { return offset_ == input_.size(); }
  std::uint8_t peek() const { return input_[offset_]; }

  HpackError readInteger(unsigned prefixBits, std::size_t& value) {
    const std::size_t maxPrefixValue = (std::size_t{1} << prefixBits) - 1;
    value = input_[offset_++] & maxPrefixValue;
    if (value < maxPrefixValue) return HpackError::none;
    for (unsigned shift = 0;; shift += 7) {
      if (isAtEnd()) return HpackError::truncated;
      if (shift > 21) return HpackError::integer;  // all limits are far below 2^28
      const std::uint8_t byte = input_[offset_++];
      value += static_cast<std::size_t>(byte & 127U) << shift;
      if ((byte & 128U) == 0) return HpackError::none;
    }
  }

  HpackError readString(std::string& output) {
    if (isAtEnd()) return HpackError::truncated;
    const bool isHuffman = (peek() & 0x80U) != 0;
    std::size_t length = 0;
    if (const auto error = readInteger(7, length); error != HpackError::none) return error;
    if (length > input_.size() - offset_) return HpackError::truncated;
    const auto encoded = input_.subspan(offset_, length);
    offset_ += length;
    if (!isHuffman) {
      output.assign(encoded.begin(), encoded.end());
      return HpackError::none;
    }
    // A Huffman-coded string expands to at most 8/5 of its encoded size; the connection bounds the block.
    return huffmanDecode(encoded, output, maxStringBytes_) ? HpackError::none : HpackError::huffman;
  }

 private:
  std::span<const std::uint8_t> input_;
  std::size_t offset_ = 0;
  std::size_t maxStringBytes_;
};

}  // namespace

std::optional<std::string_view> find(const Headers& headers, std::string_view name) {
  for (const Header& field : headers)
    if (field.name == name) return field.value;
  return std::nullopt;
}

void DynamicTable::setCapacity(std::size_t capacity) {
  capacity_ = capacity;
  evict(capacity_);
}

void DynamicTable::evict(std::size_t targetBytes) {
  while (size_ > targetBytes) {
    size_ -= entryBytes(entries_.back().name, entries_.back().value);
    entries_.pop_back();
  }
}

void DynamicTable::add(Header header) {
  const std::size_t size = entryBytes(header.name, header.value);
  if (size > capacity_) return evict(0);  // RFC 7541 section 4.4: clears the table without an error
  evict(capacity_ - size);
  size_ += size;
  entries_.push_front(std::move(header));
}

HpackError HpackDecoder::decode(std::span<const std::uint8_t> block, Headers& output) {
  BlockReader reader(block, block.size() * 2);
  std::size_t decodedBytes = 0;
  std::size_t fieldCount = 0;
  bool isTooLarge = false;
  bool hasSeenField = false;
  while (!reader.isAtEnd()) {
    const std::uint8_t firstByte = reader.peek();
    std::size_t index = 0;
    if ((firstByte & 0xe0U) == 0x20) {  // table size update: only at the start of a block (section 4.2)
      if (hasSeenField) return HpackError::tableSize;
      if (const auto error = reader.readInteger(5, index); error != HpackError::none) return error;
      if (index > limits_.tableBytes) return HpackError::tableSize;
      table_.setCapacity(index);
      continue;
    }
    hasSeenField = true;
    const bool isIndexed = (firstByte & 0x80U) != 0;
    const bool isStored = !isIndexed && (firstByte & 0x40U) != 0;
    if (const auto error = reader.readInteger(isIndexed  ? 7
                                              : isStored ? 6
                                                         : 4,
                                              index);
        error != HpackError::none)
      return error;
    Header field;
    if (index > 0 && index <= kStaticEntries) {
      field.name = kStaticTable[index - 1].first;
      field.value = kStaticTable[index - 1].second;
    } else if (index > kStaticEntries) {
      const Header* entry = table_.at(index - kStaticEntries - 1);
      if (entry == nullptr) return HpackError::index;
      field = *entry;
    } else if (isIndexed) {
      return HpackError::index;
    }
    if (!isIndexed) {
      if (index == 0)
        if (const auto error = reader.readString(field.name); error != HpackError::none) return error;
      field.value.clear();
      if (const auto error = reader.readString(field.value); error != HpackError::none) return error;
      if (isStored) table_.add(field);
    }
    decodedBytes += entryBytes(field.name, field.value);
    if (decodedBytes > limits_.listBytes || ++fieldCount > limits_.maxFields)
      isTooLarge = true;
    else
      output.push_back(std::move(field));
  }
  return isTooLarge ? HpackError::listTooLarge : HpackError::none;
}

void HpackEncoder::setPeerTableSize(std::size_t bytes) {
  const std::size_t newCapacity = std::min<std::size_t>(bytes, 4096);
  if (newCapacity == table_.capacity()) return;
  table_.setCapacity(newCapacity);
  needsSizeUpdate_ = true;
}

void HpackEncoder::encode(const Headers& headers, std::string& output) {
  if (std::exchange(needsSizeUpdate_, false)) encodeInteger(0x20, 5, table_.capacity(), output);
  for (const Header& field : headers) {
    std::size_t nameIndex = 0;
    std::size_t exactIndex = 0;
    for (std::size_t position = 0; position < kStaticEntries && exactIndex == 0; ++position) {
      if (kStaticTable[position].first != field.name) continue;
      if (nameIndex == 0) nameIndex = position + 1;
      if (kStaticTable[position].second == field.value) exactIndex = position + 1;
    }
    for (std::size_t position = 0; position < table_.count() && exactIndex == 0; ++position) {
      if (table_.at(position)->name != field.name) continue;
      if (nameIndex == 0) nameIndex = kStaticEntries + 1 + position;
      if (table_.at(position)->value == field.value) exactIndex = kStaticEntries + 1 + position;
    }
    if (exactIndex > 0) {
      encodeInteger(0x80, 7, exactIndex, output);
      continue;
    }
    const bool isSensitive = field.name == "authorization" || field.name == "cookie";
    // Indexing values that rarely recur would evict entries that do recur.
    const bool isUnindexed = field.value.size() > 64 || field.name == "grpc-message" || field.name == ":path";
    if (isSensitive)
      encodeInteger(0x10, 4, nameIndex, output);
    else if (isUnindexed)
      encodeInteger(0x00, 4, nameIndex, output);
    else
      encodeInteger(0x40, 6, nameIndex, output);
    if (nameIndex == 0) encodeString(field.name, output);
    encodeString(field.value, output);
    if (!isSensitive && !isUnindexed) table_.add(field);
  }
}

}  // namespace garnethook::http2
