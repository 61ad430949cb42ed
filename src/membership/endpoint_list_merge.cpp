#include "membership/endpoint_list_merge.h"

namespace garnethook::membership {
namespace {

// Keeps the endpoint that was previously listed under the name of an invalid entry.
void keepPreviousEndpoint(const std::string& name, const EndpointMap& previous, EndpointMap& endpoints) {
  const auto previousEntry = previous.find(name);
  if (previousEntry != previous.end()) endpoints.emplace(name, previousEntry->second);
}

std::string duplicateNameMessage(const ParsedEndpoint& entry) {
  try {
    entry.node.failAt("name", "\"" + entry.name + "\" is a duplicate");
  } catch (const config::Error& error) { return error.what(); }
}

}  // namespace

EndpointMap mergeEntries(const std::vector<ParsedEndpoint>& entries, const EndpointMap& previous,
                         std::vector<EndpointListError>& errors) {
  EndpointMap endpoints;
  for (const ParsedEndpoint& entry : entries) {
    if (entry.spec && endpoints.emplace(entry.name, *entry.spec).second) continue;
    errors.push_back(
        {EndpointListError::Code::entryInvalid, entry.spec ? duplicateNameMessage(entry) : entry.error});
    keepPreviousEndpoint(entry.name, previous, endpoints);
  }
  return endpoints;
}

EndpointMap readEndpointList(const std::shared_ptr<const config::JsonFile>& file, const EndpointMap& previous,
                             std::vector<EndpointListError>& errors) {
  const config::Node root(file);
  EndpointMap endpoints = mergeEntries(parseEntries(root), previous, errors);
  root.done();
  return endpoints;
}

}  // namespace garnethook::membership
