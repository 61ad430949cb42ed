// Reading the endpoint list file, and writing and loading its persisted copy.
#include "membership/endpoint_list_file.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace garnethook {
namespace {

class EndpointListFileTest : public testing::Test {
 protected:
  EndpointListFileTest() { std::filesystem::create_directories(folder_); }
  ~EndpointListFileTest() override { std::filesystem::remove_all(folder_); }
  void writeList(const std::string& text) const { std::ofstream(listPath_) << text; }
  std::string folder_ =
      testing::TempDir() + "endpoint-list-test-" + std::to_string(::getpid());  // tests run in parallel
  std::string listPath_ = folder_ + "/engines.json";
  std::string copyPath_ = folder_ + "/last.json";
  static constexpr const char* kTwoEndpoints = R"({"engines":[{"name":"a","address":"127.0.0.1:1","kind":"k"},
    {"name":"b","address":"127.0.0.1:2","kind":"k","state":"draining","started_ms":5}]})";
};

TEST_F(EndpointListFileTest, KeepsTheLastValidListWhenTheFileIsInvalid) {
  membership::EndpointListFile list(listPath_, copyPath_);
  EXPECT_FALSE(list.refresh().hasChanged);
  writeList(kTwoEndpoints);
  EXPECT_TRUE(list.refresh().hasChanged);
  for (const char* invalidText : {"", "{", R"({"engines":[{"name":"a","addr)", "[]", R"({"servers":[]})"}) {
    writeList(invalidText);
    const auto change = list.refresh();
    EXPECT_FALSE(change.hasChanged) << invalidText;
    EXPECT_EQ(change.errors.size(), 1u) << invalidText;
    EXPECT_EQ(list.endpoints().size(), 2u);
    EXPECT_TRUE(list.refresh().errors.empty()) << "reported once";
  }
  std::filesystem::remove(listPath_);
  EXPECT_EQ(list.refresh().errors.size(), 1u);
  EXPECT_EQ(list.endpoints().size(), 2u);
  writeList(R"({"engines":[]})");
  EXPECT_TRUE(list.refresh().hasChanged);
}

TEST_F(EndpointListFileTest, KeepsThePreviousEndpointAndReportsTheLineWhenAnEntryIsInvalid) {
  membership::EndpointListFile list(listPath_, copyPath_);
  writeList(kTwoEndpoints);
  list.refresh();
  writeList(
      "{\"engines\":[\n{\"name\":\"a\",\"address\":\"nowhere\",\"kind\":\"k\"},\n{\"name\":\"c\",\"address\":"
      "\"127.0.0.1:3\",\"kind\":\"k\"}]}");
  const auto change = list.refresh();
  ASSERT_EQ(change.errors.size(), 1u);
  EXPECT_NE(change.errors[0].message.find("engines.json:2: engines[0].address: HOST:PORT"), std::string::npos)
      << change.errors[0].message;
  EXPECT_EQ(list.endpoints().size(), 2u);
  EXPECT_EQ(list.endpoints().at("a").port, 1);
}

// Prevents an outdated list from being loaded after a restart, which happened when writing the copy was not
// retried after its first failure.
TEST_F(EndpointListFileTest, RetriesWritingTheCopyUntilItSucceeds) {
  const std::string folder = folder_ + "/not-there-yet";
  membership::EndpointListFile list(listPath_, folder + "/last.json");
  writeList(kTwoEndpoints);
  EXPECT_EQ(list.refresh().errors.size(), 1u);
  EXPECT_TRUE(list.refresh().errors.empty()) << "reported once";
  std::filesystem::create_directories(folder);
  EXPECT_TRUE(list.refresh().errors.empty());
  membership::EndpointListFile restarted(listPath_ + ".none", folder + "/last.json");
  std::vector<membership::EndpointListError> errors;
  ASSERT_TRUE(restarted.loadCopy(errors));
  EXPECT_EQ(restarted.endpoints().size(), 2u);
}

TEST_F(EndpointListFileTest, LoadsTheLastValidListAfterARestart) {
  {
    membership::EndpointListFile list(listPath_, copyPath_);
    writeList(kTwoEndpoints);
    list.refresh();
  }
  std::filesystem::remove(listPath_);
  membership::EndpointListFile restarted(listPath_, copyPath_);
  std::vector<membership::EndpointListError> errors;
  EXPECT_FALSE(restarted.refresh().hasChanged);
  ASSERT_TRUE(restarted.loadCopy(errors));
  EXPECT_EQ(restarted.endpoints().at("b").state, EndpointState::draining);
  EXPECT_EQ(restarted.endpoints().at("b").startedAt.sinceEpoch, 5000);
  std::ofstream(copyPath_)
      << "{\"engines\": [ {";  // a truncated copy; replaceFile itself never leaves one after a crash
  membership::EndpointListFile broken(listPath_, copyPath_);
  EXPECT_FALSE(broken.loadCopy(errors));
  EXPECT_EQ(errors.size(), 1u);
}

}  // namespace
}  // namespace garnethook
