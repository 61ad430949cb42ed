/// The endpoint list file that an operator maintains, and the persisted copy of the last valid list, which is
/// loaded after a restart while the file is missing.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "membership/endpoint_list_error.h"
#include "membership/endpoint_spec.h"

namespace garnethook::membership {

/// A list file that is polled, with its persisted copy. File I/O is synchronous and blocks the caller.
class EndpointListFile {
 public:
  /// `path`: the list file; `copyPath`: its persisted copy, or empty to keep none.
  EndpointListFile(std::string path, std::string copyPath);

  /// The result of a refresh.
  struct Change {
    bool hasChanged = false;                ///< endpoints() has changed, or was empty before.
    std::vector<EndpointListError> errors;  ///< Each error is reported once, not at every refresh.
  };
  /// Applies the file if its text differs from the last refresh. Never throws: a file that is missing,
  /// truncated or not an endpoint list leaves the endpoints unchanged.
  Change refresh();
  /// Loads the persisted copy, for a start at which refresh() found no list. Returns false if there is no
  /// usable copy.
  bool loadCopy(std::vector<EndpointListError>& errors);
  /// The endpoints of the last valid list.
  const EndpointMap& endpoints() const { return endpoints_; }

 private:
  void applyText(std::string_view text, Change& change);
  void writeCopy(std::vector<EndpointListError>& errors);

  std::string path_;
  std::string copyPath_;
  std::string lastText_;
  bool isMissing_ = false;
  // Writing the copy failed: it is older than `endpoints_`, and writing is retried at each refresh.
  bool isCopyOutdated_ = false;
  EndpointMap endpoints_;
};

}  // namespace garnethook::membership
