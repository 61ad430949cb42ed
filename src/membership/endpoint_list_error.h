/// What can go wrong with an endpoint list and its persisted copy while the process runs.
#pragma once

#include <string>

namespace garnethook::membership {

/// An error that is logged; the list that was in use before stays in use.
struct EndpointListError {
  /// What failed.
  enum class Code {
    fileUnreadable,  ///< The list file is missing or cannot be read.
    listInvalid,     ///< The file is not an endpoint list.
    entryInvalid,    ///< One entry of the list cannot be used.
    copyNotWritten,  ///< The persisted copy could not be replaced.
    copyUnusable     ///< The persisted copy cannot be read.
  };
  Code code = Code::listInvalid;  ///< What failed.
  std::string message;            ///< For people: names the file, and its line and key where there are any.
};

}  // namespace garnethook::membership
