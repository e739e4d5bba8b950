#pragma once

#include <atomic>
#include <cstdint>

namespace quincebank {

/// \brief Settings of a `retry_budget`.
struct retry_budget_settings {
  double ratio = 0.1;    ///< Retries and hedges per request.
  double burst = 10.0;   ///< Most retries that can be saved up.
  double initial = 1.0;  ///< Retries available at the start of a node.
};

/// \brief Bounds retries and hedges to a share of the requests of this node.
///
/// Each request adds a fraction of a token; each repeat takes a whole one. Safe for use by several
/// threads.
class retry_budget {
 public:
  explicit retry_budget(const retry_budget_settings& settings = {}) noexcept;

  /// \brief Counts a first attempt of a request. Repeats are not counted.
  void OnRequest() noexcept;
  /// \brief Takes a token for one repeat.
  /// \returns False if the budget is used up; the repeat must not be sent.
  [[nodiscard]] bool TryTakeToken() noexcept;
  /// \brief Returns a token for a repeat that was not sent after all.
  void ReturnToken() noexcept;
  [[nodiscard]] double tokens() const noexcept;

 private:
  void Deposit(std::int64_t amount) noexcept;

  const std::int64_t deposit_per_request_;
  const std::int64_t capacity_;
  std::atomic<std::int64_t> balance_;
};

}  // namespace quincebank
