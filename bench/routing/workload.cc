#include "workload.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace quincebank {
namespace {

constexpr std::uint32_t kMaxTemplates = 3;
constexpr std::uint32_t kMinTemplateBlocks = 2;
constexpr std::uint32_t kTemplateBlockChoices = 5;
constexpr std::uint32_t kMaxTurnBlocks = 3;
constexpr std::array<double, 3> kLargeShares{0.30, 0.25, 0.15};

double Exponential(random_source& random) noexcept {
  return -std::log1p(-random.Unit());
}

std::uint64_t Chain(std::uint64_t previous, std::uint64_t text) noexcept {
  return Mix64(previous * 0x9e3779b97f4a7c15ULL + text + 1);
}

}  // namespace

workload::workload(const workload_model& model, std::uint64_t seed) noexcept
    : model_(model), arrivals_(Mix64(seed)), seed_(seed) {}

sim_time workload::NextArrival() noexcept {
  const double rate = model_.requests_per_second / model_.mean_turns;
  return sim_time(static_cast<std::int64_t>(Exponential(arrivals_) / rate * 1e6));
}

std::uint32_t workload::Workspace(random_source& random) const noexcept {
  double u = random.Unit();
  if (!model_.few_large) {
    const double rank = std::exp(u * std::log(model_.workspaces + 1.0));
    return std::min(static_cast<std::uint32_t>(rank) - 1, model_.workspaces - 1);
  }
  for (std::uint32_t i = 0; i < kLargeShares.size(); ++i) {
    if (u < kLargeShares.at(i))
      return i;
    u -= kLargeShares.at(i);
  }
  return static_cast<std::uint32_t>(kLargeShares.size() +
                                    random.Below(model_.workspaces - kLargeShares.size()));
}

conversation workload::NewConversation(std::uint32_t domains) {
  conversation talk;
  talk.random = random_source(Mix64(seed_ ^ Mix64(++count_)));
  talk.workspace = Workspace(talk.random);
  talk.domain = static_cast<std::uint32_t>(talk.random.Below(domains));
  talk.priority = static_cast<int>(talk.random.Below(kMaxPriority + 1));
  while (talk.random.Unit() > 1 / model_.mean_turns)
    ++talk.turns_left;
  const std::uint64_t scope = Mix64(talk.workspace + 1);
  const std::uint64_t number = talk.random.Below(kMaxTemplates);
  const std::uint64_t blocks = kMinTemplateBlocks + Chain(scope, number) % kTemplateBlockChoices;
  std::uint64_t hash = Chain(scope, number);
  for (std::uint64_t i = 0; i < blocks; ++i) {
    hash = Chain(hash, i);
    talk.prompt.push_back(hash);
  }
  AddTurn(talk);
  return talk;
}

void workload::AddTurn(conversation& talk) {
  const std::uint64_t blocks = 1 + talk.random.Below(kMaxTurnBlocks);
  for (std::uint64_t i = 0; i < blocks && talk.prompt.size() < kMaxPrefixBlocks; ++i)
    talk.prompt.push_back(Chain(talk.prompt.back(), talk.random.Next()));
}

sim_time workload::Think(conversation& talk) const noexcept {
  return sim_time(static_cast<std::int64_t>(Exponential(talk.random) *
                                            static_cast<double>(model_.mean_think.count())));
}

std::uint32_t workload::Tokens(conversation& talk) const noexcept {
  const double tokens = Exponential(talk.random) * model_.mean_tokens;
  return std::clamp(static_cast<std::uint32_t>(tokens), 1U, 4 * model_.mean_tokens);
}

}  // namespace quincebank
