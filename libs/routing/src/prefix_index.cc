#include "quincebank/routing/prefix_index.h"

#include <algorithm>
#include <bit>
#include <limits>

#include "quincebank/base/random.h"

namespace quincebank {
namespace {

constexpr std::uint16_t kMaxEpoch = 0x7fff;  // 15 bits, see `holder`.

}  // namespace

prefix_index::prefix_index(std::size_t max_blocks)
    : sets_(std::bit_ceil(std::max<std::size_t>(max_blocks, kWays) / kWays)) {}

prefix_index::source* prefix_index::SourceOf(upstream_key key) {
  const auto [position, added] =
      slots_.try_emplace(key.value, static_cast<std::uint16_t>(sources_.size()));
  if (!added)
    return &sources_[position->second];
  const auto free = std::find_if(sources_.begin(), sources_.end(),
                                 [](const source& one) { return one.key == upstream_key{}; });
  if (free != sources_.end()) {
    position->second = static_cast<std::uint16_t>(free - sources_.begin());
  } else if (sources_.size() < std::numeric_limits<std::uint16_t>::max()) {
    sources_.emplace_back();
  } else {
    slots_.erase(position);
    return nullptr;
  }
  source& fresh = sources_[position->second];
  fresh.key = key;
  fresh.epoch = std::max<std::uint16_t>(fresh.epoch, 1);
  fresh.own_epoch = std::max<std::uint16_t>(fresh.own_epoch, 1);
  return &fresh;
}

void prefix_index::Invalidate(source& from) {
  ++invalidations_;
  if (from.epoch < kMaxEpoch) {
    ++from.epoch;
    return;
  }
  // The epoch wraps: holders with an old equal number must not become valid again.
  DropSlot(static_cast<std::uint16_t>(&from - sources_.data()));
  from.epoch = 1;
}

void prefix_index::InvalidateAll(source& from) {
  Invalidate(from);
  if (from.own_epoch < kMaxEpoch) {
    ++from.own_epoch;
    return;
  }
  DropSlot(static_cast<std::uint16_t>(&from - sources_.data()));
  from.own_epoch = 1;
}

void prefix_index::DropSlot(std::uint16_t slot) {
  for (set& one : sets_) {
    for (block& entry : one.ways) {
      for (holder& held : entry.holders) {
        if (held.slot == slot)
          held = {};
      }
    }
  }
}

void prefix_index::Apply(const cache_event& event) {
  source* const from = SourceOf(event.upstream);
  if (from == nullptr)
    return;
  const auto slot = static_cast<std::uint16_t>(from - sources_.data());
  if (!from->has_events) {
    from->has_events = true;
    from->boot = event.boot;
    from->previous_boot = event.boot;
    from->next = event.sequence;
  } else if (event.boot != from->boot) {
    if (event.boot == from->previous_boot)
      return;
    InvalidateAll(*from);
    from->previous_boot = from->boot;
    from->boot = event.boot;
    from->next = event.sequence;
  }
  if (event.sequence < from->next) {
    // A late eviction is still safe to apply; a late store may have been evicted since.
    if (event.kind == cache_event_kind::kEvicted) {
      for (const std::uint64_t hash : event.blocks)
        Remove(slot, hash);
    }
    return;
  }
  if (event.sequence > from->next)
    Invalidate(*from);
  from->next = event.sequence + 1;
  if (event.kind == cache_event_kind::kCleared) {
    InvalidateAll(*from);
    return;
  }
  for (const std::uint64_t hash : event.blocks) {
    if (event.kind == cache_event_kind::kStored) {
      Store(slot, hash, false);
    } else {
      Remove(slot, hash);
    }
  }
}

void prefix_index::NoteServed(upstream_key upstream, std::span<const std::uint64_t> blocks) {
  const source* const from = SourceOf(upstream);
  if (from == nullptr)
    return;
  const auto slot = static_cast<std::uint16_t>(from - sources_.data());
  for (const std::uint64_t hash : blocks)
    Store(slot, hash, true);
}

void prefix_index::Forget(upstream_key upstream) {
  const auto position = slots_.find(upstream.value);
  if (position == slots_.end())
    return;
  source& from = sources_[position->second];
  InvalidateAll(from);
  // The epochs stay, so that the next user of the slot does not inherit the blocks.
  from = source{.epoch = from.epoch, .own_epoch = from.own_epoch};
  slots_.erase(position);
}

void prefix_index::Store(std::uint16_t slot, std::uint64_t hash, bool own) {
  ++clock_;
  set& candidates = sets_[Mix64(hash) & (sets_.size() - 1)];
  block* target = &candidates.ways.front();
  for (block& entry : candidates.ways) {
    if (entry.stored_at != 0 && entry.hash == hash) {
      target = &entry;
      break;
    }
    if (entry.stored_at < target->stored_at)
      target = &entry;
  }
  if (target->hash != hash || target->stored_at == 0)
    *target = block{hash, 0, {}};
  target->stored_at = clock_;
  // The newest holder is first; the oldest falls out.
  auto& holders = target->holders;
  auto position = std::find_if(holders.begin(), holders.end(), [&](const holder& held) {
    return held.epoch != 0 && held.slot == slot;
  });
  if (position == holders.end()) {
    position = std::prev(holders.end());
  } else if (position->own != 0 && position->epoch == sources_[slot].own_epoch) {
    own = true;  // An event confirms what the entry knows by itself.
  }
  std::move_backward(holders.begin(), position, std::next(position));
  const source& from = sources_[slot];
  const unsigned epoch = own ? from.own_epoch : from.epoch;
  holders.front() = holder{.slot = slot, .epoch = static_cast<std::uint16_t>(epoch & kMaxEpoch)};
  holders.front().own = own ? 1 : 0;
}

void prefix_index::Remove(std::uint16_t slot, std::uint64_t hash) {
  set& candidates = sets_[Mix64(hash) & (sets_.size() - 1)];
  for (block& entry : candidates.ways) {
    if (entry.hash != hash)
      continue;
    for (holder& held : entry.holders) {
      if (held.slot == slot)
        held = {};
    }
  }
}

const prefix_index::block* prefix_index::FindBlock(std::uint64_t hash) const noexcept {
  for (const block& entry : sets_[Mix64(hash) & (sets_.size() - 1)].ways) {
    if (entry.stored_at != 0 && entry.hash == hash)
      return &entry;
  }
  return nullptr;
}

bool prefix_index::Trusted(const holder& held) const noexcept {
  const source& from = sources_[held.slot];
  return held.epoch != 0 && held.epoch == (held.own != 0 ? from.own_epoch : from.epoch);
}

void prefix_index::AddHolders(std::uint64_t hash,
                              std::size_t depth,
                              prefix_hits& hits) const noexcept {
  const block* const found = FindBlock(hash);
  if (found == nullptr)
    return;
  for (const holder& held : found->holders) {
    if (!Trusted(held) || hits.count == kMaxPrefixHits)
      continue;
    const upstream_key key = sources_[held.slot].key;
    const auto known = hits.view();
    if (std::any_of(known.begin(), known.end(),
                    [&](const prefix_hit& hit) { return hit.upstream == key; })) {
      continue;
    }
    hits.hit.at(hits.count++) = {key, static_cast<std::uint32_t>(depth)};
  }
}

prefix_hits prefix_index::Find(std::span<const std::uint64_t> prefix) const noexcept {
  prefix_hits hits;
  const auto held_at = [&](std::size_t depth) {
    const block* const found = FindBlock(prefix[depth - 1]);
    return found != nullptr && std::any_of(found->holders.begin(), found->holders.end(),
                                           [&](const holder& held) { return Trusted(held); });
  };
  // Engines evict the end of a prompt before its beginning, so an upstream with a block has those
  // before it, even where the index has lost them. Where the lost block is met first, the search
  // finds a shorter part than there is.
  std::size_t deepest = 0;
  std::size_t missing = prefix.size() + 1;
  while (missing - deepest > 1) {
    const std::size_t middle = (deepest + missing) / 2;
    (held_at(middle) ? deepest : missing) = middle;
  }
  // Holders of less than the whole part are looked for at a few depths only.
  for (std::size_t depth = deepest; depth > 0 && hits.count < kMaxPrefixHits; depth /= 2)
    AddHolders(prefix[depth - 1], depth, hits);
  return hits;
}

}  // namespace quincebank
