// The list of engines: its file format, what of a faulty list may be used, and the copy that survives a
// restart. Parsing and merging are free of I/O; EndpointListFile reads and writes.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/json_file.h"
#include "policy/routing_policy.h"

namespace garnethook::membership {

struct EndpointSpec {
  std::string name;
  EndpointId id;  // from the name, equal at every router
  std::string host;
  std::uint16_t port = 0;
  std::string kind;
  std::string zone;
  std::string cell;
  EndpointState state = EndpointState::running;
  double weight = 1;      // size beside other engines; lists that tell none leave 1
  Micros startedAt = 0;   // since 1970; 0: long ago
  std::string tokeniser;  // name; empty: the list tells none
  std::string tokeniserVersion;
  friend bool operator==(const EndpointSpec&, const EndpointSpec&) = default;
};
using EndpointMap = std::map<std::string, EndpointSpec>;  // by name

EndpointId endpointId(std::string_view name);

// The names that the settings know, to place kinds and zones.
struct Names {
  std::vector<std::string> kinds;
  std::vector<std::string> zones;
};

// Reads one list: { "engines": [ { "name", "address": "HOST:PORT", "kind", "zone", "cell", "state",
// "started_ms",
// "tokeniser": { "name", "version" } } ] }. An entry that can't be used is told in `troubles` and keeps what
// `before` holds under its name; a file that is no list throws config::Error, and `before` stands.
EndpointMap readList(const std::shared_ptr<const config::JsonFile>& file, const EndpointMap& before,
                     std::vector<std::string>& errors);

// The same list for the decision module. A kind or zone that the settings don't know is left open there.
EndpointUpdate toEndpointUpdate(const EndpointMap& engines, const Names& names, EndpointUpdate::Kind kind);

// As a file that readList() takes.
std::string writeList(const EndpointMap& engines);

// A watched list file, and the last good list beside the router's own state.
class EndpointListFile {
 public:
  // `remembered`: path of the copy; empty: none is kept.
  EndpointListFile(std::string path, std::string remembered);

  struct Change {
    bool changed = false;  // `engines()` differs from before
    std::vector<std::string> errors;
  };
  // Looks at the file, and reads it where it is another one than at the last look. Never throws: a file that
  // is missing, cut short or no list leaves the engines as they were.
  Change look();
  // At start, where look() found nothing: the copy. False: there is none that can be used.
  bool recall(std::vector<std::string>& errors);
  const EndpointMap& engines() const { return engines_; }

 private:
  void remember(std::vector<std::string>& errors);
  std::string path_;
  std::string remembered_;
  std::string last_;  // text of the latest look
  bool missing_ = false;
  bool unsaved_ = false;  // the copy is older than `engines_`, as writing it failed: tried again at each look
  EndpointMap engines_;
};

// Replaces a file so that a crash leaves the old or the new text: a new file, flushed, renamed over it.
// Throws std::runtime_error naming the path.
void replaceFile(const std::string& path, std::string_view text);

}  // namespace garnethook::membership
