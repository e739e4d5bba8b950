#include "quincebank/scenario/order_book.h"

#include <algorithm>
#include <utility>

namespace quincebank::scenario {
namespace {
constexpr std::size_t kAnswerRepeats = 6;
}

std::string order_book::ExpectedAnswer(std::string_view order) {
  std::string text;
  for (std::size_t i = 0; i < kAnswerRepeats; ++i)
    text += "line " + std::to_string(i) + " of " + std::string(order) + "\n";
  return text;
}

std::uint64_t order_book::Open(const std::string& order,
                               const std::string& entry,
                               request_kind kind) {
  order_call call;
  call.id = calls_.size() + 1;
  call.order = order;
  call.entry = entry;
  call.kind = kind;
  calls_.push_back(call);
  calls_of_[order].push_back(call.id);
  return call.id;
}

void order_book::Bytes(std::uint64_t call, std::string_view text) {
  order_call& entry = At(call);
  if (!entry.open)
    return;
  entry.received += text;
  if (!ExpectedAnswer(entry.order).starts_with(entry.received))
    Violation("call " + std::to_string(call) + " got bytes that are not its answer");
}

void order_book::End(std::uint64_t call, const request_end& end) {
  order_call& entry = At(call);
  if (!entry.open)
    return;
  entry.open = false;
  entry.outcome = end.outcome;
  entry.answered = end.answered;
  entry.message = end.failure.message;
  if (end.answered && entry.received != ExpectedAnswer(entry.order))
    Violation("call " + std::to_string(call) + " got a partial answer as the whole");
  if (end.outcome == verdict::kRan && Runs(entry.order) == 0)
    Violation("call " + std::to_string(call) + " was told 'ran', but the order never ran");
  if (end.outcome != verdict::kNotRun)
    return;
  // The key names the order, so a run by an earlier call with the same key counts. A later call is
  // a caller's own repeat while this one was still open.
  for (const attempt_id attempt : runs_[entry.order]) {
    if (entry.kind == request_kind::kKeyed && owner_[attempt] < call)
      Violation("call " + std::to_string(call) + " was told 'not run' after an earlier call ran");
  }
  for (const attempt_id attempt : runs_[entry.order]) {
    if (owner_[attempt] == call)
      Violation("call " + std::to_string(call) + " was told 'not run' after its attempt ran");
  }
  CheckOrder(entry.order);
}

void order_book::EntryDied(const std::string& entry) {
  for (order_call& call : calls_) {
    if (call.entry == entry)
      call.open = false;
  }
}

void order_book::Sent(std::uint64_t call, attempt_id attempt) {
  owner_[attempt] = call;
}

void order_book::Ran(const std::string& order, attempt_id attempt) {
  runs_[order].push_back(attempt);
  const order_call& owner = At(owner_.at(attempt));
  if (owner.kind != request_kind::kRepeatable && runs_[order].size() > 1)
    Violation("order " + order + " ran " + std::to_string(runs_[order].size()) + " times");
  if (owner.outcome == verdict::kNotRun)
    Violation("order " + order + " ran after call " + std::to_string(owner.id) +
              " was told 'not run'");
  CheckOrder(order);
}

// A caller that was told "not run" on every call for an order takes it as never placed.
void order_book::CheckOrder(const std::string& order) {
  if (Runs(order) == 0)
    return;
  const std::vector<std::uint64_t>& calls = calls_of_[order];
  const bool all_not_run = std::all_of(calls.begin(), calls.end(), [&](std::uint64_t call) {
    return At(call).outcome == verdict::kNotRun;
  });
  if (all_not_run)
    Violation("order " + order + " ran, and all its calls were told 'not run'");
}

void order_book::CheckNoneOpen() {
  for (const order_call& call : calls_) {
    if (call.open)
      Violation("call " + std::to_string(call.id) + " for order " + call.order +
                " never got a verdict");
  }
}

std::size_t order_book::Runs(const std::string& order) const {
  const auto found = runs_.find(order);
  return found == runs_.end() ? 0 : found->second.size();
}

bool order_book::Answered(const std::string& order) const {
  return std::any_of(calls_.begin(), calls_.end(),
                     [&](const order_call& call) { return call.order == order && call.answered; });
}

const order_call* order_book::LastCall(const std::string& order) const {
  const auto found = calls_of_.find(order);
  return found == calls_of_.end() ? nullptr : &calls_[found->second.back() - 1];
}

void order_book::Violation(std::string text) {
  violations_.push_back(std::move(text));
}

}  // namespace quincebank::scenario
