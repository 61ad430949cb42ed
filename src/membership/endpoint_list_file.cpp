#include "membership/endpoint_list_file.h"

#include <system_error>
#include <utility>

#include "config/file_text.h"
#include "config/json_file.h"
#include "membership/endpoint_list_format.h"
#include "membership/endpoint_list_merge.h"
#include "membership/file_replacement.h"

namespace garnethook::membership {
namespace {

constexpr std::size_t kMaxListBytes = std::size_t{16} << 20;

using Code = EndpointListError::Code;

}  // namespace

EndpointListFile::EndpointListFile(std::string path, std::string copyPath)
    : path_(std::move(path)), copyPath_(std::move(copyPath)) {}

EndpointListFile::Change EndpointListFile::refresh() {
  Change change;
  if (isCopyOutdated_) writeCopy(change.errors);
  std::string text;
  try {
    text = config::readFileText(path_);
  } catch (const std::system_error&) {
    if (!std::exchange(isMissing_, true))
      change.errors.push_back(
          {Code::fileUnreadable, path_ + ": cannot be read; the last valid list stays in use"});
    lastText_.clear();
    return change;
  }
  isMissing_ = false;
  if (text == lastText_) return change;
  lastText_ = text;
  applyText(text, change);
  return change;
}

void EndpointListFile::applyText(std::string_view text, Change& change) {
  try {
    if (text.size() > kMaxListBytes) throw config::Error(path_ + ": larger than 16 MiB");
    EndpointMap newEndpoints =
        readEndpointList(config::JsonFile::parse(path_, text), endpoints_, change.errors);
    change.hasChanged = newEndpoints != endpoints_ || endpoints_.empty();
    endpoints_ = std::move(newEndpoints);
    if (change.hasChanged) writeCopy(change.errors);
  } catch (const config::Error& error) {
    change.errors.push_back(
        {Code::listInvalid, std::string(error.what()) + "; the last valid list stays in use"});
  }
}

// Disk errors can be temporary, so writing the copy is retried until it succeeds; the error is reported once.
void EndpointListFile::writeCopy(std::vector<EndpointListError>& errors) {
  if (copyPath_.empty()) return;
  const bool wasReported = std::exchange(isCopyOutdated_, false);
  try {
    replaceFile(copyPath_, serializeEndpointList(endpoints_));
  } catch (const std::runtime_error& error) {
    isCopyOutdated_ = true;
    if (!wasReported) errors.push_back({Code::copyNotWritten, error.what()});
  }
}

bool EndpointListFile::loadCopy(std::vector<EndpointListError>& errors) {
  if (copyPath_.empty()) return false;
  try {
    endpoints_ = readEndpointList(config::JsonFile::load(copyPath_), {}, errors);
    return true;
  } catch (const config::Error& error) {
    errors.push_back({Code::copyUnusable, error.what()});
    return false;
  }
}

}  // namespace garnethook::membership
