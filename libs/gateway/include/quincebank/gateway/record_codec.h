#pragma once

#include <cstdint>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/ref_counted.h"
#include "quincebank/catalog/service_catalog.h"
#include "quincebank/fleet/fleet_records.h"
#include "quincebank/fleet/store_item.h"

namespace quincebank {

/// \brief What a key of the shared store holds.
enum class record_kind : std::uint8_t {
  kCatalog,     ///< The operators' configuration.
  kEvacuation,  ///< A failure domain that is to get no requests.
  kUpstream,
  kEntry,
  kOther,
};

/// \brief Reads the records of the shared store.
class record_codec {
 public:
  virtual ~record_codec() = default;

  [[nodiscard]] virtual record_kind KindOf(std::string_view key) const = 0;
  [[nodiscard]] virtual result<ref_ptr<const service_catalog>> DecodeCatalog(
      const store_item& item) const = 0;
  [[nodiscard]] virtual result<upstream_record> DecodeUpstream(const store_item& item) const = 0;
  /// \returns The name of the failure domain.
  [[nodiscard]] virtual std::string_view DecodeEvacuation(std::string_view key) const = 0;
};

}  // namespace quincebank
