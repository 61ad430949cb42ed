/// Reading a whole file, where calls may fail for a moment.
#pragma once

#include <string>

namespace garnethook::config {

/// The text of the file at `path`. A call that was interrupted, or failed for want of a descriptor, of memory
/// or of the disk's answer, is made again for up to about 50 ms, while the caller waits. Throws
/// std::system_error, naming the path, where the file can't be read.
std::string readFileText(const std::string& path);

/// Whether reading a file may succeed a moment after it failed with this error number.
bool isTransientError(int error);

}  // namespace garnethook::config
