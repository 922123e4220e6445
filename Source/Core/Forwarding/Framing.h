#ifndef SHALLOTBEAM_CORE_FORWARDING_FRAMING_H_
#define SHALLOTBEAM_CORE_FORWARDING_FRAMING_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "Forwarding/Dialect.h"

// Message framing of HTTP/1.1 beyond what the parser decides.
namespace shallotbeam::forwarding {

// Headers that concern one connection only, including those that `fields`
// names in its Connection header.
bool IsHopByHop(const Fields& fields, std::string_view name);

// Whether intermediaries could disagree about where a request ends: several or
// contradicting lengths, or a coding other than exactly "chunked".
bool IsAmbiguouslyFramed(const Fields& fields);

// Seconds after which the sender closes an idle connection, from Keep-Alive.
std::optional<int> IdleSeconds(const Fields& fields);

// Appends "NAME: VALUE\r\n".
void AppendHeader(std::string_view name, std::string_view value,
                  std::string* head);

// Appends one chunk of a chunked body. `bytes` must not be empty.
void AppendChunk(std::string_view bytes, std::string* out);

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string_view ReasonPhrase(int status);

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_CORE_FORWARDING_FRAMING_H_
