#include "rank_load.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace quincebank {
namespace {

namespace json = boost::json;

constexpr double kTokenNs = 400;     // At nominal speed.
constexpr double kNoiseWidth = 0.1;  // Step times vary evenly within this part of their mean.

const json::array* Find(const json::object& object, std::string_view key) {
  const json::value* const value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_array();
}

/// A whole number within [0, limit), or nothing.
std::optional<std::size_t> ReadIndex(const json::value& value, std::size_t limit) {
  boost::system::error_code ec;
  const auto number = value.to_number<std::uint64_t>(ec);
  if (ec || number >= limit)
    return std::nullopt;
  return static_cast<std::size_t>(number);
}

}  // namespace

std::optional<rank_shares> ReadShares(const json::value& map,
                                      std::size_t rank,
                                      std::size_t ranks,
                                      std::size_t layers,
                                      std::size_t experts) {
  const json::array* const rows = map.is_object() ? Find(map.get_object(), "layers") : nullptr;
  if (rows == nullptr || rows->size() != layers)
    return std::nullopt;
  rank_shares shares(layers, std::vector<std::int64_t>(experts, 0));
  for (std::size_t layer = 0; layer < layers; ++layer) {
    const json::object* const row = (*rows)[layer].if_object();
    const json::array* const slots = row ? Find(*row, "experts") : nullptr;
    const json::array* const parts = row ? Find(*row, "shares") : nullptr;
    if (slots == nullptr || parts == nullptr || slots->size() != parts->size() ||
        slots->size() % ranks != 0)
      return std::nullopt;
    const std::size_t per_rank = slots->size() / ranks;
    for (std::size_t slot = rank * per_rank; slot < (rank + 1) * per_rank; ++slot) {
      const auto expert = ReadIndex((*slots)[slot], experts);
      const auto part = ReadIndex((*parts)[slot], kShareParts + 1);
      if (!expert || !part)
        return std::nullopt;
      shares[layer][*expert] += static_cast<std::int64_t>(*part);
    }
  }
  return shares;
}

rank_shares FirstShares(std::size_t rank,
                        std::size_t ranks,
                        std::size_t layers,
                        std::size_t experts) {
  rank_shares shares(layers, std::vector<std::int64_t>(experts, 0));
  for (std::vector<std::int64_t>& layer : shares) {
    for (std::size_t expert = rank; expert < experts; expert += ranks)
      layer[expert] = kShareParts;
  }
  return shares;
}

rank_load::rank_load(std::size_t layers, std::size_t experts, std::uint64_t seed)
    : parts_(layers, std::vector<std::int64_t>(experts, 0)), random_(seed) {}

void rank_load::AddStep(const rank_shares& shares,
                        const std::vector<std::vector<std::int64_t>>& tokens,
                        std::int64_t speed_permille) {
  std::int64_t step_parts = 0;
  for (std::size_t layer = 0; layer < tokens.size(); ++layer) {
    for (std::size_t expert = 0; expert < tokens[layer].size(); ++expert) {
      const std::int64_t parts = tokens[layer][expert] * shares[layer][expert];
      parts_[layer][expert] += parts;
      step_parts += parts;
    }
  }
  handled_parts_ += step_parts;
  const double noise = 1 + (kNoiseWidth * (random_.Unit() - 0.5));
  busy_ns_ += static_cast<std::int64_t>(static_cast<double>(step_parts) / kShareParts * kTokenNs *
                                        1000 / static_cast<double>(speed_permille) * noise);
}

std::vector<std::vector<std::int64_t>> rank_load::Tokens() const {
  std::vector<std::vector<std::int64_t>> tokens = parts_;
  for (std::vector<std::int64_t>& layer : tokens) {
    for (std::int64_t& count : layer)
      count /= kShareParts;
  }
  return tokens;
}

}  // namespace quincebank
