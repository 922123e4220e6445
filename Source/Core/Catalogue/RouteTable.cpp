#include "Catalogue/RouteTable.h"

#include <utility>

namespace shallotbeam::catalogue {

namespace {

std::string MakeKey(std::string_view host, std::string_view prefix) {
  std::string key;
  key.reserve(host.size() + 1 + prefix.size());
  key.append(host).append(1, '\n').append(prefix);
  return key;
}

}  // namespace

RouteTable::RouteTable(Catalogue catalogue) : catalogue_(std::move(catalogue)) {
  by_prefix_.reserve(catalogue_.routes.size());
  for (const Route& it : catalogue_.routes) {
    by_prefix_.emplace(MakeKey(it.host, it.path_prefix), &it);
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  path = path.substr(0, path.find('?'));
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = path.rfind('/', end - 1)) {
    const auto it = by_prefix_.find(MakeKey(host, path.substr(0, end + 1)));
    if (it != by_prefix_.end()) return it->second;
    if (end == 0) break;
  }
  return nullptr;
}

const Workspace* RouteTable::FindWorkspace(
    const std::string& credential) const {
  // Without a credential, a request must not match an empty one.
  if (credential.empty()) return nullptr;
  const auto it = catalogue_.credentials.find(credential);
  if (it == catalogue_.credentials.end()) return nullptr;
  return &catalogue_.workspaces[it->second];
}

const common::PoolName* ChoosePool(const Route& route, double draw) {
  int total = 0;
  for (const PoolShare& it : route.weighted_pools) total += it.weight;
  double remaining = draw * total;
  const common::PoolName* chosen = nullptr;
  for (const PoolShare& it : route.weighted_pools) {
    if (it.weight <= 0) continue;
    chosen = &it.pool;
    remaining -= it.weight;
    if (remaining < 0) break;
  }
  return chosen;
}

}  // namespace shallotbeam::catalogue
