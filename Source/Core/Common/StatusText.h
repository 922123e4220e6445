#ifndef SHALLOTBEAM_CORE_COMMON_STATUSTEXT_H_
#define SHALLOTBEAM_CORE_COMMON_STATUSTEXT_H_

#include <string_view>

#include "absl/status/status.h"

namespace shallotbeam::common {

// The message of a status as std::string_view. Debian builds absl::string_view
// as a separate type, which fmt can't format.
inline std::string_view MessageOf(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_STATUSTEXT_H_
