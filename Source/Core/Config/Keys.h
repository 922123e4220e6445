#ifndef SHALLOTBEAM_CORE_CONFIG_KEYS_H_
#define SHALLOTBEAM_CORE_CONFIG_KEYS_H_

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "Config/Model.h"

// The typed keys of the configuration. The parser, the check and the reference
// in docs/configuration.md are all derived from these tables.
namespace shallotbeam::config {

// A key of an entry, for example of a pool.
template <typename Entry>
struct Key {
  std::string name;
  std::string expected;  // type and range, for error messages and the reference
  std::string unit;      // empty if there is none
  std::string description;
  bool required = false;
  // Stores the value; returns false if its type or range is wrong.
  std::function<bool(const nlohmann::json& value, Entry& entry)> read;
  // The value as JSON text. Applied to a default entry, it gives the default.
  std::function<std::string(const Entry& entry)> show;
};

template <typename Entry>
using Keys = std::vector<Key<Entry>>;

const Keys<PoolConfig>& PoolKeys();
const Keys<KindConfig>& KindKeys();
const Keys<WorkspaceConfig>& WorkspaceKeys();

// The rows of the reference for one section ("pools", "kinds" or "workspaces")
// as a Markdown table. Empty for an unknown section.
std::string ReferenceTable(std::string_view section);

}  // namespace shallotbeam::config

#endif  // SHALLOTBEAM_CORE_CONFIG_KEYS_H_
