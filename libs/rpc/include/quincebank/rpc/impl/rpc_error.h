#pragma once

#include <string>

#include "quincebank/base/error.h"

namespace quincebank::impl {

/// \brief JSON text of an error object's data member: code, verdict and path.
[[nodiscard]] std::string RpcErrorData(const error& failure);
/// \brief Restores the error; without readable data it is internal and may have run.
[[nodiscard]] error ErrorFromRpc(const std::string& message, const std::string& data);

}  // namespace quincebank::impl
