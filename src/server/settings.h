/// Settings file of the standalone router: JSON with comments, unknown keys are errors. docs/configuration.md
/// describes the keys.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "config/json_file.h"
#include "engine/options.h"
#include "grpc_frontend/grpc_server.h"
#include "membership/endpoint_spec.h"
#include "routing/options.h"
#include "server/token_counts.h"

namespace garnethook::server {

/// Section `log`.
struct LogSettings {
  std::string level = "info";  ///< debug, info, warn or error
  std::string file;            ///< empty: standard error
};

/// The complete settings of a RouterServer.
struct RouterSettings {
  std::string listen = "127.0.0.1:7070";  ///< host:port of the gRPC server
  std::vector<std::string> classNames;    ///< request classes, in the order of the routing settings
  membership::KindAndZoneNames names;     ///< engine kinds and zones
  routing::Options routing;               ///< routing core and policy
  engine::Options engine;                 ///< connections to the engines
  grpc_frontend::GrpcOptions grpc;        ///< connections of the clients
  grpc_frontend::RequestDecoderOptions requestDecoder;  ///< limits and defaults of requests
  CountingSettings counting;                            ///< token counting
  std::string listPath;                                 ///< the endpoint list file
  std::string stateFolder;                              ///< empty: no state survives a restart
  Micros listPollInterval = 250'000;                    ///< between two reads of the endpoint list
  Micros shutdownTimeout = 10'000'000;                  ///< for requests that are open at SIGTERM
  LogSettings log;                                      ///< level and file of the log
};

/// Reads the settings; throws config::Error, which names file, line and key.
/// @param listPath replaces engines.list, which may then be absent
RouterSettings readSettings(const config::Node& root, const std::string& listPath = {});

}  // namespace garnethook::server
