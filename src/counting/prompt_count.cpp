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

void CountStore::keep(const Digest& session, SessionTokens::Turn turn) {
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

std::unique_ptr<CountStore::Tools> CountStore::borrow() {
  {
    const std::lock_guard lock(toolsMutex_);
    if (!tools_.empty()) {
      auto tools = std::move(tools_.back());
      tools_.pop_back();
      return tools;
    }
  }
  return std::make_unique<Tools>(key_);
}

void CountStore::giveBack(std::unique_ptr<Tools> tools) {
  // A workspace that grew with a very long piece is not kept.
  constexpr std::size_t kMostKept = 4u << 20;
  const std::size_t size =
      tools->workspace.pieces.sequence.capacity() * 4 + tools->workspace.ids.capacity() * 4;
  if (size > kMostKept) return;
  const std::lock_guard lock(toolsMutex_);
  if (tools_.size() < 16) tools_.push_back(std::move(tools));
}

PromptCount::PromptCount(CountStore& store, CountOrder order) : store_(store), order_(std::move(order)) {
  options_.specialTokens = order_.specialTokens;
}

void PromptCount::prepare(CountStore::Tools& tools) {
  prepared_ = true;
  text_ = *order_.text;
  sharedBytes_ = std::min(order_.sharedPrefixBytes, text_.size());
  const auto change = [&](std::optional<std::string> made, auto prefix) {
    if (!made) return;
    // The shared beginning in the changed text: as far as its own change is the beginning of the whole's.
    const std::string_view shared = text_.substr(0, sharedBytes_);
    const auto own = prefix(shared);
    const std::string_view changedShared = own ? std::string_view(*own) : shared;
    const auto [a, b] = std::mismatch(changedShared.begin(), changedShared.end(), made->begin(), made->end());
    sharedBytes_ = tokeniser::characterStart(*made, static_cast<std::size_t>(a - changedShared.begin()));
    changed_ = std::move(*made);
    text_ = changed_;
  };
  change(tokeniser::repaired(text_), [](std::string_view t) { return tokeniser::repaired(t); });
  change(order_.tokeniser->normalised(text_, options_),
         [&](std::string_view t) { return order_.tokeniser->normalised(t, options_); });
  // What is certain of a beginning is known only where something follows it.
  if (sharedBytes_ == text_.size() && sharedBytes_ > 0) --sharedBytes_;
  sharedBytes_ = tokeniser::characterStart(text_, sharedBytes_);
  identity_ = tools.digester.of({}, order_.specialTokens ? 's' : 'i', order_.identity);
}

bool PromptCount::remembered() {
  auto tools = store_.borrow();
  if (!prepared_) prepare(*tools);
  Beginnings beginnings(tools->digester, identity_, text_);
  const auto whole = store_.find(beginnings.whole());
  const auto shared = sharedBytes_ > 0 && whole ? store_.find(beginnings.at(sharedBytes_))
                                                : std::optional(EncodingPosition{});
  store_.giveBack(std::move(tools));
  if (!whole || !shared) return false;
  mark_ = *whole;
  result_.sharedPrefixTokens = shared->tokens;
  finish();
  return true;
}

// The furthest remembered beginning that is no longer than `most`.
EncodingPosition PromptCount::remember(Beginnings& beginnings, std::size_t most) {
  if (sharedBytes_ > 0 && sharedBytes_ <= most)
    if (const auto found = store_.find(beginnings.at(sharedBytes_)); found && most - sharedBytes_ < kStep) {
      limit_ = sharedBytes_;
      return *found;
    }
  for (std::size_t limit = most / kStep * kStep; limit > 0; limit -= kStep)
    if (const auto found = store_.find(beginnings.at(limit))) {
      limit_ = limit;
      return *found;
    }
  limit_ = 0;
  return {};
}

// Where encoding pauses next: at the next block, at the end of the shared beginning, or, within a piece that
// is longer than that, at twice its part seen so far, so that looking at it again and again costs no more
// than twice its length.
std::size_t PromptCount::nextLimit() const {
  if (!order_.tokeniser->supportsIncrementalEncoding()) return text_.size();
  const std::size_t seen = limit_ > mark_.at ? limit_ - mark_.at : 0;
  const std::size_t after = std::max(limit_ + 1, seen > kStep ? mark_.at + 2 * seen : 0);
  std::size_t next = (after + kStep - 1) / kStep * kStep;
  if (sharedBytes_ >= after && sharedBytes_ < next) next = sharedBytes_;
  return std::min(next, text_.size());
}

std::size_t PromptCount::slice(std::size_t bytes) {
  auto tools = tools_ ? std::move(tools_) : store_.borrow();
  if (!prepared_) prepare(*tools);
  if (!beginnings_) {
    beginnings_.emplace(tools->digester, identity_, text_);
    keepsIds_ = !order_.session.empty() && order_.tokeniser->supportsIncrementalEncoding();
    if (keepsIds_) {
      session_ = tools->digester.of(identity_, 'c', order_.session);
      const auto turn = store_.turn(session_);
      if (turn && turn->bytes <= text_.size() && turn->beginning == beginnings_->at(turn->bytes)) {
        turn_ = *turn;
        mark_ = turn->mark;
        limit_ = turn->bytes;
        ids_.assign(turn->tokens->ids().begin(), turn->tokens->ids().end());
      }
    }
    // The shared beginning's own count comes first: what lies behind it does not tell it.
    if (sharedBytes_ > 0) {
      if (const auto shared = store_.find(beginnings_->at(sharedBytes_))) {
        result_.sharedPrefixTokens = shared->tokens;
        sharedKnown_ = true;
      }
    } else {
      sharedKnown_ = true;
    }
    if (!keepsIds_) {
      const auto whole = sharedKnown_ ? store_.find(beginnings_->whole()) : std::nullopt;
      if (whole) {
        mark_ = *whole;
        limit_ = text_.size();
      } else {
        mark_ = remember(*beginnings_, sharedKnown_ ? text_.size() : sharedBytes_);
      }
    }
    if (keepsIds_ && !sharedKnown_ && limit_ > sharedBytes_) {  // begin anew for it
      mark_ = {};
      limit_ = 0;
      ids_.clear();
    }
  }
  const std::size_t from = mark_.at;
  while (limit_ < text_.size() || mark_.at < text_.size()) {
    const std::size_t limit = nextLimit();
    const EncodingPosition before = mark_;
    mark_ = order_.tokeniser->advance(text_, mark_, limit, options_, tools->workspace,
                                      keepsIds_ ? &ids_ : nullptr);
    result_.encoded += mark_.at - before.at;
    limit_ = limit;
    if (limit < text_.size()) {
      store_.put(beginnings_->at(limit), mark_);
      if (keepsIds_ && limit % kStep == 0) turn_ = {limit, beginnings_->at(limit), mark_, nullptr};
    }
    if (limit == sharedBytes_ && !sharedKnown_) {
      sharedKnown_ = true;
      result_.sharedPrefixTokens = mark_.tokens;
    }
    if (limit < text_.size() && mark_.at - from >= bytes) {
      tools_ = std::move(tools);
      return std::max<std::size_t>(text_.size() - mark_.at, 1);
    }
    if (limit == text_.size()) break;
  }
  store_.put(beginnings_->whole(), {text_.size(), mark_.tokens});
  if (keepsIds_ && turn_.bytes > 0) {
    std::vector<tokeniser::TokenId> kept(ids_.begin(),
                                         ids_.begin() + static_cast<std::ptrdiff_t>(turn_.mark.tokens));
    turn_.tokens = std::make_shared<const TokenBlocks>(std::move(kept));
    store_.keep(session_, turn_);
  }
  beginnings_.reset();
  store_.giveBack(std::move(tools));
  finish();
  return 0;
}

void PromptCount::finish() {
  const std::size_t before = order_.tokeniser->before().size();
  const std::size_t behind = order_.tokeniser->behind().size();
  result_.tokens = before + mark_.tokens + behind;
  if (sharedBytes_ > 0) result_.sharedPrefixTokens += before;
  if (!keepsIds_) return;
  std::vector<tokeniser::TokenId> all;
  all.reserve(before + ids_.size() + behind);
  all.insert(all.end(), order_.tokeniser->before().begin(), order_.tokeniser->before().end());
  all.insert(all.end(), ids_.begin(), ids_.end());
  all.insert(all.end(), order_.tokeniser->behind().begin(), order_.tokeniser->behind().end());
  result_.blocks = std::make_shared<const TokenBlocks>(std::move(all));
}

}  // namespace garnethook::counting
