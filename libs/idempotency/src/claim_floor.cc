#include "quincebank/idempotency/claim_floor.h"

#include <charconv>

#include "quincebank/idempotency/retention.h"

namespace quincebank {
namespace {

constexpr std::string_view kMagic = "QF1";

bool TakeNumber(std::string_view& text, std::uint64_t& value) noexcept {
  if (text.empty() || text.front() != ' ')
    return false;
  text.remove_prefix(1);
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc())
    return false;
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return true;
}

}  // namespace

result<claim_floor> claim_floor::Parse(std::string_view value) {
  claim_floor floor;
  if (value.empty())
    return floor;
  const bool known = value.starts_with(kMagic);
  value.remove_prefix(known ? kMagic.size() : 0);
  if (!known || !TakeNumber(value, floor.slice) || !TakeNumber(value, floor.erased) ||
      !TakeNumber(value, floor.reduced) || !value.empty())
    return MakeError(error_code::kInternal, "claim floor is malformed");
  return floor;
}

std::string claim_floor::Serialise() const {
  return std::string(kMagic) + " " + std::to_string(slice) + " " + std::to_string(erased) + " " +
         std::to_string(reduced);
}

bool IsBelow(const bucket_layout& layout,
             const request_key& key,
             std::uint64_t floor_slice) noexcept {
  return key.issued && SliceOf(layout, *key.issued) < floor_slice;
}

bool NeedsFloor(const request_key& key, const claim_decision& decision, wall_time now) noexcept {
  const bool fresh =
      decision.outcome == claim_outcome::kOwned || decision.outcome == claim_outcome::kAbsent;
  return fresh && key.issued && *key.issued < now - kMinKeyRetention;
}

claim_decision ApplyFloor(const bucket_layout& layout,
                          const request_key& key,
                          const claim_decision& decision,
                          const store_reply& reply) {
  const auto floor = claim_floor::Parse(reply.value);
  claim_decision checked;
  checked.ticket = decision.ticket;
  if (reply.what != store_reply::status::kOk || !floor) {
    checked.failure =
        MakeError(error_code::kUnavailable, "the key-value service did not confirm the old key");
    return checked;
  }
  if (!IsBelow(layout, key, floor.value().slice))
    return decision;
  checked.outcome = claim_outcome::kUsed;
  return checked;
}

}  // namespace quincebank
