/// The endpoint list file that an operator maintains, and the persisted copy of the last valid list, which
/// serves a restart while the file is missing.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "membership/endpoint_list_error.h"
#include "membership/endpoint_spec.h"

namespace garnethook::membership {

/// A list file that is polled, with its persisted copy. Reads and writes files while the caller waits.
class EndpointListFile {
 public:
  /// `path`: the list file; `copyPath`: its persisted copy; empty: none is kept.
  EndpointListFile(std::string path, std::string copyPath);

  /// What a refresh brought.
  struct Change {
    bool hasChanged = false;                ///< endpoints() differs from before.
    std::vector<EndpointListError> errors;  ///< Each is reported once, not at every refresh.
  };
  /// Reads the file where its text differs from the last refresh. Never throws: a file that is missing, cut
  /// short or not a list leaves the endpoints as they were.
  Change refresh();
  /// Loads the persisted copy, for a start where refresh() found nothing. False: there is none that can be
  /// used.
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
  // Writing the copy failed: it is older than `endpoints_`, and is tried again at each refresh.
  bool isCopyOutdated_ = false;
  EndpointMap endpoints_;
};

}  // namespace garnethook::membership
