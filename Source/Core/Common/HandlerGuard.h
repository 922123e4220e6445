#ifndef SHALLOTBEAM_CORE_COMMON_HANDLERGUARD_H_
#define SHALLOTBEAM_CORE_COMMON_HANDLERGUARD_H_

#include <cstdint>
#include <functional>
#include <string_view>

// Limits an unexpected exception to the handler of the event that caused it.
namespace shallotbeam::common {

// Runs `action`. An exception ends the action only and is logged with the name
// of the handler.
void RunGuarded(std::string_view handler, const std::function<void()>& action);

// Number of actions that ended with an exception. Thread-safe.
std::uint64_t HandlerFailures();

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_HANDLERGUARD_H_
