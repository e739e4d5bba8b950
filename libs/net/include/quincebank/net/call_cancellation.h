#pragma once

#include <functional>
#include <utility>

#include "quincebank/base/ref_counted.h"

namespace quincebank {

/// \brief Ends an HTTP call from another fiber of the same thread, by closing its connection.
///
/// The call then fails. Servers of streams, such as model engines, take the closed connection as
/// the order to stop.
class call_cancellation : public ref_counted<call_cancellation> {
 public:
  void Cancel() {
    cancelled_ = true;
    if (close_)
      close_();
  }
  [[nodiscard]] bool cancelled() const noexcept { return cancelled_; }

  /// \brief For the client: how the call's connection is closed; empty while it has none.
  void SetClose(std::function<void()> close) { close_ = std::move(close); }

 private:
  std::function<void()> close_;
  bool cancelled_ = false;
};

}  // namespace quincebank
