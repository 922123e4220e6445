#ifndef SHALLOTBEAM_CORE_COMMON_PROMPT_H_
#define SHALLOTBEAM_CORE_COMMON_PROMPT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace shallotbeam::common {

// A run of prompt tokens that other requests may share.
struct PromptPart {
  std::uint64_t id = 0;
  int tokens = 0;

  friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

// Size and composition of a prompt for a model engine. An engine keeps a part
// in its cache only together with all parts before it; the last part belongs to
// the request or its session alone.
struct Prompt {
  std::string model;
  int prompt_tokens = 0;
  int max_output_tokens = 0;
  // The caller's estimate; right at the median, often far off.
  int expected_output_tokens = 0;
  std::vector<PromptPart> parts;  // in prompt order
};

// Identifies the first `count` parts of a prompt, in order.
std::uint64_t PrefixKey(const std::vector<PromptPart>& parts,
                        std::size_t count);

// Tokens of the parts that a prompt shares with others.
int SharedTokens(const Prompt& prompt);

// Service of a request as shares are counted: each token that is read counts
// once, each generated one twice.
double ServiceTokens(const Prompt& prompt);

// Identifies what a prompt shares with others: all parts but the last. Zero if
// nothing is shared.
std::uint64_t SharedPrefixKey(const Prompt& prompt);

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_PROMPT_H_
