#include "counting/counter.h"

#include <algorithm>
#include <array>

namespace garnethook::counting {
namespace {

std::size_t characters(std::string_view text) {
  return static_cast<std::size_t>(std::count_if(
      text.begin(), text.end(), [](char byte) { return (static_cast<std::uint8_t>(byte) & 0xc0U) != 0x80; }));
}

}  // namespace

std::string_view name(Estimate cause) {
  constexpr std::array<std::string_view, 5> names{"none", "no-file", "queue-full", "late", "failed"};
  return names[static_cast<std::size_t>(cause)];
}

Counter::Counter(const CounterOptions& options, timing::Timers& timers,
                 std::function<void(std::function<void()>)> post)
    : options_(options), timers_(timers), store_(options.store), pool_(options.pool, std::move(post)) {}

Counter::~Counter() {
  for (auto& [ticket, pending] : pending_) timers_.cancel(pending.timeoutTimer);
}

CountTicket Counter::count(Prompt prompt, const std::vector<LoadedTokeniser>& tokenisers, Done done) {
  ++counters_.prompts;
  counters_.bytes += prompt.text->size();
  const std::uint64_t ticket = nextTicket_++;
  PendingPrompt pending;
  pending.bytes = prompt.text->size();
  pending.characters = characters(*prompt.text);
  pending.sharedCharacters = characters(std::string_view(*prompt.text).substr(0, prompt.sharedPrefixBytes));
  pending.done = std::move(done);
  if (tokenisers.empty()) pending.error = Estimate::noFile;
  for (const LoadedTokeniser& t : tokenisers) {
    CountRequest request{t.tokeniser,
                         t.version.name + '\0' + t.version.version + '\0' + std::to_string(t.number),
                         prompt.text,
                         prompt.sharedPrefixBytes,
                         options_.sessionIds ? prompt.session : std::string(),
                         prompt.specialTokens};
    Part part{t.number, std::make_shared<PromptCount>(store_, std::move(request)), std::nullopt, false};
    try {
      if (pending.bytes <= options_.cacheLookupBytes && !options_.sessionIds && part.count->findCached()) {
        part.counted = true;
        ++counters_.remembered;
      } else if (pending.bytes <= options_.inlineBytes && t.tokeniser->supportsIncrementalEncoding()) {
        while (part.count->slice(options_.inlineBytes) > 0) {}
        part.counted = true;
        ++counters_.countedInline;
        counters_.bytesEncoded += part.count->result().encoded;
      }
    } catch (const std::exception&) {
      pending.error = Estimate::failed;
      ++counters_.estimatedFailed;
      part.count.reset();
    }
    pending.parts.push_back(std::move(part));
  }
  for (std::size_t i = 0; i < pending.parts.size(); ++i) {
    Part& part = pending.parts[i];
    if (part.counted || !part.count) continue;
    part.job = pool_.submit(scheduler::Level::foreground, pending.bytes, part.count,
                            [this, ticket, i](std::exception_ptr error) { onPartDone(ticket, i, error); });
    if (part.job) {
      ++pending.runningParts;
    } else {
      pending.error = Estimate::full;
      ++counters_.estimatedFull;
    }
  }
  if (pending.runningParts == 0) {
    const PromptCounts counts = result(pending);
    pending.done(counts);
    return {};
  }
  const Micros timeout = prompt.timeout > 0 ? std::min(prompt.timeout, options_.timeout) : options_.timeout;
  pending.timeoutTimer = timers_.after(timeout, [this, ticket] {
    PendingPrompt& expired = pending_.at(ticket);
    expired.error = Estimate::late;
    ++counters_.estimatedLate;
    finish(ticket);
  });
  pending_.emplace(ticket, std::move(pending));
  return {ticket};
}

void Counter::onPartDone(std::uint64_t ticket, std::size_t index, std::exception_ptr error) {
  const auto at = pending_.find(ticket);
  if (at == pending_.end()) return;
  Part& part = at->second.parts[index];
  part.job.reset();
  if (error) {
    at->second.error = Estimate::failed;
    ++counters_.estimatedFailed;
  } else {
    part.counted = true;
    ++counters_.onWorkers;
    counters_.bytesEncoded += part.count->result().encoded;
  }
  if (--at->second.runningParts == 0) finish(ticket);
}

void Counter::finish(std::uint64_t ticket) {
  auto node = pending_.extract(ticket);
  PendingPrompt& pending = node.mapped();
  timers_.cancel(pending.timeoutTimer);
  for (const Part& part : pending.parts)
    if (part.job) pool_.cancel(*part.job);
  pending.done(result(pending));
}

void Counter::cancel(CountTicket ticket) {
  auto node = pending_.extract(ticket.value);
  if (node.empty()) return;
  ++counters_.cancelled;
  timers_.cancel(node.mapped().timeoutTimer);
  for (const Part& part : node.mapped().parts)
    if (part.job) pool_.cancel(*part.job);
}

// The main count comes from the first tokeniser. If that did not count the prompt, another tokeniser's count
// is used, and if there is none, an estimate from the number of characters.
PromptCounts Counter::result(const PendingPrompt& pending) {
  PromptCounts out;
  for (const Part& part : pending.parts) {
    if (!part.counted) continue;
    const Count& partCount = part.count->result();
    out.exact.push_back({part.number, std::max(1.0, static_cast<double>(partCount.tokens)),
                         static_cast<double>(partCount.sharedPrefixTokens)});
    if (!out.blocks) out.blocks = partCount.blocks;
  }
  if (!pending.parts.empty() && pending.parts.front().counted) {
    out.main = out.exact.front().prompt;
    out.mainShared = out.exact.front().shared;
    return out;
  }
  out.estimate = pending.error;
  if (!out.exact.empty()) {
    out.main = out.exact.front().prompt;
    out.mainShared = out.exact.front().shared;
  } else {
    out.main = std::max(1.0, static_cast<double>(pending.characters) / options_.charactersPerToken);
    out.mainShared = static_cast<double>(pending.sharedCharacters) / options_.charactersPerToken;
  }
  return out;
}

}  // namespace garnethook::counting
