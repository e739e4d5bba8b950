#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "quincebank/base/ids.h"
#include "quincebank/base/verdict.h"
#include "quincebank/idempotency/keyed_request.h"

namespace quincebank::scenario {

/// \brief One call of a caller for an order.
struct order_call {
  std::uint64_t id = 0;
  std::string order;
  std::string entry;
  request_kind kind = request_kind::kKeyed;
  bool open = true;
  bool answered = false;
  std::optional<verdict> outcome;  ///< Nothing if the connection closed without a verdict.
  std::string message;             ///< Of a failure.
  std::string received;
};

/// \brief What callers were told and what upstreams ran; finds contradictions between them.
class order_book {
 public:
  /// \brief Returns the answer that an upstream gives to an order.
  [[nodiscard]] static std::string ExpectedAnswer(std::string_view order);

  std::uint64_t Open(const std::string& order, const std::string& entry, request_kind kind);
  void Bytes(std::uint64_t call, std::string_view text);
  void End(std::uint64_t call, const request_end& end);
  /// \brief Closes all open calls of an entry without a verdict.
  void EntryDied(const std::string& entry);
  /// \brief Notes that a call created an attempt.
  void Sent(std::uint64_t call, attempt_id attempt);
  void Ran(const std::string& order, attempt_id attempt);
  /// \brief Reports calls that never got a verdict. For the end of a script.
  void CheckNoneOpen();

  [[nodiscard]] std::size_t Runs(const std::string& order) const;
  [[nodiscard]] bool Answered(const std::string& order) const;
  [[nodiscard]] const order_call* LastCall(const std::string& order) const;
  [[nodiscard]] const std::vector<order_call>& calls() const noexcept { return calls_; }
  [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }

 private:
  [[nodiscard]] order_call& At(std::uint64_t call) { return calls_.at(call - 1); }
  void CheckOrder(const std::string& order);
  void Violation(std::string text);

  std::vector<order_call> calls_;
  std::map<std::string, std::vector<attempt_id>> runs_;
  std::map<std::string, std::vector<std::uint64_t>> calls_of_;
  std::unordered_map<attempt_id, std::uint64_t> owner_;
  std::vector<std::string> violations_;
};

}  // namespace quincebank::scenario
