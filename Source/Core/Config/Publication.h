#ifndef SHALLOTBEAM_CORE_CONFIG_PUBLICATION_H_
#define SHALLOTBEAM_CORE_CONFIG_PUBLICATION_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace shallotbeam::config {

// The value under `config/current`: a document and who published it. The id is
// random, so that a publisher recognises its own write after a lost response
// even if someone else publishes the same document.
struct Publication {
  std::string publisher;
  std::string id;
  std::string time;      // UTC, ISO 8601; for people only
  std::string document;  // merged JSON
};

// Values that the store refuses for their size, with some room for the other
// members.
inline constexpr std::size_t kMaxPublishedBytes = 1'000'000;

// `document` must be JSON.
std::string FormatPublication(const Publication& publication);

// Accepts a bare document too; its publisher is then empty. Returns
// kInvalidArgument if `value` is not a JSON object.
absl::StatusOr<Publication> ParsePublication(std::string_view value);

// Whether two documents are the same JSON, whatever their layout.
bool IsSameDocument(std::string_view a, std::string_view b);

}  // namespace shallotbeam::config

#endif  // SHALLOTBEAM_CORE_CONFIG_PUBLICATION_H_
