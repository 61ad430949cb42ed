// HPACK header compression (RFC 7541): integers, Huffman strings, static and dynamic tables.
// Performs no I/O. The HpackLimits given to the decoder bound every size that a peer can influence.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace garnethook::http2 {

struct Header {
  std::string name;
  std::string value;
  friend bool operator==(const Header&, const Header&) = default;
};
using Headers = std::vector<Header>;

// Returns the first value of a header, or nullopt. Names are compared byte for byte (RFC 9113 section 8.2:
// lower case).
std::optional<std::string_view> find(const Headers& headers, std::string_view name);

// Appends the Huffman encoding of `text` (RFC 7541 section 5.2, appendix B) to `output`.
void huffmanEncode(std::string_view text, std::string& output);
// Returns the size of the Huffman encoding of `text` in bytes.
std::size_t huffmanLength(std::string_view text);
// Appends the decoded text to `output`. Returns false if the input contains EOS, has padding that is longer
// than 7 bits or not all ones, or decodes to more than `maxBytes`.
bool huffmanDecode(std::span<const std::uint8_t> input, std::string& output, std::size_t maxBytes);

// The dynamic table (RFC 7541 section 2.3.2). The newest entry comes first; entries are evicted from the end.
// Sizes are in bytes as defined in section 4.1 (name + value + 32).
class DynamicTable {
 public:
  explicit DynamicTable(std::size_t capacity) : capacity_(capacity) {}
  void setCapacity(std::size_t capacity);
  std::size_t capacity() const { return capacity_; }
  std::size_t size() const { return size_; }
  std::size_t count() const { return entries_.size(); }
  const Header* at(std::size_t index) const { return index < entries_.size() ? &entries_[index] : nullptr; }
  void add(Header header);

 private:
  void evict(std::size_t targetBytes);
  std::deque<Header> entries_;
  std::size_t size_ = 0;
  std::size_t capacity_;
};

struct HpackLimits {
  std::size_t tableBytes = 4096;      // advertised SETTINGS_HEADER_TABLE_SIZE
  std::size_t listBytes = 32 * 1024;  // sum of name + value + 32 of one block (RFC 9113 section 6.5.2)
  std::size_t maxFields = 128;        // fields in one block
};

enum class HpackError { none, truncated, integer, index, huffman, tableSize, listTooLarge };

class HpackDecoder {
 public:
  explicit HpackDecoder(HpackLimits limits) : limits_(limits), table_(limits.tableBytes) {}
  // Decodes one complete header block (HEADERS joined with its CONTINUATIONs) and appends its fields to
  // `output`. On listTooLarge the dynamic table stays synchronized with the peer's, because the block is
  // decoded to its end and only the fields beyond the limit are dropped; the caller can reject the stream
  // alone. All other errors end the connection (COMPRESSION_ERROR, RFC 9113 section 4.3).
  HpackError decode(std::span<const std::uint8_t> block, Headers& output);
  const DynamicTable& table() const { return table_; }

 private:
  HpackLimits limits_;
  DynamicTable table_;
};

class HpackEncoder {
 public:
  // Applies the peer's SETTINGS_HEADER_TABLE_SIZE; at most 4096 bytes are used.
  void setPeerTableSize(std::size_t bytes);
  // Appends one header block to `output`. Names must be in lower case. Sensitive headers (authorization,
  // cookie) are encoded as never indexed (RFC 7541 section 7.1.3).
  void encode(const Headers& headers, std::string& output);

 private:
  DynamicTable table_{4096};
  bool needsSizeUpdate_ = false;
};

}  // namespace garnethook::http2
