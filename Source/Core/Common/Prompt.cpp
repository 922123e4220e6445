#include "Common/Prompt.h"

#include <algorithm>
#include <limits>

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

void ShortenParts(Prompt& prompt) {
  std::vector<PromptPart>& parts = prompt.parts;
  if (parts.empty()) return;
  parts.erase(
      std::remove_if(parts.begin(), parts.end() - 1,
                     [](const PromptPart& it) { return it.tokens <= 0; }),
      parts.end() - 1);
  parts.back().tokens = std::max(parts.back().tokens, 0);
  // Sums of the tokens must fit into an int.
  int left = std::numeric_limits<int>::max();
  for (PromptPart& it : parts) {
    it.tokens = std::min(it.tokens, left);
    left -= it.tokens;
  }
  if (parts.size() > kMaxPromptParts) {
    const std::size_t kept = kMaxPromptParts - 2;
    const auto first = parts.begin() + static_cast<std::ptrdiff_t>(kept);
    const std::vector<PromptPart> merged(first, parts.end() - 1);
    PromptPart middle{.id = PrefixKey(merged, merged.size())};
    for (const PromptPart& it : merged) middle.tokens += it.tokens;
    *first = middle;
    parts.erase(first + 1, parts.end() - 1);
  }
  parts.shrink_to_fit();
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
