#ifndef SHALLOTBEAM_CORE_CATALOGUE_ROUTETABLE_H_
#define SHALLOTBEAM_CORE_CATALOGUE_ROUTETABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Catalogue/Model.h"

namespace shallotbeam::catalogue {

// A catalogue with an index for lookups. Immutable, so that a request uses the
// version that was current at its arrival until it ends.
class RouteTable {
 public:
  explicit RouteTable(Catalogue catalogue);

  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  const Catalogue& Source() const { return catalogue_; }

  // The route of `host` with the longest matching prefix of `path`, or null.
  const Route* Find(std::string_view host, std::string_view path) const;

  // The workspace to which a credential belongs; null if it is unknown.
  const Workspace* FindWorkspace(const std::string& credential) const;

 private:
  Catalogue catalogue_;
  // Keyed by host, a newline and the prefix.
  std::unordered_map<std::string, const Route*> by_prefix_;
};

// Chooses a pool of a route by weight. `draw` is a uniform random number in
// [0, 1). Returns nullptr for a route without pools of a weight above zero.
const common::PoolName* ChoosePool(const Route& route, double draw);

}  // namespace shallotbeam::catalogue

#endif  // SHALLOTBEAM_CORE_CATALOGUE_ROUTETABLE_H_
