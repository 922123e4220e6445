#include "PlatformClients/EtcdStore.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"

namespace shallotbeam::platform_clients {

namespace {

using nlohmann::json;
using transport::CallEnd;
using transport::HttpResponse;

// The JSON gateway of etcd encodes 64-bit numbers as strings.
std::uint64_t ParseUint64(const json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end()) return 0;
  if (it->is_number_unsigned()) return it->get<std::uint64_t>();
  std::uint64_t value = 0;
  if (it->is_string() &&
      !absl::SimpleAtoi(it->get_ref<const std::string&>(), &value)) {
    return 0;
  }
  return value;
}

StoredValue ParseEntry(const json& entry) {
  StoredValue stored{.revision = ParseUint64(entry, "mod_revision")};
  const auto value = entry.find("value");
  if (value != entry.end() && value->is_string()) {
    absl::Base64Unescape(value->get_ref<const std::string&>(), &stored.value);
  }
  return stored;
}

// Returns the first entry of a range response, or revision 0 if the key is
// absent.
StoredValue FirstEntry(const json& range) {
  const auto entries = range.find("kvs");
  if (entries == range.end() || !entries->is_array() || entries->empty()) {
    return {};
  }
  return ParseEntry(entries->front());
}

std::optional<json> ParseResponse(CallEnd end, const HttpResponse& response) {
  if (end != CallEnd::kComplete || response.status != 200) return std::nullopt;
  json parsed = json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) return std::nullopt;
  return parsed;
}

SwapResult ParseTransaction(const json& parsed, const std::string& value) {
  const bool succeeded = parsed.value("succeeded", false);
  if (succeeded) {
    const auto header = parsed.find("header");
    const std::uint64_t revision =
        header == parsed.end() ? 0 : ParseUint64(*header, "revision");
    return {.outcome = SwapOutcome::kSwapped,
            .stored = {.revision = revision, .value = value}};
  }
  const auto responses = parsed.find("responses");
  if (responses == parsed.end() || !responses->is_array() ||
      responses->empty()) {
    return {};
  }
  const auto range = responses->front().find("response_range");
  if (range == responses->front().end()) return {};
  return {.outcome = SwapOutcome::kConflict, .stored = FirstEntry(*range)};
}

LeaseResult ParseLease(CallEnd end, const HttpResponse& response) {
  // etcd responds with 404 for a lease that has expired or was revoked.
  if (end == CallEnd::kComplete && response.status == 404) {
    return {.status =
                absl::NotFoundError("the lease has expired or was revoked")};
  }
  const auto parsed = ParseResponse(end, response);
  if (!parsed) {
    return {.status = absl::UnavailableError(
                "no valid response from the key-value service")};
  }
  // Renewals are streamed: each message is wrapped in "result".
  const json& result =
      parsed->contains("result") ? parsed->at("result") : *parsed;
  const std::uint64_t ttl = ParseUint64(result, "TTL");
  LeaseResult lease = {
      .status = absl::OkStatus(),
      .lease = static_cast<LeaseId>(ParseUint64(result, "ID")),
      .time_to_live = std::chrono::seconds(static_cast<std::int64_t>(ttl))};
  if (ttl == 0) {
    lease.status = absl::NotFoundError("the lease has expired or was revoked");
  }
  return lease;
}

std::string LeaseRequestBody(LeaseId lease) {
  return json({{"ID", std::to_string(static_cast<std::uint64_t>(lease))}})
      .dump();
}

// Parses the response stream of a watch: one JSON object per line, each with a
// list of events.
class WatchStreamParser {
 public:
  explicit WatchStreamParser(WatchHandlers handlers)
      : handlers_(std::move(handlers)) {}

  // Returns false if a line is longer than a message can be.
  bool Append(const std::string& piece) {
    buffer_ += piece;
    for (std::size_t end = buffer_.find('\n'); end != std::string::npos;
         end = buffer_.find('\n')) {
      ParseLine(buffer_.substr(0, end));
      buffer_.erase(0, end + 1);
    }
    return buffer_.size() <= transport::kMaxCollectedBytes;
  }
  void End() const { handlers_.on_end(); }

 private:
  void ParseLine(const std::string& line) const {
    const json message = json::parse(line, nullptr, /*allow_exceptions=*/false);
    if (!message.is_object() || !message.contains("result")) return;
    const auto events = message["result"].find("events");
    if (events == message["result"].end()) return;
    for (const json& event : *events) {
      const auto entry = event.find("kv");
      if (entry == event.end()) continue;
      const bool deleted = event.value("type", "PUT") == "DELETE";
      handlers_.on_change(deleted ? StoredValue() : ParseEntry(*entry));
    }
  }

  WatchHandlers handlers_;
  std::string buffer_;
};

class EtcdWatch : public KeyWatch {
 public:
  explicit EtcdWatch(std::shared_ptr<transport::HttpCall> call)
      : call_(std::move(call)) {}
  ~EtcdWatch() override { call_->Cancel(); }
  EtcdWatch(const EtcdWatch&) = delete;
  EtcdWatch& operator=(const EtcdWatch&) = delete;

 private:
  std::shared_ptr<transport::HttpCall> call_;
};

}  // namespace

