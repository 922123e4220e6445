#ifndef SHALLOTBEAM_CORE_CONFIG_PUBLICATION_H_
#define SHALLOTBEAM_CORE_CONFIG_PUBLICATION_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace shallotbeam::config {

// The value of the key `config/current`: a document and its publisher. The id
// is random, so that a publisher recognises its own write after a lost
// response, even if another publisher writes the same document.
struct Publication {
  std::string publisher;
  std::string id;
  std::string time;      // UTC, ISO 8601; informational only
  std::string document;  // merged JSON
};

// Largest size of a published value. The store rejects larger values; the limit
// leaves some room for the other members.
inline constexpr std::size_t kMaxPublishedBytes = 1'000'000;

// Formats the published value. `publication.document` must be JSON.
std::string FormatPublication(const Publication& publication);

// Parses a published value. Also accepts a document alone; the publisher is
// empty then. Returns kInvalidArgument if `value` is not a JSON object.
absl::StatusOr<Publication> ParsePublication(std::string_view value);

// Whether two documents are equal as JSON, regardless of formatting and of the
// order of keys.
bool IsSameDocument(std::string_view a, std::string_view b);

}  // namespace shallotbeam::config

#endif  // SHALLOTBEAM_CORE_CONFIG_PUBLICATION_H_
