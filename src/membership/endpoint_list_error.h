/// Errors of the endpoint list and of its persisted copy while the process runs.
#pragma once

#include <string>

namespace garnethook::membership {

/// An error that is logged. The previous list stays in use.
struct EndpointListError {
  /// What failed.
  enum class Code {
    fileUnreadable,  ///< The list file is missing or cannot be read.
    listInvalid,     ///< The file is not an endpoint list.
    entryInvalid,    ///< An entry of the list is invalid.
    copyNotWritten,  ///< The persisted copy could not be replaced.
    copyUnusable     ///< The persisted copy cannot be read or is invalid.
  };
  Code code = Code::listInvalid;  ///< What failed.
  std::string message;            ///< Human-readable; names the file and, where known, line and key.
};

}  // namespace garnethook::membership
