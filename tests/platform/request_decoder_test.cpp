// Decoding of clients' requests.
#include "platform/http_frontend/request_decoder.h"

#include <gtest/gtest.h>

namespace garnethook::platform {
namespace {

deployment_config::DeploymentConfig deploymentConfig() {
  deployment_config::DeploymentConfig deployment;
  deployment.classNames = {"chat", "order"};
  return deployment;
}

// A valid request; `more` replaces fields, or removes them where the value is "-".
http1::Head requestHead(http1::Fields more = {}) {
  http1::Head head;
  head.method = "POST";
  head.target = "/v1/chat/completions";
  head.fields = {{"x-trace-id", "9b1f03aa5c7e2d41"},
                 {"x-qos", "chat"},
                 {"x-object", "7f3a"},
                 {"x-expires-in-ms", "4800"},
                 {"x-props", "prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800"}};
  for (auto& field : more) {
    std::erase_if(head.fields, [&](const auto& present) { return present.name == field.name; });
    if (field.value != "-") head.fields.push_back(std::move(field));
  }
  return head;
}
int statusOf(const http1::Head& head, const std::string& body = R"({"model":"chat"})") {
  const auto out = decodeRequest(head, body, deploymentConfig());
  return out.hasValue() ? 200 : out.error().status;
}

// Engines recognise the repeat of a request with an idempotency key by a field that its client sent.
TEST(RequestDecoder, ForwardsOtherFieldsButNotThoseOfTheConnection) {
  const auto fieldsOf = [](http1::Fields more) {
    const auto out = decodeRequest(requestHead(std::move(more)), "{}", deploymentConfig());
    return out->fields;
  };
  const std::string key = "idempotency-key: f1b8db70\r\n";
  EXPECT_NE(fieldsOf({{"idempotency-key", "f1b8db70"}}).find(key), std::string::npos);
  EXPECT_NE(fieldsOf({}).find("content-type: application/json\r\n"), std::string::npos);
  const std::string typed = fieldsOf({{"content-type", "application/json; charset=utf-8"}});
  EXPECT_NE(typed.find("content-type: application/json; charset=utf-8\r\n"), std::string::npos);
  EXPECT_EQ(typed.find("content-type: application/json\r\n"), std::string::npos);
  const std::string hops = fieldsOf({{"host", "a"},
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
    EXPECT_EQ(("\r\n" + hops).find("\r\n" + std::string(name) + ":"), std::string::npos) << name;
}

TEST(RequestDecoder, DecodesAValidRequest) {
  const auto out = decodeRequest(requestHead(), R"({"model":"chat"})", deploymentConfig());
  ASSERT_TRUE(out.hasValue());
  const routing::Request& request = out.value();
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
  const auto out = decodeRequest(requestHead({{"x-props", "-"}}), R"({"model":"chat"})", deploymentConfig());
  EXPECT_DOUBLE_EQ(out->promptTokens, 4);
}

TEST(RequestDecoder, RejectsWhatCannotBeServed) {
  EXPECT_EQ(statusOf(requestHead()), 200);
  for (const http1::Fields& bad : std::vector<http1::Fields>{
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
    EXPECT_EQ(statusOf(requestHead(bad)), 400) << bad[0].name << " " << bad[0].value;
  auto twice = requestHead();
  twice.fields.push_back({"x-trace-id", "other"});
  EXPECT_EQ(statusOf(twice), 400);
  for (const char* body : {"", "[]", "{", R"({"model":"chat")", "text", R"({"a":1}{"b":2})"})
    EXPECT_EQ(statusOf(requestHead(), body), 400) << body;
  EXPECT_EQ(statusOf(requestHead(), R"({"a":)" + std::string(100, '[') + std::string(100, ']') + "}"), 400);
  auto get = requestHead();
  get.method = "GET";
  EXPECT_EQ(statusOf(get), 405);
  auto elsewhere = requestHead();
  elsewhere.target = "/v1/other";
  EXPECT_EQ(statusOf(elsewhere), 404);
}

}  // namespace
}  // namespace garnethook::platform
