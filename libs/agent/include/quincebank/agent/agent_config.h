#pragma once

#include <memory>
#include <optional>
#include <string_view>

#include "quincebank/agent/agent_service.h"
#include "quincebank/config/effective_config.h"

namespace quincebank {

/// \brief Returns what the configuration says about an upstream, or nothing if it has none of that
/// name.
[[nodiscard]] std::optional<upstream_settings> UpstreamSettingsOf(const effective_config& config,
                                                                  std::string_view upstream);

/// \brief Makes a directory that reads the snapshot.
[[nodiscard]] std::shared_ptr<const agent_directory> MakeDirectory(
    ref_ptr<const effective_config> config);

}  // namespace quincebank
