// Tests the decoding of client requests.
#include "platform/http_frontend/request_decoder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>

namespace garnethook::platform {
namespace {

deployment_config::DeploymentConfig makeDeploymentConfig() {
  deployment_config::DeploymentConfig deployment;
  deployment.classNames = {"chat", "order"};
  return deployment;
}

// The head of a valid request. `overrides` replaces fields, or removes a field if its value is "-".
http1::Head makeRequestHead(http1::Fields overrides = {}) {
  http1::Head head;
  head.method = "POST";
  head.target = "/v1/chat/completions";
  head.fields = {{"x-trace-id", "9b1f03aa5c7e2d41"},
                 {"x-qos", "chat"},
                 {"x-object", "7f3a"},
                 {"x-expires-in-ms", "4800"},
                 {"x-props", "prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800"}};
  for (auto& field : overrides) {
    std::erase_if(head.fields, [&](const auto& existing) { return existing.name == field.name; });
    if (field.value != "-") head.fields.push_back(std::move(field));
  }
  return head;
}
int responseStatus(const http1::Head& head, const std::string& body = R"({"model":"chat"})") {
  const auto decoded = decodeRequest(head, body, makeDeploymentConfig());
  return decoded.hasValue() ? 200 : decoded.error().status;
}

using HeadOfSize = std::function<http1::Head(std::size_t)>;

http1::Head headWithShortFields(std::size_t count) {
  http1::Head head = makeRequestHead();
  head.fields.insert(head.fields.end(), count, {"a", ""});
  return head;
}
// Half of the fields; the other half are options of Connection fields that list each of them.
http1::Head headWithConnectionOptions(std::size_t count) {
  http1::Head head = makeRequestHead();
  std::string options;
  for (std::size_t i = 0; i < count / 2; ++i) {
    const std::string name = "f" + std::to_string(i);
    head.fields.push_back({name, ""});
    options += name + ",";
  }
  head.fields.push_back({"connection", options});
  return head;
}
// The shortest of several measured times to decode the head.
std::chrono::nanoseconds decodeTime(const http1::Head& head) {
  constexpr int kRounds = 7;
  auto shortest = std::chrono::nanoseconds::max();
  for (int round = 0; round < kRounds; ++round) {
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(responseStatus(head), 200);
    shortest = std::min<std::chrono::nanoseconds>(shortest, std::chrono::steady_clock::now() - begin);
  }
  return shortest;
}

// Prevents hundreds of heads with many short fields from stopping the event loop for seconds: a head of four
// times the fields may take four times as long, and some more for noise, not sixteen times.
TEST(RequestDecoder, TakesTimeInProportionToTheNumberOfFields) {
  for (const HeadOfSize& makeHead :
       {HeadOfSize(headWithShortFields), HeadOfSize(headWithConnectionOptions)}) {
    const auto small = decodeTime(makeHead(1000));
    const auto large = decodeTime(makeHead(4000));
    EXPECT_LT(large, 8 * small);
  }
}

// Engines detect a repeated request with an idempotency key by a header field that its client sent, so
// the router must forward that field.
TEST(RequestDecoder, ForwardsOtherFieldsButNotHopByHopOnes) {
  const auto forwardedFields = [](http1::Fields overrides) {
    const auto decoded = decodeRequest(makeRequestHead(std::move(overrides)), "{}", makeDeploymentConfig());
    return decoded->fields;
  };
  const std::string keyField = "idempotency-key: f1b8db70\r\n";
  EXPECT_NE(forwardedFields({{"idempotency-key", "f1b8db70"}}).find(keyField), std::string::npos);
  EXPECT_NE(forwardedFields({}).find("content-type: application/json\r\n"), std::string::npos);
  const std::string withContentType = forwardedFields({{"content-type", "application/json; charset=utf-8"}});
  EXPECT_NE(withContentType.find("content-type: application/json; charset=utf-8\r\n"), std::string::npos);
  EXPECT_EQ(withContentType.find("content-type: application/json\r\n"), std::string::npos);
  const std::string withoutHopByHopFields = forwardedFields({{"host", "a"},
                                                             {"connection", "x-hop, close,X-Other"},
                                                             {"x-hop", "1"},
                                                             {"x-other", "1"},
                                                             {"content-length", "2"},
                                                             {"transfer-encoding", "chunked"},
                                                             {"expect", "100-continue"},
                                                             {"te", "trailers"},
                                                             {"upgrade", "h2c"}});
  for (const char* name : {"host", "connection", "x-hop", "x-other", "content-length", "transfer-encoding",
                           "expect", "te", "upgrade", "x-trace-id", "x-expires-in-ms"})
    EXPECT_EQ(("\r\n" + withoutHopByHopFields).find("\r\n" + std::string(name) + ":"), std::string::npos)
        << name;
}

TEST(RequestDecoder, DecodesAValidRequest) {
  const auto decoded = decodeRequest(makeRequestHead(), R"({"model":"chat"})", makeDeploymentConfig());
  ASSERT_TRUE(decoded.hasValue());
  const routing::Request& request = decoded.value();
  EXPECT_EQ(request.traceId, "9b1f03aa5c7e2d41");
  EXPECT_EQ(request.requestClass, 0u);
  EXPECT_EQ(request.remaining, 4'800'000);
  EXPECT_EQ(request.session, "7f3a");
  EXPECT_EQ(request.sharedPrefixKey, "5c0f");
  EXPECT_DOUBLE_EQ(request.promptTokens, 5120);
  EXPECT_DOUBLE_EQ(request.sharedPrefixTokens, 2048);
  EXPECT_EQ(request.maxOutput, 800u);
  EXPECT_EQ(*request.body, R"({"model":"chat"})");
}

TEST(RequestDecoder, EstimatesThePromptLengthFromTheBodyWhenNoneIsGiven) {
  const auto decoded =
      decodeRequest(makeRequestHead({{"x-props", "-"}}), R"({"model":"chat"})", makeDeploymentConfig());
  EXPECT_DOUBLE_EQ(decoded->promptTokens, 4);
}

TEST(RequestDecoder, RejectsInvalidRequests) {
  EXPECT_EQ(responseStatus(makeRequestHead()), 200);
  for (const http1::Fields& invalidFields : std::vector<http1::Fields>{
           {{"x-trace-id", "-"}},
           {{"x-trace-id", "a b"}},
           {{"x-trace-id", std::string(65, 'a')}},
           {{"x-trace-id", ""}},
           {{"x-qos", "-"}},
           {{"x-qos", "gold"}},
           {{"x-expires-in-ms", "-"}},
           {{"x-expires-in-ms", "soon"}},
           {{"x-expires-in-ms", "-5"}},
           {{"x-expires-in-ms", "0"}},
           {{"x-expires-in-ms", "99999999999999999999"}},
           {{"x-expires-in-ms", "12.5"}},
           {{"x-props", "prompt_len=-1"}},
           {{"x-props", "prompt_len=99999999999"}},
           {{"x-props", "prompt_len=many"}},
           {{"x-props", "prefix"}},
           {{"x-trace-id", "one"}, {"x-other", "x"}, {"x-object", std::string(300, 'o')}}})
    EXPECT_EQ(responseStatus(makeRequestHead(invalidFields)), 400)
        << invalidFields[0].name << " " << invalidFields[0].value;
  auto repeatedField = makeRequestHead();
  repeatedField.fields.push_back({"x-trace-id", "other"});
  EXPECT_EQ(responseStatus(repeatedField), 400);
  for (const char* body : {"", "[]", "{", R"({"model":"chat")", "text", R"({"a":1}{"b":2})"})
    EXPECT_EQ(responseStatus(makeRequestHead(), body), 400) << body;
  EXPECT_EQ(
      responseStatus(makeRequestHead(), R"({"a":)" + std::string(100, '[') + std::string(100, ']') + "}"),
      400);
  auto getRequest = makeRequestHead();
  getRequest.method = "GET";
  EXPECT_EQ(responseStatus(getRequest), 405);
  auto otherPath = makeRequestHead();
  otherPath.target = "/v1/other";
  EXPECT_EQ(responseStatus(otherPath), 404);
}

}  // namespace
}  // namespace garnethook::platform
