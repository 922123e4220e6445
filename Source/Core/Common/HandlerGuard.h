#ifndef SHALLOTBEAM_CORE_COMMON_HANDLERGUARD_H_
#define SHALLOTBEAM_CORE_COMMON_HANDLERGUARD_H_

#include <cstdint>
#include <string_view>

#include "absl/functional/function_ref.h"

// Limits an unexpected exception to the handler of the event that caused it.
namespace shallotbeam::common {

// Runs `action`. An exception ends the action only and is logged with the name
// of the handler. Returns whether the action ended without one.
bool RunGuarded(std::string_view handler, absl::FunctionRef<void()> action);

// Number of actions that ended with an exception. Thread-safe.
std::uint64_t HandlerFailures();

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_HANDLERGUARD_H_
