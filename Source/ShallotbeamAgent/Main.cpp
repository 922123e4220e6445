#include "Runtime/AgentProcess.h"
#include "Runtime/CommandLine.h"

int main(int argc, char** argv) {
  namespace runtime = shallotbeam::runtime;
  runtime::AgentSettings settings;
  return runtime::RunProgram({.name = "shallotbeam-agent",
                              .version = SHALLOTBEAM_VERSION,
                              .keys = runtime::AgentKeys(&settings),
                              .log_levels = &settings.log_levels,
                              .run =
                                  [&] {
                                    if (settings.upstream_name.empty()) {
                                      settings.upstream_name.value =
                                          settings.name.value;
                                    }
                                    return runtime::RunAgent(settings);
                                  }},
                             {argv + 1, argv + argc});
}
