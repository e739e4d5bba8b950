#pragma once

#include <atomic>
#include <cstdint>

namespace quincebank {

/// \brief Settings of a `retry_budget`.
struct retry_budget_settings {
  double ratio = 0.1;    ///< Tokens added per request; a retry or hedge takes one.
  double burst = 10.0;   ///< Most tokens that can accumulate.
  double initial = 1.0;  ///< Tokens at construction, at most `burst`.
};

/// \brief Token bucket that limits retries and hedges to a share of the requests of this node.
///
/// Each request adds a fraction of a token; each retry or hedge takes a whole one. Thread-safe.
class retry_budget {
 public:
  explicit retry_budget(const retry_budget_settings& settings = {}) noexcept;

  /// \brief Adds the share of a token for one request. Call it for the first attempt only.
  void OnRequest() noexcept;
  /// \brief Takes a token for one retry or hedge.
  /// \returns False if there is no whole token; the retry or hedge must then not be sent.
  [[nodiscard]] bool TryTakeToken() noexcept;
  /// \brief Puts back the token of a retry or hedge that was not sent.
  void ReturnToken() noexcept;
  /// \brief Returns the tokens available now, a fraction included.
  [[nodiscard]] double tokens() const noexcept;

 private:
  /// Adds up to the capacity.
  void Deposit(std::int64_t amount) noexcept;

  // All in units of a millionth of a token.
  const std::int64_t deposit_per_request_;
  const std::int64_t capacity_;
  std::atomic<std::int64_t> balance_;
};

}  // namespace quincebank
