#include "http2/hpack.h"

#include <algorithm>
#include <array>
#include <utility>

namespace garnethook::http2 {
namespace {

constexpr std::size_t kEntryOverhead = 32;  // RFC 7541 section 4.1
constexpr std::size_t kStatic = 61;

using Pair = std::pair<std::string_view, std::string_view>;
constexpr std::array<Pair, kStatic> kStaticTable{{
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

std::size_t sizeOf(std::string_view name, std::string_view value) {
  return name.size() + value.size() + kEntryOverhead;
}

// RFC 7541 section 5.1.
void putInteger(std::uint8_t pattern, unsigned prefix, std::size_t value, std::string& out) {
  const std::size_t full = (std::size_t{1} << prefix) - 1;
  if (value < full) {
    out.push_back(static_cast<char>(pattern | value));
    return;
  }
  out.push_back(static_cast<char>(pattern | full));
  for (value -= full; value >= 128; value >>= 7) out.push_back(static_cast<char>((value & 127U) | 128U));
  out.push_back(static_cast<char>(value));
}

void putString(std::string_view text, std::string& out) {
  const std::size_t packed = huffmanLength(text);
  if (packed < text.size()) {
    putInteger(0x80, 7, packed, out);
    huffmanEncode(text, out);
  } else {
    putInteger(0, 7, text.size(), out);
    out.append(text);
  }
}

class Reader {
 public:
  Reader(std::span<const std::uint8_t> in, std::size_t longest) : in_(in), longest_(longest) {}
  bool done() const { return at_ == in_.size(); }
  std::uint8_t peek() const { return in_[at_]; }

  HpackError integer(unsigned prefix, std::size_t& value) {
    const std::size_t full = (std::size_t{1} << prefix) - 1;
    value = in_[at_++] & full;
    if (value < full) return HpackError::none;
    for (unsigned shift = 0;; shift += 7) {
      if (done()) return HpackError::truncated;
      if (shift > 21) return HpackError::integer;  // no bound here is anywhere near 2^28
      const std::uint8_t byte = in_[at_++];
      value += static_cast<std::size_t>(byte & 127U) << shift;
      if ((byte & 128U) == 0) return HpackError::none;
    }
  }

  HpackError text(std::string& out) {
    if (done()) return HpackError::truncated;
    const bool packed = (peek() & 0x80U) != 0;
    std::size_t length = 0;
    if (const auto e = integer(7, length); e != HpackError::none) return e;
    if (length > in_.size() - at_) return HpackError::truncated;
    const auto raw = in_.subspan(at_, length);
    at_ += length;
    if (!packed) {
      out.assign(raw.begin(), raw.end());
      return HpackError::none;
    }
    // A Huffman string is at most 8/5 of its bytes; the block itself is bounded by the connection.
    return huffmanDecode(raw, out, longest_) ? HpackError::none : HpackError::huffman;
  }

 private:
  std::span<const std::uint8_t> in_;
  std::size_t at_ = 0;
  std::size_t longest_;
};

}  // namespace

std::optional<std::string_view> find(const Headers& headers, std::string_view name) {
  for (const Header& h : headers)
    if (h.name == name) return h.value;
  return std::nullopt;
}

void DynamicTable::setCapacity(std::size_t capacity) {
  capacity_ = capacity;
  evict(capacity_);
}

void DynamicTable::evict(std::size_t until) {
  while (size_ > until) {
    size_ -= sizeOf(entries_.back().name, entries_.back().value);
    entries_.pop_back();
  }
}

void DynamicTable::add(Header header) {
  const std::size_t size = sizeOf(header.name, header.value);
  if (size > capacity_) return evict(0);  // RFC 7541 section 4.4: empties the table, no error
  evict(capacity_ - size);
  size_ += size;
  entries_.push_front(std::move(header));
}

HpackError HpackDecoder::decode(std::span<const std::uint8_t> block, Headers& out) {
  Reader in(block, block.size() * 2);
  std::size_t bytes = 0;
  std::size_t fields = 0;
  bool tooLarge = false;
  bool fieldSeen = false;
  while (!in.done()) {
    const std::uint8_t first = in.peek();
    std::size_t index = 0;
    if ((first & 0xe0U) == 0x20) {  // table size update: only at the start (section 4.2)
      if (fieldSeen) return HpackError::tableSize;
      if (const auto e = in.integer(5, index); e != HpackError::none) return e;
      if (index > limits_.tableBytes) return HpackError::tableSize;
      table_.setCapacity(index);
      continue;
    }
    fieldSeen = true;
    const bool indexed = (first & 0x80U) != 0;
    const bool stored = !indexed && (first & 0x40U) != 0;
    if (const auto e = in.integer(indexed ? 7 : stored ? 6 : 4, index); e != HpackError::none) return e;
    Header h;
    if (index > 0 && index <= kStatic) {
      h.name = kStaticTable[index - 1].first;
      h.value = kStaticTable[index - 1].second;
    } else if (index > kStatic) {
      const Header* entry = table_.at(index - kStatic - 1);
      if (entry == nullptr) return HpackError::index;
      h = *entry;
    } else if (indexed) {
      return HpackError::index;
    }
    if (!indexed) {
      if (index == 0)
        if (const auto e = in.text(h.name); e != HpackError::none) return e;
      h.value.clear();
      if (const auto e = in.text(h.value); e != HpackError::none) return e;
      if (stored) table_.add(h);
    }
    bytes += sizeOf(h.name, h.value);
    if (bytes > limits_.listBytes || ++fields > limits_.headers)
      tooLarge = true;
    else
      out.push_back(std::move(h));
  }
  return tooLarge ? HpackError::listTooLarge : HpackError::none;
}

void HpackEncoder::setPeerTableSize(std::size_t bytes) {
  const std::size_t wanted = std::min<std::size_t>(bytes, 4096);
  if (wanted == table_.capacity()) return;
  table_.setCapacity(wanted);
  resized_ = true;
}

void HpackEncoder::encode(const Headers& headers, std::string& out) {
  if (std::exchange(resized_, false)) putInteger(0x20, 5, table_.capacity(), out);
  for (const Header& h : headers) {
    std::size_t name = 0;
    std::size_t whole = 0;
    for (std::size_t i = 0; i < kStatic && whole == 0; ++i) {
      if (kStaticTable[i].first != h.name) continue;
      if (name == 0) name = i + 1;
      if (kStaticTable[i].second == h.value) whole = i + 1;
    }
    for (std::size_t i = 0; i < table_.count() && whole == 0; ++i) {
      if (table_.at(i)->name != h.name) continue;
      if (name == 0) name = kStatic + 1 + i;
      if (table_.at(i)->value == h.value) whole = kStatic + 1 + i;
    }
    if (whole > 0) {
      putInteger(0x80, 7, whole, out);
      continue;
    }
    const bool secret = h.name == "authorization" || h.name == "cookie";
    // Values that never recur would only push out those that do.
    const bool fleeting = h.value.size() > 64 || h.name == "grpc-message" || h.name == ":path";
    if (secret)
      putInteger(0x10, 4, name, out);
    else if (fleeting)
      putInteger(0x00, 4, name, out);
    else
      putInteger(0x40, 6, name, out);
    if (name == 0) putString(h.name, out);
    putString(h.value, out);
    if (!secret && !fleeting) table_.add(h);
  }
}

}  // namespace garnethook::http2
