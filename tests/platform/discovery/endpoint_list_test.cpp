// Tests the parsing of discovery's lists and the application of snapshots and deltas to the endpoint list.
#include "platform/discovery/endpoint_list.h"

#include <gtest/gtest.h>

#include <string>

namespace garnethook::platform {
namespace {

std::string entryText(const std::string& id, const std::string& phase, int startedAtMs = 0) {
  return R"({"id":")" + id +
         R"(","host_port":"127.0.0.1:90","locality":"a","flavor":"m","cell":1,"phase":")" + phase +
         R"(","size":1.5,"up_since_ms":)" + std::to_string(startedAtMs) + "}";
}

std::string listText(int revision, bool isComplete, const std::string& members) {
  return R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" + (isComplete ? "true" : "false") +
         R"(,"members":[)" + members + "]}";
}

EndpointListUpdate snapshot(int revision, const std::string& members) {
  return parseEndpointList(listText(revision, true, members));
}
EndpointListUpdate delta(int revision, const std::string& members) {
  return parseEndpointList(listText(revision, false, members));
}

// Covers every key that the parser reads and the field to which it is mapped.
TEST(EndpointListParser, MapsEachKeyToItsField) {
  const auto update =
      parseEndpointList(R"({"revision":41,"complete":true,"later":[],"members":[)"
                        R"({"id":"s-1","host_port":"10.1.2.3:9000","locality":"b","flavor":"m1","cell":3,)"
                        R"("phase":"ready","size":2.5,"up_since_ms":1700000000123,"later":1},)"
                        R"({"id":"s-2","host_port":"[::1]:80","cell":"rack","phase":"draining"},)"
                        R"({"id":"s-3","phase":"gone"}]})");
  EXPECT_EQ(update.version, 41);
  EXPECT_TRUE(update.isComplete);
  EXPECT_TRUE(update.errors.empty());
  ASSERT_EQ(update.endpoints.size(), 3u);

  const auto& first = update.endpoints[0];
  EXPECT_EQ(first.name, "s-1");
  EXPECT_EQ(first.id, membership::endpointId("s-1"));
  EXPECT_EQ(first.host, "10.1.2.3");
  EXPECT_EQ(first.port, 9000);
  EXPECT_EQ(first.zone, "b");
  EXPECT_EQ(first.kind, "m1");
  EXPECT_EQ(first.cell, "3");
  EXPECT_EQ(first.state, EndpointState::running);
  EXPECT_DOUBLE_EQ(first.weight, 2.5);
  EXPECT_EQ(first.startedAt.sinceEpoch, 1'700'000'000'123'000);
  EXPECT_EQ(first.tokeniser, "");

  const auto& second = update.endpoints[1];
  EXPECT_EQ(second.host, "[::1]");
  EXPECT_EQ(second.port, 80);
  EXPECT_EQ(second.cell, "rack");
  EXPECT_EQ(second.zone, "");
  EXPECT_EQ(second.kind, "");
  EXPECT_EQ(second.state, EndpointState::draining);
  EXPECT_DOUBLE_EQ(second.weight, 1);
  EXPECT_EQ(second.startedAt.sinceEpoch, 0);

  EXPECT_EQ(update.endpoints[2].state, EndpointState::removed);
  EXPECT_EQ(update.endpoints[2].port, 0);
}

TEST(EndpointListParser, ReportsTheErrorOfEachInvalidEntry) {
  const std::string valid = R"("id":"e","host_port":"h:1","phase":"ready")";
  const auto update =
      delta(1, R"(3,{"host_port":"h:1","phase":"ready"},{"id":7,"host_port":"h:1","phase":"ready"},)"
               R"({"id":"","host_port":"h:1","phase":"ready"},{"id":"e","host_port":"h","phase":"ready"},)"
               R"({"id":"e","host_port":"h:65536","phase":"ready"},{)" +
                   valid + R"(,"size":-1},{)" + valid + R"(,"up_since_ms":"x"},{)" + valid + "}");
  EXPECT_EQ(update.endpoints.size(), 1u);
  ASSERT_EQ(update.errors.size(), 8u);
  EXPECT_EQ(update.errors[0].code, EntryErrorCode::notAnObject);
  EXPECT_EQ(update.errors[0].message(), "an object is expected");
  EXPECT_EQ(update.errors[1].code, EntryErrorCode::missing);
  EXPECT_EQ(update.errors[1].message(), "id: is missing");
  EXPECT_EQ(update.errors[2].code, EntryErrorCode::notAString);
  EXPECT_EQ(update.errors[3].code, EntryErrorCode::invalidLength);
  EXPECT_EQ(update.errors[4].code, EntryErrorCode::invalidAddress);
  EXPECT_EQ(update.errors[4].message(), "host_port: HOST:PORT is expected");
  EXPECT_EQ(update.errors[5].code, EntryErrorCode::invalidAddress);
  EXPECT_EQ(update.errors[6].code, EntryErrorCode::outOfRange);
  EXPECT_EQ(update.errors[6].field, "size");
  EXPECT_EQ(update.errors[7].code, EntryErrorCode::outOfRange);
  EXPECT_EQ(update.errors[7].field, "up_since_ms");
}

TEST(EndpointListParser, SkipsInvalidEntriesAndThrowsOnTextThatIsNotAList) {
  const auto update =
      snapshot(1, entryText("a", "ready") + R"(,{"id":"b","phase":"ready"},3,)" + entryText("c", "resting"));
  EXPECT_EQ(update.endpoints.size(), 2u);
  EXPECT_EQ(update.errors.size(), 2u);
  EXPECT_EQ(update.endpoints[1].state, EndpointState::draining);  // an unknown phase gives no guarantee
  for (const char* text :
       {"", "[]", "{", R"({"revision":1})", R"({"members":[]})", R"({"revision":"x","members":[]})"})
    EXPECT_THROW(parseEndpointList(text), EndpointListError) << text;
  EXPECT_THROW(parseEndpointList(std::string(5000, '[')), EndpointListError);
}

TEST(EndpointList, AppliesADeltaAndReportsTheChange) {
  EndpointList list;
  list.apply(snapshot(5, entryText("a", "ready") + "," + entryText("b", "ready", 7)));
  EXPECT_EQ(list.endpoints().size(), 2u);
  EXPECT_EQ(list.endpoints().at("b").startedAt.sinceEpoch, 7000);
  EXPECT_DOUBLE_EQ(list.endpoints().at("a").weight, 1.5);
  const auto change = list.apply(delta(6, entryText("a", "draining") + "," + entryText("b", "gone")));
  ASSERT_TRUE(change.has_value());
  EXPECT_EQ(change->kind, EndpointUpdate::Kind::delta);
  EXPECT_EQ(change->entries.at("b").state, EndpointState::removed);
  EXPECT_EQ(list.endpoints().size(), 1u);
  EXPECT_EQ(list.endpoints().at("a").state, EndpointState::draining);
  EXPECT_EQ(list.version(), 6);
}

TEST(EndpointList, IgnoresAnOldDeltaAndAlwaysAppliesASnapshot) {
  EndpointList list;
  list.apply(snapshot(5, entryText("a", "ready")));
  EXPECT_FALSE(list.apply(delta(4, entryText("a", "gone"))).has_value());
  EXPECT_EQ(list.endpoints().size(), 1u);
  EXPECT_TRUE(list.apply(snapshot(1, entryText("c", "ready"))).has_value());
  EXPECT_TRUE(list.endpoints().contains("c"));
  EXPECT_FALSE(list.endpoints().contains("a"));
}

// Prevents new requests to an endpoint that is draining or removed: a discovery replica that lags behind the
// previous one, such as after a reload, may still report the endpoint as ready.
TEST(EndpointList, AnOlderSnapshotDoesNotReturnADrainingEndpointToService) {
  EndpointList list;
  const std::string allReady =
      entryText("a", "ready") + "," + entryText("b", "ready") + "," + entryText("c", "ready");
  list.apply(snapshot(5, allReady));
  list.apply(delta(7, entryText("a", "draining") + "," + entryText("b", "gone")));
  list.apply(snapshot(6, allReady));
  EXPECT_EQ(list.endpoints().at("a").state, EndpointState::draining);
  EXPECT_FALSE(list.endpoints().contains("b"));
  EXPECT_EQ(list.endpoints().at("c").state, EndpointState::running);
}

TEST(EndpointList, ANewerReportOrARestartReturnsAnEndpointToService) {
  EndpointList list;
  list.apply(snapshot(5, entryText("a", "ready", 1) + "," + entryText("b", "ready", 1)));
  list.apply(delta(7, entryText("a", "draining", 1) + "," + entryText("b", "gone", 1)));
  list.apply(snapshot(6, entryText("a", "ready", 1) + "," + entryText("b", "ready", 2)));
  EXPECT_EQ(list.endpoints().at("a").state, EndpointState::draining);
  EXPECT_EQ(list.endpoints().at("b").state, EndpointState::running);
  list.apply(delta(8, entryText("a", "ready", 1)));
  EXPECT_EQ(list.endpoints().at("a").state, EndpointState::running);
}

TEST(EndpointList, KeepsAnEndpointRemovedThatWasAbsentFromANewerSnapshot) {
  EndpointList list;
  list.apply(snapshot(5, entryText("a", "ready") + "," + entryText("b", "ready")));
  list.apply(snapshot(9, entryText("a", "ready")));
  list.apply(snapshot(8, entryText("a", "ready") + "," + entryText("b", "ready")));
  EXPECT_FALSE(list.endpoints().contains("b"));
}

TEST(EndpointList, StartsFromARestoredCopy) {
  EndpointList first;
  first.apply(snapshot(5, entryText("a", "ready")));
  EndpointList second;
  second.restore(first.endpoints(), first.version());
  EXPECT_EQ(second.version(), 5);
  EXPECT_TRUE(second.endpoints().contains("a"));
  EXPECT_FALSE(second.apply(delta(4, entryText("a", "gone"))).has_value());
}

}  // namespace
}  // namespace garnethook::platform
