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
  std::string file;      // the file in which the value stands
  std::string path;      // key path, for example "kinds.chat.urgency"
  std::string expected;  // what belongs there
  std::string found;     // what stands there
  int line = 0;          // of a syntax error, else 0
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

// Parses a merged document or a published value that contains one. Returns
// kInvalidArgument with the first problem. Unknown keys are ignored: during an
// upgrade an old process must accept a document that uses a newer key.
absl::StatusOr<FleetConfig> ParseDocument(std::string_view document);

std::string ToString(const Problem& problem);

// The problems as a JSON list of objects.
std::string ToJson(const std::vector<Problem>& problems);

}  // namespace shallotbeam::config

#endif  // SHALLOTBEAM_CORE_CONFIG_DOCUMENT_H_
