#ifndef SHALLOTBEAM_CORE_CONFIG_DOCUMENT_H_
#define SHALLOTBEAM_CORE_CONFIG_DOCUMENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "Config/Model.h"
#include "absl/status/statusor.h"

namespace shallotbeam::config {

// One mistake in a configuration.
struct Problem {
  std::string file;
  std::string path;      // key path, for example "kinds.chat.urgency"
  std::string expected;  // what belongs there
  std::string found;     // what stands there
};

struct ParsedConfig {
  FleetConfig config;
  std::string document;  // merged JSON without comments
  std::vector<Problem> problems;
};

// Reads all *.json and *.jsonc files of a folder and merges them in the order
// of their names; objects merge key by key, later values replace earlier ones.
// Returns kNotFound if the folder holds no such file. Mistakes in the content
// are listed in `problems`, all of them.
absl::StatusOr<ParsedConfig> ReadFolder(const std::string& folder);

// Parses a merged document. Returns kInvalidArgument with the first problem.
absl::StatusOr<FleetConfig> ParseDocument(std::string_view document);

std::string ToString(const Problem& problem);

}  // namespace shallotbeam::config

#endif  // SHALLOTBEAM_CORE_CONFIG_DOCUMENT_H_
