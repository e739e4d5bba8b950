#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "quincebank/base/ids.h"
#include "quincebank/base/time.h"
#include "quincebank/idempotency/attempt_state.h"

namespace quincebank {

/// \brief Attempt that has ended and holds no answer.
struct archived_attempt {
  attempt_id id;
  attempt_state state = attempt_state::kBlocked;
};

/// \brief Ended attempts in 17 bytes each, in sorted batches.
///
/// A batch is searched only if the id lies in its range. Ids carry their time, so a fresh id lies
/// in few batches.
class attempt_archive {
 public:
  void Add(std::vector<archived_attempt> batch);
  [[nodiscard]] std::optional<attempt_state> Find(attempt_id id) const noexcept;
  /// \brief Drops the batches whose attempts are all older than `oldest`.
  void DropBefore(wall_time oldest);
  [[nodiscard]] std::size_t size() const noexcept { return size_; }

 private:
  struct segment {
    std::vector<attempt_id> ids;  ///< Sorted.
    std::vector<attempt_state> states;
  };

  std::vector<segment> segments_;
  std::size_t size_ = 0;
};

}  // namespace quincebank
