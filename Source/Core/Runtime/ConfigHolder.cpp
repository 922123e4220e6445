#include "Runtime/ConfigHolder.h"

#include "Common/Logging.h"
#include "Config/Document.h"

namespace shallotbeam::runtime {

std::optional<config::FleetConfig> ConfigHolder::Offer(
    common::ConfigVersion version, const std::string& document) {
  if (version <= version_) return std::nullopt;
  auto parsed = config::ParseDocument(document);
  if (!parsed.ok()) {
    common::Log(common::Subsystem::kConfig, common::LogLevel::kError,
                "event=config_rejected version={} error=\"{}\"",
                common::ToNumber(version), parsed.status().ToString());
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
    if (heartbeat->config_version <= version_) return std::nullopt;
    return protocol::ConfigRequest{.have = version_};
  }
  if (const auto* request =
          std::get_if<protocol::ConfigRequest>(&envelope.body)) {
    if (version_ <= request->have) return std::nullopt;
    return protocol::ConfigDocument{.version = version_, .document = document_};
  }
  return std::nullopt;
}

}  // namespace shallotbeam::runtime
