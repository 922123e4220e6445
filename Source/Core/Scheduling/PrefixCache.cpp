#include "Scheduling/PrefixCache.h"

namespace shallotbeam::scheduling {

namespace {

// Takes about 7 MiB.
constexpr std::size_t kMaxParts = 65'536;

}  // namespace

int PrefixCache::CachedTokens(const common::Prompt& prompt) const {
  int cached = 0;
  for (std::size_t i = 0; i < prompt.parts.size(); ++i) {
    if (by_key_.count(common::PrefixKey(prompt.parts, i + 1)) == 0) break;
    cached += prompt.parts[i].tokens;
  }
  return cached;
}

void PrefixCache::Insert(const common::Prompt& prompt) {
  // Goes from the last part to the first, so that a part is evicted before the
  // parts that it depends on.
  for (std::size_t i = prompt.parts.size(); i > 0; --i) {
    const std::uint64_t key = common::PrefixKey(prompt.parts, i);
    const auto it = by_key_.find(key);
    if (it != by_key_.end()) {
      parts_.splice(parts_.begin(), parts_, it->second);
      continue;
    }
    const int tokens = prompt.parts[i - 1].tokens;
    parts_.push_front({.key = key, .tokens = tokens});
    by_key_[key] = parts_.begin();
    tokens_ += tokens;
  }
  EvictTo(tokens_);
}

void PrefixCache::EvictTo(double tokens) {
  while (!parts_.empty() && (tokens_ > tokens || parts_.size() > kMaxParts)) {
    tokens_ -= parts_.back().tokens;
    by_key_.erase(parts_.back().key);
    parts_.pop_back();
  }
}

void PrefixCache::Clear() {
  parts_.clear();
  by_key_.clear();
  tokens_ = 0;
}

}  // namespace shallotbeam::scheduling
