// HPACK header compression (RFC 7541): integers, Huffman strings, static and dynamic tables.
// Free of I/O. Every size a peer may influence is bounded by the Limits given to the decoder.
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

// The first value of a header, or none. Names are compared byte for byte (RFC 9113 section 8.2: lower case).
std::optional<std::string_view> find(const Headers& headers, std::string_view name);

// Appends the Huffman form of `text` (RFC 7541 section 5.2, appendix B) to `out`.
void huffmanEncode(std::string_view text, std::string& out);
// Bytes that the Huffman form of `text` takes.
std::size_t huffmanLength(std::string_view text);
// Appends the decoded text to `out`. False: EOS inside, padding longer than 7 bits or not of ones, or more
// than `most` bytes decoded.
bool huffmanDecode(std::span<const std::uint8_t> in, std::string& out, std::size_t most);

// The dynamic table (RFC 7541 section 2.3.2): newest first, evicted from the end; sizes in bytes as in
// section 4.1 (name + value + 32).
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
  void evict(std::size_t until);
  std::deque<Header> entries_;
  std::size_t size_ = 0;
  std::size_t capacity_;
};

struct HpackLimits {
  std::size_t tableBytes = 4096;      // SETTINGS_HEADER_TABLE_SIZE that was announced
  std::size_t listBytes = 32 * 1024;  // sum of name + value + 32 of one block (RFC 9113 section 6.5.2)
  std::size_t headers = 128;          // fields in one block
};

enum class HpackError { none, truncated, integer, index, huffman, tableSize, listTooLarge };

class HpackDecoder {
 public:
  explicit HpackDecoder(HpackLimits limits) : limits_(limits), table_(limits.tableBytes) {}
  // Decodes one whole header block (HEADERS and its CONTINUATIONs joined) and appends its fields.
  // listTooLarge leaves the table in step with the peer's (the block is decoded to its end, the fields
  // beyond the bound are dropped), so the stream can be refused alone; other errors end the connection
  // (COMPRESSION_ERROR, RFC 9113 section 4.3).
  HpackError decode(std::span<const std::uint8_t> block, Headers& out);
  const DynamicTable& table() const { return table_; }

 private:
  HpackLimits limits_;
  DynamicTable table_;
};

class HpackEncoder {
 public:
  // The peer's SETTINGS_HEADER_TABLE_SIZE; never more than 4096 bytes are used.
  void setPeerTableSize(std::size_t bytes);
  // Appends one header block. Names must be in lower case. `secret` headers (authorization, cookie) are sent
  // as never indexed (RFC 7541 section 7.1.3).
  void encode(const Headers& headers, std::string& out);

 private:
  DynamicTable table_{4096};
  bool resized_ = false;
};

}  // namespace garnethook::http2
