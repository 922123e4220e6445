#ifndef SHALLOTBEAM_SHALLOTBEAM_COMMANDS_H_
#define SHALLOTBEAM_SHALLOTBEAM_COMMANDS_H_

#include <string>
#include <vector>

// The commands of the shallotbeam program. Each takes its arguments and returns
// an exit code.
namespace shallotbeam::commands {

using Arguments = std::vector<std::string>;

int Router(const Arguments& arguments);
int Status(const Arguments& arguments);
int ConfigCheck(const Arguments& arguments);
int ConfigPublish(const Arguments& arguments);
int ConfigShow(const Arguments& arguments);
int ConfigStatus(const Arguments& arguments);

}  // namespace shallotbeam::commands

#endif  // SHALLOTBEAM_SHALLOTBEAM_COMMANDS_H_
