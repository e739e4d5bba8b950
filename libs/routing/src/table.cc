#include "quincebank/routing/table.h"

#include <algorithm>
#include <array>
#include <bit>
#include <numeric>
#include <utility>

#include "quincebank/base/random.h"

namespace quincebank {
namespace {

struct state_name {
  upstream_state state;
  std::string_view text;
};

constexpr std::array<state_name, 4> kStateNames{{
    {upstream_state::kUsable, "usable"},
    {upstream_state::kDrained, "drained"},
    {upstream_state::kLeaving, "leaving"},
    {upstream_state::kSuspected, "suspected"},
}};

constexpr std::uint64_t PoolKey(std::string_view model_version, std::string_view adapter) noexcept {
  return StableHash64(adapter, StableHash64(model_version));
}

error UpstreamError(std::size_t index, std::string_view member, std::string message) {
  return error{error_code::kInvalidArgument, std::move(message), verdict::kNotRun,
               "/upstreams/" + std::to_string(index) + "/" + std::string(member)};
}

}  // namespace

std::string_view ToString(upstream_state state) noexcept {
  for (const state_name& name : kStateNames) {
    if (name.state == state)
      return name.text;
  }
  return "suspected";
}

std::optional<upstream_state> ParseUpstreamState(std::string_view text) noexcept {
  for (const state_name& name : kStateNames) {
    if (name.text == text)
      return name.state;
  }
  return std::nullopt;
}

result<ref_ptr<const routing_table>> routing_table::Build(std::string service,
                                                          std::vector<upstream> upstreams) {
  if (upstreams.size() > kMaxUpstreams) {
    return error{error_code::kInvalidArgument,
                 "more than " + std::to_string(kMaxUpstreams) + " upstreams", verdict::kNotRun,
                 "/upstreams"};
  }
  ref_ptr<routing_table> table(new routing_table);
  table->service_ = std::move(service);
  table->upstreams_ = std::move(upstreams);
  for (std::size_t i = 0; i < table->upstreams_.size(); ++i) {
    const upstream& one = table->upstreams_[i];
    // Records keep the ids as lines of one text.
    if (one.id.empty() || one.id.find('\n') != std::string::npos)
      return UpstreamError(i, "id", "expected a non-empty string without line breaks");
    if (one.weight < 1 || one.weight > kMaxWeight) {
      return UpstreamError(i, "weight",
                           "expected a whole number from 1 to " + std::to_string(kMaxWeight));
    }
    table->keys_.push_back(KeyOf(one.id));
    table->regions_.push_back(table->Number(one.region));
    table->failure_domains_.push_back(table->Number(one.failure_domain));
  }
  table->BuildKeySlots();
  table->BuildSuspectedShares();
  for (std::uint32_t i = 0; i < table->size(); ++i) {
    if (table->IndexOf(table->keys_[i]) != i)
      return UpstreamError(i, "id", "repeats the id of another upstream");
  }

  // The order must not depend on the input's, which may be sorted by host or failure domain.
  std::vector<std::uint32_t> order(table->size());
  std::iota(order.begin(), order.end(), 0U);
  std::sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) {
    if (table->regions_[a] != table->regions_[b])
      return table->regions_[a] < table->regions_[b];
    return Mix64(table->keys_[a].value) < Mix64(table->keys_[b].value);
  });
  for (const std::uint32_t index : order) {
    if (table->upstreams_[index].state == upstream_state::kUsable)
      table->AddToPools(index);
  }
  for (pool& one : table->pools_) {
    for (const std::uint32_t index : one.index)
      one.stretch.push_back(kStretchOne * one.max_weight / table->upstreams_[index].weight);
  }
  return ref_ptr<const routing_table>(std::move(table));
}

void routing_table::AddToPools(std::uint32_t index) {
  const upstream& one = upstreams_[index];
  AddToPool({}, {}, index);
  if (!one.model_version.empty())
    AddToPool(one.model_version, {}, index);
  for (const std::string& adapter : one.adapters) {
    AddToPool({}, adapter, index);
    if (!one.model_version.empty())
      AddToPool(one.model_version, adapter, index);
  }
}

