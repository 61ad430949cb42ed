// The router's settings file: JSON with comments, every key checked. docs/configuration.md lists the keys.
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

struct LogSettings {
  std::string level = "info";
  std::string file;  // empty: standard error
};

struct RouterSettings {
  std::string listen = "127.0.0.1:7070";
  std::vector<std::string> classNames;
  membership::KindAndZoneNames names;  // kinds and zones
  routing::Options routing;
  engine::Options engine;
  grpc_frontend::GrpcOptions grpc;
  grpc_frontend::IntakeOptions intake;
  CountingSettings counting;
  std::string listPath;
  std::string stateFolder;  // empty: nothing survives a restart
  Micros listPoll = 250'000;
  Micros stopWithin = 10'000'000;  // for requests that are open at SIGTERM
  LogSettings log;
};

// Throws config::Error naming file, line and key.
// `listPath`: in place of engines.list, which may then be absent.
RouterSettings readSettings(const config::Node& root, const std::string& listPath = {});

}  // namespace garnethook::server
