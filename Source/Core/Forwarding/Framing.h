#ifndef SHALLOTBEAM_CORE_FORWARDING_FRAMING_H_
#define SHALLOTBEAM_CORE_FORWARDING_FRAMING_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Forwarding/HeaderCodec.h"

// HTTP/1.1 message framing that the parser does not handle.
namespace shallotbeam::forwarding {

// Whether a header is hop-by-hop, that is, concerns one connection only.
// Includes the headers that are listed in the Connection header of `fields`.
bool IsHopByHop(const Fields& fields, std::string_view name);

// Whether intermediaries could disagree about where a message ends: several or
// contradicting lengths, or a coding other than exactly "chunked".
bool IsAmbiguouslyFramed(const Fields& fields);

// Memory for the fields of a head, each of which is an object of its own, in
// bytes.
std::size_t MemoryOf(const Fields& fields);

// What a response with a certain head is, by RFC 9110.
enum class ResponseKind : std::uint8_t {
  kFinal,    // the response to the request
  kInterim,  // another one follows, to the same request
  kInvalid,  // not a response; nothing of it may be passed on
};

// The parser takes any three digits for a status. Also invalid are ambiguous
// framing and a change of protocol, for which no request asks.
ResponseKind KindOfResponse(int status, const Fields& fields);

// Whether a line of `head` begins with a blank, which RFC 9112 lets a recipient
// reject. The parser joins such a line to the header before it, even if a
// faulty sender meant a header of its own. `head` is a whole head, or the part
// of it from the beginning of a line.
bool HasFoldedLine(std::string_view head);

// Idle timeout of the sender in seconds, from the Keep-Alive header.
std::optional<int> KeepAliveSeconds(const Fields& fields);

// Appends "NAME: VALUE\r\n".
void AppendHeader(std::string_view name, std::string_view value,
                  std::string* head);

// Appends one chunk of a chunked body. `bytes` must not be empty.
void AppendChunk(std::string_view bytes, std::string* out);

// Bytes of one message, to bound what a peer sends beside the body: chunk
// headers, chunk extensions and trailers.
struct MessageBytes {
  std::size_t consumed = 0;  // by the parser, the body included
  std::size_t body = 0;
};

// Whether a message has far more framing than its body explains. `head_limit`
// is the allowed size of its head.
bool HasExcessiveFraming(const MessageBytes& bytes, std::size_t head_limit);

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string_view ReasonPhrase(int status);

}  // namespace shallotbeam::forwarding

#endif  // SHALLOTBEAM_CORE_FORWARDING_FRAMING_H_
