#include "counting/prompt_count.h"

#include <algorithm>

#include "tokeniser/utf8.h"

namespace garnethook::counting {

using tokeniser::EncodingPosition;

std::optional<EncodingPosition> CountStore::find(const Digest& key) {
  const std::lock_guard lock(mutex_);
  return cache_.find(key);
}

void CountStore::put(const Digest& key, const EncodingPosition& mark) {
  const std::lock_guard lock(mutex_);
  cache_.put(key, mark);
}

std::optional<SessionTokens::Turn> CountStore::turn(const Digest& session) {
  const std::lock_guard lock(mutex_);
  return sessions_.find(session);
}

void CountStore::putTurn(const Digest& session, SessionTokens::Turn turn) {
  const std::lock_guard lock(mutex_);
  sessions_.put(session, std::move(turn));
}

std::size_t CountStore::memory() const {
  const std::lock_guard lock(mutex_);
  return cache_.memory() + sessions_.memory();
}

CacheCounters CountStore::counters() const {
  const std::lock_guard lock(mutex_);
  return cache_.counters();
}

std::unique_ptr<CountStore::Scratch> CountStore::acquireScratch() {
  {
    const std::lock_guard lock(scratchMutex_);
    if (!scratch_.empty()) {
      auto scratch = std::move(scratch_.back());
      scratch_.pop_back();
      return scratch;
    }
  }
  return std::make_unique<Scratch>(key_);
}

void CountStore::releaseScratch(std::unique_ptr<Scratch> scratch) {
  // A workspace that grew large for a very long piece is freed.
  constexpr std::size_t kMaxRetainedBytes = 4u << 20;
  const std::size_t size =
      scratch->workspace.pieces.sequence.capacity() * 4 + scratch->workspace.ids.capacity() * 4;
  if (size > kMaxRetainedBytes) return;
  const std::lock_guard lock(scratchMutex_);
  if (scratch_.size() < 16) scratch_.push_back(std::move(scratch));
}

PromptCount::PromptCount(CountStore& store, CountRequest request)
    : store_(store), request_(std::move(request)) {
  options_.specialTokens = request_.specialTokens;
}

void PromptCount::prepare(CountStore::Scratch& scratch) {
  prepared_ = true;
  text_ = *request_.text;
  sharedPrefixBytes_ = std::min(request_.sharedPrefixBytes, text_.size());
  const auto rewrite = [&](std::optional<std::string> newText, auto prefix) {
    if (!newText) return;
    // The shared prefix in the rewritten text ends where the prefix rewritten alone and the whole rewritten
    // text first differ.
    const std::string_view shared = text_.substr(0, sharedPrefixBytes_);
    const auto newPrefix = prefix(shared);
    const std::string_view newShared = newPrefix ? std::string_view(*newPrefix) : shared;
    const auto [prefixEnd, textEnd] =
        std::mismatch(newShared.begin(), newShared.end(), newText->begin(), newText->end());
    sharedPrefixBytes_ =
        tokeniser::characterStart(*newText, static_cast<std::size_t>(prefixEnd - newShared.begin()));
    rewritten_ = std::move(*newText);
    text_ = rewritten_;
  };
  rewrite(tokeniser::repaired(text_), [](std::string_view input) { return tokeniser::repaired(input); });
  rewrite(request_.tokeniser->normalised(text_, options_),
          [&](std::string_view input) { return request_.tokeniser->normalised(input, options_); });
  // The certain tokens of a prefix are only known if some text follows it.
  if (sharedPrefixBytes_ == text_.size() && sharedPrefixBytes_ > 0) --sharedPrefixBytes_;
  sharedPrefixBytes_ = tokeniser::characterStart(text_, sharedPrefixBytes_);
  identity_ = scratch.digester.of({}, request_.specialTokens ? 's' : 'i', request_.identity);
}

bool PromptCount::findCached() {
  auto scratch = store_.acquireScratch();
  if (!prepared_) prepare(*scratch);
  PrefixDigests prefixDigests(scratch->digester, identity_, text_);
  const auto whole = store_.find(prefixDigests.whole());
  const auto shared = sharedPrefixBytes_ > 0 && whole ? store_.find(prefixDigests.at(sharedPrefixBytes_))
                                                      : std::optional(EncodingPosition{});
  store_.releaseScratch(std::move(scratch));
  if (!whole || !shared) return false;
  mark_ = *whole;
  result_.sharedPrefixTokens = shared->tokens;
  finish();
  return true;
}

// Returns the mark of the longest cached prefix of at most `maxBytes`, or an empty mark; sets limit_.
EncodingPosition PromptCount::findLongestPrefix(PrefixDigests& prefixDigests, std::size_t maxBytes) {
  if (sharedPrefixBytes_ > 0 && sharedPrefixBytes_ <= maxBytes)
    if (const auto found = store_.find(prefixDigests.at(sharedPrefixBytes_));
        found && maxBytes - sharedPrefixBytes_ < kCheckpointBytes) {
      limit_ = sharedPrefixBytes_;
      return *found;
    }
  for (std::size_t limit = maxBytes / kCheckpointBytes * kCheckpointBytes; limit > 0;
       limit -= kCheckpointBytes)
    if (const auto found = store_.find(prefixDigests.at(limit))) {
      limit_ = limit;
      return *found;
    }
  limit_ = 0;
  return {};
}

// Returns the next position at which to pause encoding: the next block, the end of the shared prefix, or,
// within a piece longer than a block, twice the part of it scanned so far. Doubling bounds the cost of
// rescanning the piece to twice its length.
std::size_t PromptCount::nextLimit() const {
  if (!request_.tokeniser->supportsIncrementalEncoding()) return text_.size();
  const std::size_t seen = limit_ > mark_.at ? limit_ - mark_.at : 0;
  const std::size_t after = std::max(limit_ + 1, seen > kCheckpointBytes ? mark_.at + 2 * seen : 0);
  std::size_t next = (after + kCheckpointBytes - 1) / kCheckpointBytes * kCheckpointBytes;
  if (sharedPrefixBytes_ >= after && sharedPrefixBytes_ < next) next = sharedPrefixBytes_;
  return std::min(next, text_.size());
}

std::size_t PromptCount::slice(std::size_t bytes) {
  auto scratch = scratch_ ? std::move(scratch_) : store_.acquireScratch();
  if (!prepared_) prepare(*scratch);
  if (!prefixDigests_) {
    prefixDigests_.emplace(scratch->digester, identity_, text_);
    collectsIds_ = !request_.session.empty() && request_.tokeniser->supportsIncrementalEncoding();
    if (collectsIds_) {
      session_ = scratch->digester.of(identity_, 'c', request_.session);
      const auto turn = store_.turn(session_);
      if (turn && turn->bytes <= text_.size() && turn->prefixDigest == prefixDigests_->at(turn->bytes)) {
        turn_ = *turn;
        mark_ = turn->mark;
        limit_ = turn->bytes;
        ids_.assign(turn->tokens->ids().begin(), turn->tokens->ids().end());
      }
    }
    // The shared prefix is counted first, since the count of a longer prefix does not give it.
    if (sharedPrefixBytes_ > 0) {
      if (const auto shared = store_.find(prefixDigests_->at(sharedPrefixBytes_))) {
        result_.sharedPrefixTokens = shared->tokens;
        sharedPrefixCounted_ = true;
      }
    } else {
      sharedPrefixCounted_ = true;
    }
    if (!collectsIds_) {
      const auto whole = sharedPrefixCounted_ ? store_.find(prefixDigests_->whole()) : std::nullopt;
      if (whole) {
        mark_ = *whole;
        limit_ = text_.size();
      } else {
        mark_ = findLongestPrefix(*prefixDigests_, sharedPrefixCounted_ ? text_.size() : sharedPrefixBytes_);
      }
    }
    // Restart to count the shared prefix.
    if (collectsIds_ && !sharedPrefixCounted_ && limit_ > sharedPrefixBytes_) {
      mark_ = {};
      limit_ = 0;
      ids_.clear();
    }
  }
  const std::size_t from = mark_.at;
  while (limit_ < text_.size() || mark_.at < text_.size()) {
    const std::size_t limit = nextLimit();
    const EncodingPosition before = mark_;
    mark_ = request_.tokeniser->advance(text_, mark_, limit, options_, scratch->workspace,
                                        collectsIds_ ? &ids_ : nullptr);
    result_.encoded += mark_.at - before.at;
    limit_ = limit;
    if (limit < text_.size()) {
      store_.put(prefixDigests_->at(limit), mark_);
      if (collectsIds_ && limit % kCheckpointBytes == 0)
        turn_ = {limit, prefixDigests_->at(limit), mark_, nullptr};
    }
    if (limit == sharedPrefixBytes_ && !sharedPrefixCounted_) {
      sharedPrefixCounted_ = true;
      result_.sharedPrefixTokens = mark_.tokens;
    }
    if (limit < text_.size() && mark_.at - from >= bytes) {
      scratch_ = std::move(scratch);
      return std::max<std::size_t>(text_.size() - mark_.at, 1);
    }
    if (limit == text_.size()) break;
  }
  store_.put(prefixDigests_->whole(), {text_.size(), mark_.tokens});
  if (collectsIds_ && turn_.bytes > 0) {
    std::vector<tokeniser::TokenId> kept(ids_.begin(),
                                         ids_.begin() + static_cast<std::ptrdiff_t>(turn_.mark.tokens));
    turn_.tokens = std::make_shared<const TokenBlocks>(std::move(kept));
    store_.putTurn(session_, turn_);
  }
  prefixDigests_.reset();
  store_.releaseScratch(std::move(scratch));
  finish();
  return 0;
}

void PromptCount::finish() {
  const std::size_t before = request_.tokeniser->before().size();
  const std::size_t behind = request_.tokeniser->behind().size();
  result_.tokens = before + mark_.tokens + behind;
  if (sharedPrefixBytes_ > 0) result_.sharedPrefixTokens += before;
  if (!collectsIds_) return;
  std::vector<tokeniser::TokenId> allIds;
  allIds.reserve(before + ids_.size() + behind);
  allIds.insert(allIds.end(), request_.tokeniser->before().begin(), request_.tokeniser->before().end());
  allIds.insert(allIds.end(), ids_.begin(), ids_.end());
  allIds.insert(allIds.end(), request_.tokeniser->behind().begin(), request_.tokeniser->behind().end());
  result_.blocks = std::make_shared<const TokenBlocks>(std::move(allIds));
}

}  // namespace garnethook::counting
