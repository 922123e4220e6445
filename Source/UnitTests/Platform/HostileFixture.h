#ifndef SHALLOTBEAM_UNITTESTS_PLATFORM_HOSTILEFIXTURE_H_
#define SHALLOTBEAM_UNITTESTS_PLATFORM_HOSTILEFIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "Common/Types.h"
#include "Load/Processes.h"

// A gateway process in front of one upstream, and a crowd of callers that keep
// their connections open.
namespace shallotbeam::platform_adapter {

// Limits of the gateway under test. The crowds below hold several times this
// memory if nothing bounds what the gateway keeps for them.
inline constexpr int kMemoryMb = 48;
inline constexpr int kSmallMemoryMb = 24;
inline constexpr int kMaxDescriptors = 500;
inline constexpr std::size_t kMaxBodyBytes = 1'048'576;

// What one caller of a crowd sends: `head`, then `unit` `count` times, then
// `tail`.
struct Upload {
  std::string head;
  std::string unit;
  std::size_t count = 0;
  std::string tail;
};

// An upload with a stated length, of which the last `missing` bytes are not
// sent.
Upload PlainUpload(std::size_t length, std::size_t unit, std::size_t missing);

// An upload in chunks of `chunk` bytes; whole if `ended`.
Upload ChunkedUpload(std::size_t length, std::size_t chunk, bool ended);

// A head of many fields whose body stops one byte short of its end.
Upload ManyFieldsUpload();

// A whole request for a model whose prompt lists many parts, with a head just
// below the usual limit.
Upload LongPromptListUpload();

// The process, the store and the upstreams that it needs: one that answers at
// once, and a model that never does. They run on a thread of their own.
class HostileFixture {
 public:
  explicit HostileFixture(int memory_mb = kMemoryMb);
  ~HostileFixture();
  HostileFixture(const HostileFixture&) = delete;
  HostileFixture& operator=(const HostileFixture&) = delete;

  // Adds a caller that sends the upload and then leaves its connection open.
  void AddCaller(Upload upload);
  // Runs until every caller has sent all or its connection has ended, and
  // checks the process on the way.
  void SendAll();
  // Sends a request with a body of `bytes` until it is served or refused for
  // good. Returns the last status; 0 if there was no response.
  int Request(std::size_t bytes);
  // Checks that the process is alive and within its bounds.
  void Check();
  // Requests that have reached the model.
  std::size_t ModelRequests() const;
  // Statuses that the crowd has received so far, as text.
  std::string Statuses() const;

 private:
  void AwaitReading();

  struct Caller;
  struct Backends;

  std::unique_ptr<Backends> backends_;
  boost::asio::io_context context_;
  common::Endpoint callers_;
  std::optional<load::ChildProcess> gateway_;
  std::list<std::shared_ptr<Caller>> crowd_;
  int memory_mb_;
  double peak_mb_ = 0;
};

// The same on a host with less memory.
struct SmallHostFixture : HostileFixture {
  SmallHostFixture() : HostileFixture(kSmallMemoryMb) {}
};

}  // namespace shallotbeam::platform_adapter

#endif  // SHALLOTBEAM_UNITTESTS_PLATFORM_HOSTILEFIXTURE_H_
