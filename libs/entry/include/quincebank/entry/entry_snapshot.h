#pragma once

#include <mutex>
#include <utility>
#include <vector>

#include "quincebank/base/ref_counted.h"
#include "quincebank/config/effective_config.h"
#include "quincebank/entry/upstream_slot.h"
#include "quincebank/routing/entries.h"
#include "quincebank/routing/prefix_index.h"
#include "quincebank/routing/table.h"
#include "quincebank/telemetry/objective_table.h"

namespace quincebank {

/// \brief What the upstreams of one service hold in their prefix caches, from this entry's own
/// requests. Safe for use by several threads; kept across snapshots.
class prompt_notes : public ref_counted<prompt_notes> {
 public:
  [[nodiscard]] prefix_hits Find(std::span<const std::uint64_t> prefix) const {
    const std::lock_guard lock(mutex_);
    return index_.Find(prefix);
  }
  void Note(std::string_view upstream, std::span<const std::uint64_t> prefix) {
    const std::lock_guard lock(mutex_);
    index_.NoteServed(KeyOf(upstream), prefix);
  }
  /// \brief The upstream restarted or was removed.
  void Forget(std::string_view upstream) {
    const std::lock_guard lock(mutex_);
    index_.Forget(KeyOf(upstream));
  }

 private:
  static constexpr std::size_t kMaxBlocks = 16'384;

  mutable std::mutex mutex_;
  prefix_index index_{kMaxBlocks};
};

/// \brief Upstreams of one service; slot n belongs to upstream n of the table.
struct service_view {
  ref_ptr<const routing_table> table;
  std::vector<ref_ptr<upstream_slot>> slots;
  ref_ptr<prompt_notes> prompts;
};

/// \brief What traffic threads read: configuration, upstreams and the other entries.
struct entry_snapshot : ref_counted<entry_snapshot> {
  ref_ptr<const effective_config> config;
  std::vector<service_view> services;  ///< In the order of `config->services()`.
  std::vector<entry_address> entries;  ///< For look-ups.
  ref_ptr<const objective_table> objectives;
};

/// \brief Hands the newest snapshot from the control thread to the traffic threads.
class snapshot_box {
 public:
  void Set(ref_ptr<const entry_snapshot> snapshot) {
    const std::lock_guard lock(mutex_);
    snapshot_ = std::move(snapshot);
  }
  [[nodiscard]] ref_ptr<const entry_snapshot> Get() const {
    const std::lock_guard lock(mutex_);
    return snapshot_;
  }

 private:
  mutable std::mutex mutex_;
  ref_ptr<const entry_snapshot> snapshot_;
};

}  // namespace quincebank
