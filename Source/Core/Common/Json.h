#ifndef SHALLOTBEAM_CORE_COMMON_JSON_H_
#define SHALLOTBEAM_CORE_COMMON_JSON_H_

#include <nlohmann/json.hpp>
#include <string_view>

namespace shallotbeam::common {

// Parses a document of another process. A discarded value results from text
// that is malformed or nested more deeply than any document of ours: copying
// and printing a value recurses, so that deep nesting would end the process.
nlohmann::json ParseJson(std::string_view text);

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_JSON_H_
