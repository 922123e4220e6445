#include "EngineStandIn/Model.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <functional>

namespace shallotbeam::engine_stand_in {

namespace {

constexpr std::size_t kBytesPerToken = 4;

}  // namespace

std::size_t TokensIn(std::string_view prompt) {
  return prompt.size() / kBytesPerToken;
}

double SlowdownOf(const ModelOptions& options, int running) {
  return std::max(1.0, static_cast<double>(running) / options.batch);
}

Milliseconds PrefillTime(const ModelOptions& options, std::size_t tokens,
                         std::size_t cached) {
  const auto uncached = static_cast<double>(tokens - std::min(cached, tokens));
  return options.first_token +
         Milliseconds(uncached / options.prefill_tokens_per_ms);
}

PrefixCache::PrefixCache(std::size_t capacity_tokens)
    : max_blocks_(capacity_tokens / kBlockTokens) {}

std::size_t PrefixCache::Touch(std::string_view prompt) {
  constexpr std::size_t kBlockBytes = kBlockTokens * kBytesPerToken;
  std::size_t hash = 0;
  std::size_t cached = 0;
  bool hit = true;
  while (prompt.size() >= kBlockBytes) {
    // The hash covers the whole prefix up to the end of the block.
    boost::hash_combine(
        hash, std::hash<std::string_view>()(prompt.substr(0, kBlockBytes)));
    prompt.remove_prefix(kBlockBytes);
    const auto it = blocks_.find(hash);
    hit = hit && it != blocks_.end();
    if (hit) cached += kBlockTokens;
    if (it != blocks_.end()) {
      recent_.splice(recent_.begin(), recent_, it->second);
    } else {
      recent_.push_front(hash);
      blocks_[hash] = recent_.begin();
    }
  }
  while (recent_.size() > max_blocks_) {
    blocks_.erase(recent_.back());
    recent_.pop_back();
  }
  return cached;
}

}  // namespace shallotbeam::engine_stand_in
