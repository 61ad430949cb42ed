// Days that the bench draws (`lbsim draw -o DAY.json`), as drill scripts scaled to one machine.
#pragma once

#include <memory>
#include <string>

#include "config/json_file.h"

namespace garnethook::fault_scenario {

struct ImportOptions {
  double seconds = 15;       // length of the drill's day
  std::size_t engines = 12;  // at most, over all zones
  std::size_t routers = 3;
  double perSecond = 60;
};

// The script as JSON text. Throws config::Error where the file is no day. Kept: zones, classes (aims,
// deadlines, effect, shares), roles, troubles with their times and shares. Scaled: sizes, rates, lengths.
// Troubles without a counterpart here are told in comments at the script's head.
std::string importDay(const std::shared_ptr<const config::JsonFile>& day, const ImportOptions& options);

}  // namespace garnethook::fault_scenario
