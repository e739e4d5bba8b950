#pragma once

#include <cstdint>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/ref_counted.h"
#include "quincebank/catalog/service_catalog.h"
#include "quincebank/fleet/fleet_records.h"
#include "quincebank/fleet/store_item.h"

namespace quincebank {

/// \brief Kind of record that a key of the shared store holds.
enum class record_kind : std::uint8_t {
  kCatalog,     ///< Configuration written by the operators.
  kEvacuation,  ///< Marks a failure domain that must get no requests.
  kUpstream,    ///< Registration of an upstream.
  kEntry,       ///< Registration of a gateway entry.
  kOther,       ///< Any other key; not part of the fleet snapshot.
};

/// \brief Decodes the records of the shared store, whose format the platform defines.
class record_codec {
 public:
  virtual ~record_codec() = default;

  [[nodiscard]] virtual record_kind KindOf(std::string_view key) const = 0;
  /// \returns The catalog, or an error if the record is malformed.
  [[nodiscard]] virtual result<ref_ptr<const service_catalog>> DecodeCatalog(
      const store_item& item) const = 0;
  /// \returns The upstream, or an error if the record is malformed.
  [[nodiscard]] virtual result<upstream_record> DecodeUpstream(const store_item& item) const = 0;
  /// \brief Returns the name of the failure domain that an evacuation key marks.
  /// \param key  key of kind `kEvacuation`; the returned view points into it.
  [[nodiscard]] virtual std::string_view DecodeEvacuation(std::string_view key) const = 0;
};

}  // namespace quincebank
