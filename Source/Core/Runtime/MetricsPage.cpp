#include "Runtime/MetricsPage.h"

#include <prometheus/text_serializer.h>

#include <utility>

#include "Runtime/AdminServer.h"

namespace shallotbeam::runtime {

prometheus::Family<prometheus::Gauge>& AddGauge(prometheus::Registry& registry,
                                                const char* name,
                                                const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

void SetGaugeItem(prometheus::Family<prometheus::Gauge>& family,
                  const char* item, double value) {
  family.Add({{"item", item}}).Set(value);
}

std::string MetricsText(const prometheus::Registry& registry) {
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

absl::StatusOr<std::shared_ptr<transport::HttpServer>> ServeMetrics(
    boost::asio::io_context& context, const common::Endpoint& endpoint,
    std::function<std::string()> text) {
  return ListenAdmin(
      context, endpoint,
      [text = std::move(text)](
          const std::shared_ptr<transport::HttpExchange>& exchange) {
        if (exchange->Request().target != "/metrics") {
          constexpr int kNotFound = 404;
          return exchange->Send({.status = kNotFound, .headers = {}});
        }
        exchange->Send(MetricsResponse(text()));
      });
}

}  // namespace shallotbeam::runtime
