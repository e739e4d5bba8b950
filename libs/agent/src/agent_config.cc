#include "quincebank/agent/agent_config.h"

#include <utility>

namespace quincebank {
namespace {

class config_directory final : public agent_directory {
 public:
  explicit config_directory(ref_ptr<const effective_config> config) : config_(std::move(config)) {}

  [[nodiscard]] workspace_rank RankOf(std::string_view workspace) const override {
    const auto share = config_->FindWorkspace(workspace);
    return share ? workspace_rank{share->weight, share->priority} : workspace_rank{};
  }

  [[nodiscard]] std::uint64_t version() const override { return config_->version(); }

 private:
  ref_ptr<const effective_config> config_;
};

}  // namespace

std::optional<upstream_settings> UpstreamSettingsOf(const effective_config& config,
                                                    std::string_view upstream) {
  const auto index = config.FindUpstream(upstream);
  if (!index)
    return std::nullopt;
  const upstream_config& found = config.upstreams()[*index];
  upstream_settings settings;
  settings.upstream = {found.upstream_address, found.upstream_port};
  settings.admission.cold_limit = found.cold_limit;
  settings.admission.full_limit = found.full_limit;
  settings.admission.queue_limit = found.queue_limit;
  settings.admission.ramp.warm_requests = found.warm_requests;
  const auto service = config.FindService(found.service);
  if (service) {
    const service_config& owner = config.services()[*service];
    settings.connect_timeout = owner.connect_timeout;
    settings.first_byte_timeout = owner.first_byte_timeout;
    settings.silence_timeout = owner.total_timeout;
    settings.claim_retention = std::chrono::ceil<seconds>(owner.claim_retention);
    settings.streams_tokens = owner.kind == service_kind::kModel;
  }
  return settings;
}

std::shared_ptr<const agent_directory> MakeDirectory(ref_ptr<const effective_config> config) {
  return std::make_shared<config_directory>(std::move(config));
}

}  // namespace quincebank
