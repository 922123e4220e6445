#ifndef SHALLOTBEAM_CORE_SCHEDULING_PREFIXCACHE_H_
#define SHALLOTBEAM_CORE_SCHEDULING_PREFIXCACHE_H_

#include <cstdint>
#include <list>
#include <unordered_map>

#include "Common/Prompt.h"

namespace shallotbeam::scheduling {

// Model of an engine's prefix cache, derived from the prompts that were sent to
// the engine. The least recently used parts are evicted first.
class PrefixCache {
 public:
  // Returns the length, in tokens, of the prompt's prefix that is cached.
  int CachedTokens(const common::Prompt& prompt) const;

  // Adds the parts of a prompt that the engine has begun to process, or marks
  // them as most recently used.
  void Insert(const common::Prompt& prompt);

  // Evicts the least recently used parts until at most `tokens` remain. The
  // number of parts is limited too, also by Insert().
  void EvictTo(double tokens);

  void Clear();

  double Tokens() const { return tokens_; }

 private:
  struct Part {
    std::uint64_t key = 0;  // of the prefix that ends with the part
    int tokens = 0;
  };

  std::list<Part> parts_;  // most recently used first
  std::unordered_map<std::uint64_t, std::list<Part>::iterator> by_key_;
  double tokens_ = 0;
};

}  // namespace shallotbeam::scheduling

#endif  // SHALLOTBEAM_CORE_SCHEDULING_PREFIXCACHE_H_
