#include "quincebank/admission/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace quincebank {
namespace {

// Balances are integers in units of a millionth of a token, so that ten deposits of 0.1 add up to
// exactly one token.
constexpr std::int64_t kUnitsPerToken = 1'000'000;

std::int64_t ToUnits(double tokens) noexcept {
  return std::llround(std::max(tokens, 0.0) * static_cast<double>(kUnitsPerToken));
}

}  // namespace

retry_budget::retry_budget(const retry_budget_settings& settings) noexcept
    : deposit_per_request_(ToUnits(settings.ratio)),
      capacity_(ToUnits(settings.burst)),
      balance_(std::min(ToUnits(settings.initial), capacity_)) {}

void retry_budget::Deposit(std::int64_t amount) noexcept {
  std::int64_t balance = balance_.load(std::memory_order_relaxed);
  while (balance < capacity_ &&
         !balance_.compare_exchange_weak(balance, std::min(balance + amount, capacity_),
                                         std::memory_order_relaxed)) {
  }
}

void retry_budget::OnRequest() noexcept {
  Deposit(deposit_per_request_);
}

bool retry_budget::TryTakeToken() noexcept {
  std::int64_t balance = balance_.load(std::memory_order_relaxed);
  while (balance >= kUnitsPerToken) {
    if (balance_.compare_exchange_weak(balance, balance - kUnitsPerToken,
                                       std::memory_order_relaxed))
      return true;
  }
  return false;
}

void retry_budget::ReturnToken() noexcept {
  Deposit(kUnitsPerToken);
}

double retry_budget::tokens() const noexcept {
  return static_cast<double>(balance_.load(std::memory_order_relaxed)) /
         static_cast<double>(kUnitsPerToken);
}

}  // namespace quincebank
