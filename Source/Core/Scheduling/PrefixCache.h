#ifndef SHALLOTBEAM_CORE_SCHEDULING_PREFIXCACHE_H_
#define SHALLOTBEAM_CORE_SCHEDULING_PREFIXCACHE_H_

#include <cstdint>
#include <list>
#include <unordered_map>

#include "Common/Prompt.h"

namespace shallotbeam::scheduling {

// Model of an engine's prefix cache, from the prompts that were sent to it: the
// least recently used parts yield.
class PrefixCache {
 public:
  // Tokens at the front of the prompt that the engine need not read again.
  int CachedTokens(const common::Prompt& prompt) const;

  // The engine has begun to read the prompt.
  void Use(const common::Prompt& prompt);

  // Drops the least recently used parts beyond `tokens`.
  void Shrink(double tokens);

  void Clear();

  double Tokens() const { return tokens_; }

 private:
  struct Part {
    std::uint64_t key = 0;  // of the prefix that ends with the part
    int tokens = 0;
  };

  std::list<Part> parts_;  // the most recently used first
  std::unordered_map<std::uint64_t, std::list<Part>::iterator> by_key_;
  double tokens_ = 0;
};

}  // namespace shallotbeam::scheduling

#endif  // SHALLOTBEAM_CORE_SCHEDULING_PREFIXCACHE_H_
