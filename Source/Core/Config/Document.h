#ifndef SHALLOTBEAM_CORE_CONFIG_DOCUMENT_H_
#define SHALLOTBEAM_CORE_CONFIG_DOCUMENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "Config/Model.h"
#include "absl/status/statusor.h"

namespace shallotbeam::config {

// One error in a configuration.
struct Problem {
  std::string file;      // file that contains the value
  std::string path;      // key path, for example "kinds.chat.urgency"
  std::string expected;  // description of a valid value
  std::string found;     // the invalid value, or a description of it
  int line = 0;          // line of a syntax error, otherwise 0
};

struct ParsedConfig {
  FleetConfig config;
  std::string document;  // merged JSON without comments
  std::vector<Problem> problems;
};

// Reads all *.json and *.jsonc files of a folder and merges them in the order
// of their names. Objects are merged key by key; other values replace earlier
// ones. Returns kNotFound if the folder has no such file or a file can't be
// read. `problems` lists all errors in the content.
absl::StatusOr<ParsedConfig> ReadFolder(const std::string& folder);

// Parses a merged document, or a published value that contains one. Returns
// kInvalidArgument with the first problem. Ignores unknown keys: during an
// upgrade, an old process must accept a document that uses a newer key.
absl::StatusOr<FleetConfig> ParseDocument(std::string_view document);

std::string ToString(const Problem& problem);

// Formats the problems as a JSON array of objects.
std::string ToJson(const std::vector<Problem>& problems);

}  // namespace shallotbeam::config

#endif  // SHALLOTBEAM_CORE_CONFIG_DOCUMENT_H_
