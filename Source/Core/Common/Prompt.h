#ifndef SHALLOTBEAM_CORE_COMMON_PROMPT_H_
#define SHALLOTBEAM_CORE_COMMON_PROMPT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace shallotbeam::common {

// A section of a prompt that other requests may share.
struct PromptPart {
  std::uint64_t id = 0;
  int tokens = 0;

  friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

// Size and composition of a prompt for a model engine. An engine caches a part
// only together with all parts before it, as a prefix. The last part belongs to
// the request or its session alone.
struct Prompt {
  std::string model;
  int prompt_tokens = 0;
  int max_output_tokens = 0;
  // The caller's estimate. Correct at the median, but single estimates are
  // often far off.
  int expected_output_tokens = 0;
  std::vector<PromptPart> parts;  // in prompt order
};

// Cache key of the prefix that consists of the first `count` parts of a prompt.
// Depends on their order.
std::uint64_t PrefixKey(const std::vector<PromptPart>& parts,
                        std::size_t count);

// Longest list of parts that is kept of a prompt.
inline constexpr std::size_t kMaxPromptParts = 32;

// Shortens the list of a prompt to `kMaxPromptParts` parts, so that what is
// kept and computed for a request does not grow with its head. Shared parts
// without tokens, which no cache holds, are dropped. Of a longer list, the
// first parts and the last one stay, and those between them become one part,
// which is the same only for the same parts in the same order. The sum of the
// tokens stays, but is at most the largest int.
void ShortenParts(Prompt& prompt);

// Number of tokens in a prompt's shared prefix: all parts but the last.
int SharedTokens(const Prompt& prompt);

// Service of a request, in the unit of fair shares: a prompt token counts once,
// an output token twice. Uses the estimated output length.
double ServiceTokens(const Prompt& prompt);

// Key of the shared prefix of a prompt: all parts but the last. Zero if nothing
// is shared.
std::uint64_t SharedPrefixKey(const Prompt& prompt);

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_PROMPT_H_
