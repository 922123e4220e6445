#include "Common/Prompt.h"

namespace shallotbeam::common {

std::uint64_t PrefixKey(const std::vector<PromptPart>& parts,
                        std::size_t count) {
  // The multiplication makes the key depend on the order of the parts; an odd
  // factor loses no information.
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15U;
  std::uint64_t key = 0;
  for (std::size_t i = 0; i < count && i < parts.size(); ++i) {
    key = (key ^ parts[i].id) * kMultiplier;
    key ^= key >> 32U;
  }
  return key;
}

std::uint64_t SharedPrefixKey(const Prompt& prompt) {
  return prompt.parts.empty()
             ? 0
             : PrefixKey(prompt.parts, prompt.parts.size() - 1);
}

double ServiceTokens(const Prompt& prompt) {
  constexpr double kOutputWeight = 2;
  return prompt.prompt_tokens + kOutputWeight * prompt.expected_output_tokens;
}

int SharedTokens(const Prompt& prompt) {
  int tokens = 0;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    tokens += prompt.parts[i].tokens;
  }
  return tokens;
}

}  // namespace shallotbeam::common