EtcdStore::EtcdStore(transport::HttpClient& client, EtcdOptions options)
    : client_(client), options_(std::move(options)) {}

void EtcdStore::Read(const std::string& key,
                     std::function<void(ReadResult)> done) {
  const json request = {{"key", absl::Base64Escape(key)}};
  Post("/v3/kv/range", request.dump(), &reads_,
       [done = std::move(done)](CallEnd end, const HttpResponse& response) {
         const auto parsed = ParseResponse(end, response);
         if (!parsed) {
           return done({.status = absl::UnavailableError(
                            "no valid response from the key-value service")});
         }
         done({.status = absl::OkStatus(), .stored = FirstEntry(*parsed)});
       });
}

void EtcdStore::CompareAndSwap(const std::string& key,
                               std::uint64_t expected_revision,
                               const std::string& value,
                               std::function<void(SwapResult)> done) {
  CompareAndSwapLeased(key, expected_revision, value, LeaseId::kNone,
                       std::move(done));
}

void EtcdStore::CompareAndSwapLeased(const std::string& key,
                                     std::uint64_t expected_revision,
                                     const std::string& value, LeaseId lease,
                                     std::function<void(SwapResult)> done) {
  const std::string encoded_key = absl::Base64Escape(key);
  const json compare = {{"key", encoded_key},
                        {"target", "MOD"},
                        {"result", "EQUAL"},
                        {"mod_revision", std::to_string(expected_revision)}};
  json put = {{"request_put",
               {{"key", encoded_key}, {"value", absl::Base64Escape(value)}}}};
  if (lease != LeaseId::kNone) {
    put["request_put"]["lease"] =
        std::to_string(static_cast<std::uint64_t>(lease));
  }
  const json get = {{"request_range", {{"key", encoded_key}}}};
  const json request = {{"compare", json::array({compare})},
                        {"success", json::array({put})},
                        {"failure", json::array({get})}};
  Post("/v3/kv/txn", request.dump(), &writes_,
       [value, done = std::move(done)](CallEnd end,
                                       const HttpResponse& response) {
         const auto parsed = ParseResponse(end, response);
         done(parsed ? ParseTransaction(*parsed, value) : SwapResult());
       });
}

void EtcdStore::GrantLease(std::chrono::seconds time_to_live,
                           std::function<void(LeaseResult)> done) {
  const json request = {{"TTL", std::to_string(time_to_live.count())}};
  Post("/v3/lease/grant", request.dump(), &leases_,
       [done = std::move(done)](CallEnd end, const HttpResponse& response) {
         done(ParseLease(end, response));
       });
}

void EtcdStore::RenewLease(LeaseId lease,
                           std::function<void(LeaseResult)> done) {
  Post("/v3/lease/keepalive", LeaseRequestBody(lease), &leases_,
       [done = std::move(done)](CallEnd end, const HttpResponse& response) {
         done(ParseLease(end, response));
       });
}

void EtcdStore::RevokeLease(LeaseId lease,
                            std::function<void(LeaseResult)> done) {
  Post(
      "/v3/lease/revoke", LeaseRequestBody(lease), &leases_,
      [lease, done = std::move(done)](CallEnd end,
                                      const HttpResponse& response) {
        // The response has only a header. 404 counts as success: the lease no
        // longer exists.
        const bool revoked = end == CallEnd::kComplete &&
                             (response.status == 200 || response.status == 404);
        done({.status =
                  revoked ? absl::OkStatus()
                          : absl::UnavailableError(
                                "no valid response from the key-value service"),
              .lease = lease});
      });
}

std::shared_ptr<KeyWatch> EtcdStore::Watch(const std::string& key,
                                           std::uint64_t from_revision,
                                           WatchHandlers handlers) {
  ++watches_;
  json create = {{"key", absl::Base64Escape(key)}};
  if (from_revision > 0) {
    create["start_revision"] = std::to_string(from_revision);
  }
  transport::HttpRequest request{.method = "POST", .target = "/v3/watch"};
  request.headers.set("Content-Type", "application/json");
  request.body = json({{"create_request", create}}).dump();
  const auto parser = std::make_shared<WatchStreamParser>(std::move(handlers));
  return std::make_shared<EtcdWatch>(client_.Start(
      options_.endpoint, std::move(request), options_.watch_timeout,
      {.on_head = [](const transport::ResponseHead&) {},
       .on_body =
           [parser](const std::string& piece,
                    const std::function<void()>& resume) {
             resume();
             return parser->Append(piece);
           },
       .on_end = [parser](CallEnd) { parser->End(); }}));
}

CallCounts EtcdStore::Calls() const {
  return {.reads = reads_,
          .writes = writes_,
          .leases = leases_,
          .watches = watches_};
}

void EtcdStore::Post(const std::string& path, std::string body,
                     Counter* counter,
                     transport::HttpClient::FetchHandler handler) {
  ++*counter;
  transport::HttpRequest request{.method = "POST", .target = path};
  request.headers.set("Content-Type", "application/json");
  request.body = std::move(body);
  client_.Fetch(options_.endpoint, std::move(request), options_.timeout,
                std::move(handler));
}

}  // namespace shallotbeam::platform_clients
