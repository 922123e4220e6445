#include "Commands.h"
#include "Runtime/CommandLine.h"
#include "Runtime/RouterProcess.h"

namespace shallotbeam::commands {

int Router(const Arguments& arguments) {
  runtime::RouterSettings settings;
  return runtime::RunProgram(
      {.name = "shallotbeam router",
       .version = SHALLOTBEAM_VERSION,
       .keys = runtime::RouterKeys(&settings),
       .log_levels = &settings.log_levels,
       .run = [&] { return runtime::RunRouter(settings); }},
      arguments);
}

}  // namespace shallotbeam::commands
