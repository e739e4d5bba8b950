#pragma once

#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/config/document.h"

namespace quincebank {

/// \brief Returns a partial document: the section of a failure domain with its state changed.
///
/// \returns The document, or `kInvalidArgument` if no section names the failure domain.
[[nodiscard]] result<config_document> WithDomainState(const config_document& in_force,
                                                      std::string_view domain,
                                                      bool in_service);

}  // namespace quincebank
