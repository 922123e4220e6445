#include "Runtime/ConfigHolder.h"

#include <algorithm>

#include "Common/Hash.h"
#include "Common/Logging.h"
#include "Common/StatusText.h"
#include "Config/Document.h"

namespace shallotbeam::runtime {

std::optional<config::FleetConfig> ConfigHolder::Adopt(
    common::ConfigVersion version, const std::string& document) {
  if (version <= version_) return std::nullopt;
  // Polling and heartbeats deliver a rejected document repeatedly; it is
  // skipped here. The hash is compared as well, because the rejected copy may
  // have been damaged and an intact copy of the same version may arrive later.
  const std::uint64_t hash = common::Hash64(document);
  if (version == rejected_version_ && hash == rejected_hash_) {
    return std::nullopt;
  }
  auto parsed = config::ParseDocument(document);
  if (!parsed.ok()) {
    if (version >= rejected_version_) {
      rejected_version_ = version;
      rejected_hash_ = hash;
      rejection_cause_ = std::string(common::MessageOf(parsed.status()));
    }
    common::Log(common::Subsystem::kConfig, common::LogLevel::kError,
                "event=config_rejected version={} in_force={} error=\"{}\"",
                common::ToNumber(version), common::ToNumber(version_),
                common::MessageOf(parsed.status()));
    return std::nullopt;
  }
  parsed->version = version;
  version_ = version;
  document_ = document;
  config_ = *parsed;
  common::Log(common::Subsystem::kConfig, common::LogLevel::kInfo,
              "event=config_in_force version={} workspaces={} kinds={}",
              common::ToNumber(version), config_.workspaces.size(),
              config_.kinds.size());
  return config_;
}

std::optional<protocol::Body> ConfigHolder::Reply(
    const protocol::Envelope& envelope) const {
  if (const auto* heartbeat =
          std::get_if<protocol::Heartbeat>(&envelope.body)) {
    const common::ConfigVersion seen = std::max(version_, rejected_version_);
    if (heartbeat->config_version <= seen) return std::nullopt;
    return protocol::ConfigRequest{.current_version = version_};
  }
  if (const auto* request =
          std::get_if<protocol::ConfigRequest>(&envelope.body)) {
    if (version_ <= request->current_version) return std::nullopt;
    return protocol::ConfigDocument{.version = version_, .document = document_};
  }
  return std::nullopt;
}

common::ConfigVersion ConfigHolder::RejectedVersion() const {
  return rejected_version_ > version_ ? rejected_version_
                                      : common::ConfigVersion::kNone;
}

}  // namespace shallotbeam::runtime
