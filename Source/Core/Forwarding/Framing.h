#ifndef SHALLOTBEAM_CORE_FORWARDING_FRAMING_H_
#define SHALLOTBEAM_CORE_FORWARDING_FRAMING_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "Forwarding/HeaderCodec.h"

// HTTP/1.1 message framing that the parser does not handle.
namespace shallotbeam::forwarding {

// Whether a header is hop-by-hop, that is, concerns one connection only.
// Includes the headers that are listed in the Connection header of `fields`.
bool IsHopByHop(const Fields& fields, std::string_view name);

// Whether intermediaries could disagree about where a request ends: several or
// contradicting lengths, or a coding other than exactly "chunked".
bool IsAmbiguouslyFramed(const Fields& fields);

// Idle timeout of the sender in seconds, from the Keep-Alive header.
std::optional<int> KeepAliveSeconds(const Fields& fields);

// Appends "NAME: VALUE\r\n".
void AppendHeader(std::string_view name, std::string_view value,
                  std::string* head);

// Appends one chunk of a chunked body. `bytes` must not be empty.
void AppendChunk(std::string_view bytes, std::string* out);

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string_view ReasonPhrase(int status);

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_CORE_FORWARDING_FRAMING_H_
