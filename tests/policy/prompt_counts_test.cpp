// Requests whose tokens servers count differently: each is priced by its own count.
#include <gtest/gtest.h>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

EndpointEntry counting(EndpointEntry s, std::uint64_t tokeniser, double factor = 1) {
  s.tokeniser = tokeniser;
  s.promptFactor = factor;
  return s;
}

// Reads have shown what they cost: 60 us a token.
void warm(Driver& d) {
  for (std::uint64_t id = 100; id < 140; ++id) {
    auto request = d.request(id);
    request.promptTokens = 500 + 200 * static_cast<double>(id % 40);
    d.run(request, static_cast<Micros>(request.promptTokens * 60));
    d.pass(100 * kMs);
  }
}

// Which of two idle readers gets a prompt.
std::uint64_t chosen(const std::vector<PromptCount>& counts, double factor1, double factor2) {
  Driver d(settings());
  d.list({endpoint(1, kReader, 0), endpoint(2, kReader, 0), endpoint(11, kWriter, 0)});
  warm(d);
  d.list({counting(endpoint(1, kReader, 0), 7, factor1), counting(endpoint(2, kReader, 0), 8, factor2),
          endpoint(11, kWriter, 0)});
  auto request = d.request(1);
  request.promptTokens = 4000;
  request.counts = counts;
  d.give(request);
  return d.sentTo(1);
}

TEST(Counts, AReaderIsPricedByItsOwnCount) {
  EXPECT_EQ(chosen({{7, 40'000, 0}, {8, 3000, 0}}, 1, 1), 2U);
  EXPECT_EQ(chosen({{7, 3000, 0}, {8, 40'000, 0}}, 1, 1), 1U);
}

TEST(Counts, WithoutACountOfItsOwnByTheFactor) {
  EXPECT_EQ(chosen({}, 10, 1), 2U);
  EXPECT_EQ(chosen({}, 1, 10), 1U);
  EXPECT_EQ(chosen({{7, 4000, 0}}, 1, 10), 1U);  // one of the two only
  EXPECT_EQ(chosen({{8, 4000, 0}}, 10, 1), 2U);
}

// Between two attempts the other readers change their tokenisers, and the request's counts are told anew.
TEST(Counts, ARepeatedAttemptTakesTheNewCounts) {
  for (const bool swapped : {false, true}) {
    Driver d(settings());
    const std::vector<EndpointEntry> before{endpoint(1, kReader, 0), endpoint(2, kReader, 0),
                                            endpoint(3, kReader, 0), endpoint(11, kWriter, 0)};
    d.list(before);
    warm(d);
    auto request = d.request(1);
    request.promptTokens = 4000;
    request.counts = {{7, 4000, 0}};
    d.give(request);
    const auto first = d.sentTo(1);
    ASSERT_NE(first, 0U);
    std::vector<std::uint64_t> others;
    auto after = before;
    for (auto& s : after) {
      if (s.id.value == first || s.id.value == 11) continue;
      s.tokeniser = 8 + others.size();
      others.push_back(s.id.value);
    }
    d.list(after);
    d.give(PromptCounted{request.id,
                         {{8, swapped ? 3000.0 : 40'000.0, 0}, {9, swapped ? 40'000.0 : 3000.0, 0}}});
    d.end(1, Outcome::error);
    d.pass(100 * kMs);
    EXPECT_EQ(d.sentTo(1), others[swapped ? 0 : 1]);
  }
  Driver d(settings());
  d.give(PromptCounted{{99}, {{8, 9000, 0}}});
  EXPECT_EQ(d.sentTo(99), 0U) << "of a request that is not known";
}

}  // namespace
}  // namespace garnethook::test
