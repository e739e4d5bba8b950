#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rank_load.h"

namespace quincebank {

/// \brief Order to the engine of one rank.
struct rank_order {
  std::string kind;  ///< `stage`, `hold`, `commit` or `release`.
  std::uint64_t epoch = 0;
  std::uint64_t step = 0;
  std::uint64_t fence = 0;
  std::string map;                            ///< Digest of the map; for `stage`.
  std::shared_ptr<const rank_shares> shares;  ///< Of this rank under the map; for `stage`.
};

/// \brief Engine of one rank: staged maps and holds by epoch, the map in use, and the next one.
///
/// Like the engines, it executes whatever arrives, however late: a commit of a staged epoch takes
/// effect at its step, or at once if that has passed.
class rank_model {
 public:
  struct epoch_state {
    bool staged = false;
    std::string map;
    std::shared_ptr<const rank_shares> shares;
    std::optional<std::uint64_t> hold;
  };

  /// \returns False if the engine refuses the order.
  bool Execute(const rank_order& order, bool checks_fencing);

  [[nodiscard]] bool MayStart(std::uint64_t step) const noexcept;
  /// \brief Starts the next step, on the map that is due.
  void StartStep();

  [[nodiscard]] std::uint64_t next_step() const noexcept { return next_step_; }
  [[nodiscard]] std::uint64_t active() const noexcept { return active_; }
  [[nodiscard]] std::uint64_t active_since() const noexcept { return active_since_; }
  [[nodiscard]] const std::string& active_map() const noexcept { return active_map_; }
  /// \brief Shares under the active map; null before the first one.
  [[nodiscard]] const rank_shares* active_shares() const noexcept { return active_shares_.get(); }
  [[nodiscard]] std::uint64_t pending() const noexcept { return pending_; }
  [[nodiscard]] const std::map<std::uint64_t, epoch_state>& epochs() const noexcept {
    return epochs_;
  }

 private:
  std::uint64_t next_step_ = 0;
  std::uint64_t active_ = 0;
  std::uint64_t active_since_ = 0;  // First step on the active map.
  std::string active_map_;
  std::shared_ptr<const rank_shares> active_shares_;
  std::uint64_t pending_ = 0;
  std::uint64_t pending_step_ = 0;
  std::string pending_map_;
  std::shared_ptr<const rank_shares> pending_shares_;
  std::uint64_t fence_ = 0;
  std::map<std::uint64_t, epoch_state> epochs_;
};

}  // namespace quincebank
