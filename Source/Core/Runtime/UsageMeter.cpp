#include "Runtime/UsageMeter.h"

#include <nlohmann/json.hpp>

namespace shallotbeam::runtime {

namespace {

using nlohmann::json;

// Longer lines are truncated, which bounds the memory. An exact count is not
// needed for such lines.
constexpr std::size_t kMaxLineBytes = 65'536;

void ReadUsage(UsageMeter& meter, const json& response) {
  const auto usage = response.find("usage");
  if (usage == response.end() || !usage->is_object()) return;
  const auto read = [&](const char* key, std::uint64_t* value) {
    const auto it = usage->find(key);
    if (it != usage->end() && it->is_number_unsigned()) {
      *value = it->get<std::uint64_t>();
    }
  };
  read("prompt_tokens", &meter.prompt_tokens);
  read("completion_tokens", &meter.generated_tokens);
}

void FeedLine(UsageMeter& meter, std::string_view line) {
  constexpr std::string_view kData = "data:";
  if (!line.starts_with(kData)) return;
  if (line.find("[DONE]") != std::string_view::npos) return;
  if (line.find("\"usage\"") == std::string_view::npos) {
    ++meter.generated_tokens;
    return;
  }
  FeedCompleteBody(meter, line.substr(kData.size()));
}

}  // namespace

void FeedEventStream(UsageMeter& meter, std::string_view piece) {
  while (!piece.empty()) {
    const std::size_t end = piece.find('\n');
    if (meter.partial_line.size() < kMaxLineBytes) {
      meter.partial_line.append(piece.substr(0, end));
    }
    if (end == std::string_view::npos) return;
    FeedLine(meter, meter.partial_line);
    meter.partial_line.clear();
    piece.remove_prefix(end + 1);
  }
}

void FeedCompleteBody(UsageMeter& meter, std::string_view body) {
  const json response = json::parse(body.begin(), body.end(), nullptr,
                                    /*allow_exceptions=*/false);
  if (response.is_object()) ReadUsage(meter, response);
}

}  // namespace shallotbeam::runtime
