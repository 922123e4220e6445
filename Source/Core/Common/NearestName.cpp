#include "Common/NearestName.h"

#include <algorithm>
#include <numeric>

namespace shallotbeam::common {

namespace {

std::size_t EditDistance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0U);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row.back();
}

}  // namespace

std::string NearestName(const std::string& name,
                        const std::vector<std::string>& known) {
  // A distance of more than half the length isn't taken for a misspelling.
  std::size_t best = std::max<std::size_t>(name.size() / 2, 1) + 1;
  std::string nearest;
  for (const std::string& it : known) {
    const std::size_t distance = EditDistance(name, it);
    if (distance >= best) continue;
    best = distance;
    nearest = it;
  }
  return nearest;
}

}  // namespace shallotbeam::common