void routing_table::AddToPool(std::string_view model_version,
                              std::string_view adapter,
                              std::uint32_t index) {
  const std::uint64_t key = PoolKey(model_version, adapter);
  const auto position = std::lower_bound(pool_keys_.begin(), pool_keys_.end(), key);
  const auto offset = position - pool_keys_.begin();
  if (position == pool_keys_.end() || *position != key) {
    pool_keys_.insert(position, key);
    pools_.insert(pools_.begin() + offset, pool{.model_version = std::string(model_version),
                                                .adapter = std::string(adapter)});
  }
  pool& target = pools_[static_cast<std::size_t>(offset)];
  if (!target.index.empty() && target.index.back() == index)
    return;  // The upstream lists the adapter twice.
  target.index.push_back(index);
  target.multiplier.push_back(Mix64(keys_[index].value) | 1U);
  target.max_weight = std::max(target.max_weight, upstreams_[index].weight);
  const auto size = static_cast<std::uint32_t>(target.index.size());
  if (target.regions.empty() || target.regions.back().region != regions_[index])
    target.regions.push_back({regions_[index], size - 1, size, 0});
  target.regions.back().end = size;
  target.regions.back().weight += upstreams_[index].weight;
}

void routing_table::BuildKeySlots() {
  key_slots_.assign(std::bit_ceil(2 * size() + 1), kNone);
  const std::size_t mask = key_slots_.size() - 1;
  for (std::uint32_t i = 0; i < size(); ++i) {
    std::size_t slot = keys_[i].value & mask;
    while (key_slots_[slot] != kNone && keys_[key_slots_[slot]] != keys_[i])
      slot = (slot + 1) & mask;
    if (key_slots_[slot] == kNone)
      key_slots_[slot] = i;
  }
}

void routing_table::BuildSuspectedShares() {
  std::vector<std::uint32_t> members(names_.size() + 1);
  std::vector<std::uint32_t> suspected(names_.size() + 1);
  for (std::size_t i = 0; i < size(); ++i) {
    ++members[failure_domains_[i]];
    if (upstreams_[i].state == upstream_state::kSuspected)
      ++suspected[failure_domains_[i]];
  }
  suspected_shares_.assign(names_.size() + 1, 0);
  // Number 0 stands for upstreams without a failure domain, which share nothing.
  for (std::size_t number = 1; number < suspected_shares_.size(); ++number) {
    if (suspected[number] > 1)
      suspected_shares_[number] = kShareOne * (suspected[number] - 1) / members[number];
  }
}

std::uint16_t routing_table::Number(const std::string& name) {
  const std::uint16_t known = NumberOf(name);
  if (known != 0 || name.empty())
    return known;
  names_.push_back(name);
  return static_cast<std::uint16_t>(names_.size());
}

std::uint32_t routing_table::IndexOf(upstream_key key) const noexcept {
  const std::size_t mask = key_slots_.size() - 1;
  for (std::size_t slot = key.value & mask; key_slots_[slot] != kNone; slot = (slot + 1) & mask) {
    if (keys_[key_slots_[slot]] == key)
      return key_slots_[slot];
  }
  return kNone;
}

const routing_table::pool* routing_table::FindPool(std::string_view model_version,
                                                   std::string_view adapter) const noexcept {
  const std::uint64_t key = PoolKey(model_version, adapter);
  const auto position = std::lower_bound(pool_keys_.begin(), pool_keys_.end(), key);
  if (position == pool_keys_.end() || *position != key)
    return nullptr;
  const pool& found = pools_[static_cast<std::size_t>(position - pool_keys_.begin())];
  // Two names with the same hash must not route to the wrong model.
  if (found.model_version != model_version || found.adapter != adapter)
    return nullptr;
  return &found;
}

std::uint16_t routing_table::NumberOf(std::string_view name) const noexcept {
  for (std::size_t i = 0; i < names_.size(); ++i) {
    if (names_[i] == name)
      return static_cast<std::uint16_t>(i + 1);
  }
  return 0;
}

}  // namespace quincebank
