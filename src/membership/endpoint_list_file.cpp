#include "membership/endpoint_list_file.h"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <system_error>

#include "config/file_text.h"

namespace garnethook::membership {
namespace {

constexpr std::size_t kLargestList = 16u << 20;
const std::vector<std::string> kStates{"running", "draining", "gone"};

EndpointSpec readEntry(const config::Node& node) {
  EndpointSpec e;
  e.name = node.text("name");
  e.id = endpointId(e.name);
  const std::string address = node.text("address");
  const auto colon = address.rfind(':');
  int port = 0;
  const char* end = address.data() + address.size();
  if (colon == std::string::npos || colon == 0 ||
      std::from_chars(address.data() + colon + 1, end, port).ptr != end || port < 1 || port > 65'535)
    node.failAt("address", "HOST:PORT is wanted");
  e.host = address.substr(0, colon);
  e.port = static_cast<std::uint16_t>(port);
  e.kind = node.text("kind");
  e.zone = node.text("zone", "");
  e.cell = node.text("cell", "");
  e.state = static_cast<EndpointState>(node.choice("state", kStates, 0));
  e.startedAt = node.integer("started_ms", 0, 0, std::int64_t{1} << 50) * 1000;
  if (node.has("tokeniser")) {
    const config::Node t = node.object("tokeniser");
    e.tokeniser = t.text("name");
    e.tokeniserVersion = t.text("version", "");
    t.done();
  }
  node.done();
  return e;
}

std::optional<std::size_t> place(const std::vector<std::string>& names, const std::string& name) {
  const auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) return std::nullopt;
  return static_cast<std::size_t>(at - names.begin());
}

}  // namespace

EndpointId endpointId(std::string_view name) { return {XXH3_64bits(name.data(), name.size())}; }

EndpointMap readList(const std::shared_ptr<const config::JsonFile>& file, const EndpointMap& before,
                     std::vector<std::string>& errors) {
  const config::Node root(file);
  if (!root.has("engines")) root.failAt("engines", "is missing");
  EndpointMap out;
  for (const auto& node : root.array("engines")) {
    std::string name;
    try {
      name = node.text("name");
      EndpointSpec e = readEntry(node);
      if (!out.emplace(name, std::move(e)).second) node.failAt("name", "\"" + name + "\" stands twice");
    } catch (const config::Error& e) {
      errors.emplace_back(e.what());
      const auto at = before.find(name);
      if (at != before.end()) out.emplace(name, at->second);
    }
  }
  root.done();
  return out;
}

EndpointUpdate toEndpointUpdate(const EndpointMap& engines, const Names& names, EndpointUpdate::Kind kind) {
  EndpointUpdate list{kind, {}};
  for (const auto& [name, e] : engines) {
    EndpointEntry entry;
    entry.id = e.id;
    entry.kind = place(names.kinds, e.kind);
    entry.zone = place(names.zones, e.zone);
    entry.cell = XXH3_64bits(e.cell.data(), e.cell.size());
    entry.state = e.state;
    entry.startedAt = e.startedAt;
    entry.weight = e.weight;
    list.entries.push_back(entry);
  }
  return list;
}

std::string writeList(const EndpointMap& engines) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const auto& [name, e] : engines) {
    nlohmann::ordered_json entry{{"name", e.name},
                                 {"address", e.host + ":" + std::to_string(e.port)},
                                 {"kind", e.kind},
                                 {"zone", e.zone},
                                 {"cell", e.cell},
                                 {"state", kStates[static_cast<std::size_t>(e.state)]},
                                 {"started_ms", e.startedAt / 1000}};
    if (!e.tokeniser.empty()) entry["tokeniser"] = {{"name", e.tokeniser}, {"version", e.tokeniserVersion}};
    list.push_back(std::move(entry));
  }
  return nlohmann::ordered_json{{"engines", list}}.dump(2) + "\n";
}

EndpointListFile::EndpointListFile(std::string path, std::string remembered)
    : path_(std::move(path)), remembered_(std::move(remembered)) {}

EndpointListFile::Change EndpointListFile::look() {
  Change change;
  if (unsaved_) remember(change.errors);
  std::string text;
  try {
    text = config::readFileText(path_);
  } catch (const std::system_error&) {
    if (!std::exchange(missing_, true))
      change.errors.push_back(path_ + ": can't be read; the last list stands");
    last_.clear();
    return change;
  }
  missing_ = false;
  if (text == last_) return change;
  last_ = text;
  try {
    if (text.size() > kLargestList) throw config::Error(path_ + ": larger than 16 MiB");
    EndpointMap next = readList(config::JsonFile::parse(path_, text), engines_, change.errors);
    change.changed = next != engines_ || engines_.empty();
    engines_ = std::move(next);
    if (change.changed) remember(change.errors);
  } catch (const config::Error& e) {
    change.errors.push_back(std::string(e.what()) + "; the last list stands");
  }
  return change;
}

// A disk may refuse for a while: the copy is owed until it is written, and the trouble told once.
void EndpointListFile::remember(std::vector<std::string>& errors) {
  if (remembered_.empty()) return;
  const bool told = unsaved_;
  unsaved_ = false;
  try {
    replaceFile(remembered_, writeList(engines_));
  } catch (const std::runtime_error& e) {
    unsaved_ = true;
    if (!told) errors.emplace_back(e.what());
  }
}

bool EndpointListFile::recall(std::vector<std::string>& errors) {
  if (remembered_.empty()) return false;
  try {
    engines_ = readList(config::JsonFile::load(remembered_), {}, errors);
    return true;
  } catch (const config::Error& e) {
    errors.emplace_back(e.what());
    return false;
  }
}

void replaceFile(const std::string& path, std::string_view text) {
  const std::string fresh = path + ".new";
  const auto fail = [&](const char* what) {
    throw std::runtime_error(fresh + ": " + what + ": " + std::strerror(errno));
  };
  const int fd = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (fd < 0) fail("can't be made");
  std::size_t done = 0;
  while (done < text.size()) {
    const auto n = ::write(fd, text.data() + done, text.size() - done);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) {
      ::close(fd);
      fail("can't be written");
    }
    done += static_cast<std::size_t>(n);
  }
  const bool flushed = ::fsync(fd) == 0;
  ::close(fd);
  if (!flushed) fail("can't be flushed");
  if (::rename(fresh.c_str(), path.c_str()) != 0) fail("can't be renamed");
  const auto slash = path.rfind('/');
  const std::string folder = slash == std::string::npos ? "." : path.substr(0, slash + 1);
  const int dir = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (dir >= 0) {
    ::fsync(dir);
    ::close(dir);
  }
}

}  // namespace garnethook::membership
