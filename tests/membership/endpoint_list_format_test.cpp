// Compatibility of the endpoint list format: stored copies stay readable, and the output stays the same.
#include "membership/endpoint_list_format.h"

#include <gtest/gtest.h>

#include "config/file_text.h"
#include "membership/endpoint_list_file.h"
#include "membership/endpoint_list_merge.h"

namespace garnethook::membership {
namespace {

// Written by writeList() of version 0b40fac, the last version before files and types were renamed.
constexpr const char* kStoredCopy = GARNETHOOK_MEMBERSHIP_TEST_DATA "/engine_list_0b40fac.json";

EndpointMap expectedEndpoints() {
  EndpointMap endpoints;
  endpoints["prefill-1"] = {.name = "prefill-1",
                            .id = {2638635211700514702U},
                            .host = "10.0.0.1",
                            .port = 8000,
                            .kind = "prefill-large",
                            .zone = "zone-a",
                            .cell = "cell-1",
                            .startedAt = {1'764'688'500'123'000},
                            .tokeniser = "bpe-50k",
                            .tokeniserVersion = "2026-11"};
  endpoints["prefill-2"] = {.name = "prefill-2",
                            .id = {9721657319920744590U},
                            .host = "prefill-2.example.net",
                            .port = 65'535,
                            .kind = "prefill-large",
                            .zone = "zone-b",
                            .cell = "cell-2",
                            .state = EndpointState::draining,
                            .startedAt = {1'764'688'400'000'000}};
  endpoints["decode \"7\" \xc3\xbc"] = {.name = "decode \"7\" \xc3\xbc",
                                        .id = {3572398420801254945U},
                                        .host = "[2001:db8::1]",
                                        .port = 1,
                                        .kind = "decode-small",
                                        .state = EndpointState::removed,
                                        .tokeniser = "pieces"};
  endpoints["combined-1"] = {.name = "combined-1",
                             .id = {7200457724031527876U},
                             .host = "127.0.0.1",
                             .port = 9001,
                             .kind = "combined",
                             .zone = "zone-a",
                             .cell = "cell-1"};
  return endpoints;
}

void expectSameFields(const EndpointSpec& actual, const EndpointSpec& expected) {
  EXPECT_EQ(actual.name, expected.name);
  EXPECT_EQ(actual.id, expected.id);
  EXPECT_EQ(actual.host, expected.host);
  EXPECT_EQ(actual.port, expected.port);
  EXPECT_EQ(actual.kind, expected.kind);
  EXPECT_EQ(actual.zone, expected.zone);
  EXPECT_EQ(actual.cell, expected.cell);
  EXPECT_EQ(actual.state, expected.state);
  EXPECT_EQ(actual.weight, expected.weight);
  EXPECT_EQ(actual.startedAt, expected.startedAt);
  EXPECT_EQ(actual.tokeniser, expected.tokeniser);
  EXPECT_EQ(actual.tokeniserVersion, expected.tokeniserVersion);
}

TEST(EndpointListFormat, ReadsEveryFieldOfACopyStoredByVersion0b40fac) {
  EndpointListFile file("/nonexistent/engines.json", kStoredCopy);
  std::vector<EndpointListError> errors;
  ASSERT_TRUE(file.loadCopy(errors));
  EXPECT_TRUE(errors.empty());
  const EndpointMap expected = expectedEndpoints();
  ASSERT_EQ(file.endpoints().size(), expected.size());
  for (const auto& [name, spec] : expected) {
    SCOPED_TRACE(name);
    ASSERT_TRUE(file.endpoints().contains(name));
    expectSameFields(file.endpoints().at(name), spec);
  }
}

TEST(EndpointListFormat, WritesTheSameBytesAsVersion0b40fac) {
  EXPECT_EQ(serializeEndpointList(expectedEndpoints()), config::readFileText(kStoredCopy));
}

// Of two entries with the same name, the first is used and the second is reported; the rest of the list is
// used.
TEST(EndpointListMerge, ReportsADuplicateNameAndKeepsTheFirst) {
  const auto file = config::JsonFile::parse("f.json", R"({"engines":[
    {"name":"a","address":"127.0.0.1:1","kind":"k"},
    {"name":"a","address":"127.0.0.1:2","kind":"k"}]})");
  std::vector<EndpointListError> errors;
  const EndpointMap endpoints = readEndpointList(file, {}, errors);
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0].code, EndpointListError::Code::entryInvalid);
  EXPECT_EQ(errors[0].message, "f.json:3: engines[1].name: \"a\" is a duplicate");
  EXPECT_EQ(endpoints.at("a").port, 1);
}

// An invalid entry is replaced immediately by the previous endpoint of its name, so that a later entry of
// that name is the duplicate.
TEST(EndpointListMerge, KeepsThePreviousEndpointWhenAnInvalidEntryPrecedesAValidOneOfItsName) {
  const EndpointMap previous{{"a", {.name = "a", .host = "h", .port = 9, .kind = "k"}}};
  const auto file = config::JsonFile::parse("f.json", R"({"engines":[
    {"name":"a","address":"nowhere","kind":"k"},
    {"name":"a","address":"127.0.0.1:2","kind":"k"}]})");
  std::vector<EndpointListError> errors;
  EXPECT_EQ(readEndpointList(file, previous, errors).at("a").port, 9);
  EXPECT_EQ(errors.size(), 2U);
}

}  // namespace
}  // namespace garnethook::membership
