#pragma once

#include <string>

#include "quincebank/base/error.h"
#include "quincebank/experts/expert_map.h"
#include "quincebank/experts/switch_messages.h"
#include "quincebank/platform/kv_store.h"

namespace quincebank {

/// \brief Decision records and map bodies of one group in the key-value service.
///
/// Epochs are decided in turn, so the records from 1 to the highest decided epoch all exist. Used
/// by the fibers of one thread.
class map_records {
 public:
  map_records(kv_store& kv, std::string group);

  /// \brief Reads which epoch was decided last; always asks the service.
  [[nodiscard]] result<switch_history> ReadHistory();
  /// \brief Creates the record of an epoch if there is none.
  /// \returns The record that stands, or an error if the service gave no answer; then the record
  ///          may exist or come to exist later.
  [[nodiscard]] result<switch_decision> Create(const switch_decision& record);

  /// \brief Stores the JSON form of a map under its digest.
  [[nodiscard]] result<void> StoreMap(const map_digest& digest, const std::string& body);
  /// \brief Reads the JSON form of a map and compares it with the digest.
  [[nodiscard]] result<std::string> FetchMap(const map_digest& digest);

 private:
  [[nodiscard]] result<std::optional<switch_decision>> Read(map_epoch epoch);
  [[nodiscard]] std::string MapKey(const map_digest& digest) const;

  kv_store& kv_;
  const std::string group_;
  switch_history known_;  ///< Records never change, so what was read once stays true.
};

}  // namespace quincebank
