#ifndef SHALLOTBEAM_CORE_COMMON_NEARESTNAME_H_
#define SHALLOTBEAM_CORE_COMMON_NEARESTNAME_H_

#include <string>
#include <vector>

namespace shallotbeam::common {

// The known name with the smallest edit distance to `name`; empty if all are
// too different for `name` to be a likely misspelling.
std::string NearestName(const std::string& name,
                        const std::vector<std::string>& known);

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_NEARESTNAME_H_
