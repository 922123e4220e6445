#ifndef SHALLOTBEAM_SHALLOTBEAM_COMMANDS_H_
#define SHALLOTBEAM_SHALLOTBEAM_COMMANDS_H_

#include <ostream>
#include <string>
#include <vector>

// The commands of the shallotbeam program. Each takes its arguments and returns
// one of the exit codes in Runtime/CommandLine.h.
namespace shallotbeam::commands {

using Arguments = std::vector<std::string>;

struct Console {
  std::ostream& out;
  std::ostream& err;
};

int Router(const Arguments& arguments);
int Status(const Arguments& arguments, const Console& console);
int ConfigCheck(const Arguments& arguments, const Console& console);
int ConfigPublish(const Arguments& arguments, const Console& console);
int ConfigShow(const Arguments& arguments, const Console& console);
int ConfigStatus(const Arguments& arguments, const Console& console);
// Prints the log lines of several processes about one request.
int Explain(const Arguments& arguments, const Console& console);

}  // namespace shallotbeam::commands

#endif  // SHALLOTBEAM_SHALLOTBEAM_COMMANDS_H_
