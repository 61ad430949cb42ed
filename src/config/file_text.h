/// Reads whole files and retries transient errors.
#pragma once

#include <string>

namespace garnethook::config {

/// Returns the text of the file at `path`. A call that is interrupted or fails for lack of descriptors or
/// memory, or with an I/O error, is retried for up to about 50 ms while the caller blocks. Throws
/// std::system_error with the path in its message if the file cannot be read.
std::string readFileText(const std::string& path);

/// Whether an error number is transient, so that reading the file may succeed if retried.
bool isTransientError(int error);

}  // namespace garnethook::config
