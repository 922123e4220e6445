#include "Common/Json.h"

namespace shallotbeam::common {

nlohmann::json ParseJson(std::string_view text) {
  using nlohmann::json;
  constexpr int kMaxDepth = 64;
  bool too_deep = false;
  json value = json::parse(
      text.begin(), text.end(),
      [&too_deep](int depth, json::parse_event_t /*event*/, json& /*parsed*/) {
        too_deep = too_deep || depth > kMaxDepth;
        return !too_deep;
      },
      /*allow_exceptions=*/false);
  return too_deep ? json(json::value_t::discarded) : value;
}

}  // namespace shallotbeam::common
