#ifndef SHALLOTBEAM_CORE_COMMON_STATUSTEXT_H_
#define SHALLOTBEAM_CORE_COMMON_STATUSTEXT_H_

#include <string_view>

#include "absl/status/status.h"

namespace shallotbeam::common {

// The message of a status. Debian builds absl::string_view as a type of its
// own, which fmt does not format.
inline std::string_view MessageOf(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_STATUSTEXT_H_
