#ifndef SHALLOTBEAM_CORE_CONFIG_KEYS_H_
#define SHALLOTBEAM_CORE_CONFIG_KEYS_H_

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "Config/Model.h"

// Tables of the keys of the configuration with their types and ranges. Parsing,
// validation and the reference in docs/configuration.md all use these tables.
namespace shallotbeam::config {

// A key of an entry of the configuration, for example of a pool.
template <typename Entry>
struct Key {
  std::string name;
  std::string expected;  // type and range, for error messages and the reference
  std::string unit;      // empty if the value has no unit
  std::string description;
  bool required = false;
  // Stores the value; returns false if its type or range is wrong.
  std::function<bool(const nlohmann::json& value, Entry& entry)> read;
  // Formats the value as JSON. For a default-constructed entry, this is the
  // default value.
  std::function<std::string(const Entry& entry)> format;
};

template <typename Entry>
using Keys = std::vector<Key<Entry>>;

const Keys<PoolConfig>& PoolKeys();
const Keys<KindConfig>& KindKeys();
const Keys<WorkspaceConfig>& WorkspaceKeys();

// Returns the reference of one section ("pools", "kinds" or "workspaces") as a
// Markdown table; empty for an unknown section.
std::string ReferenceTable(std::string_view section);

}  // namespace shallotbeam::config

#endif  // SHALLOTBEAM_CORE_CONFIG_KEYS_H_
