#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "quincebank/routing/table.h"

namespace quincebank {

/// \brief What an engine says about its prefix cache.
enum class cache_event_kind : std::uint8_t {
  kStored,
  kEvicted,
  kCleared,  ///< The cache is empty; `blocks` is not read.
};

/// \brief One event of an upstream's engine. Events may arrive late, repeated, or not at all.
struct cache_event {
  upstream_key upstream;
  std::uint64_t boot = 0;      ///< Boot number of the engine; it changes with each restart.
  std::uint64_t sequence = 0;  ///< Rises by one from event to event.
  cache_event_kind kind = cache_event_kind::kStored;
  std::span<const std::uint64_t> blocks;  ///< Chained block hashes, as `PrefixHashes` makes them.
};

/// \brief An upstream that holds the first blocks of a prompt.
struct prefix_hit {
  upstream_key upstream;
  std::uint32_t blocks = 0;

  [[nodiscard]] bool operator==(const prefix_hit&) const noexcept = default;
};

/// Most upstreams in one look-up.
inline constexpr std::size_t kMaxPrefixHits = 6;

/// \brief Upstreams that hold a part of a prompt, longest part first. It has a fixed size.
struct prefix_hits {
  std::array<prefix_hit, kMaxPrefixHits> hit{};
  std::uint32_t count = 0;

  [[nodiscard]] std::span<const prefix_hit> view() const noexcept {
    return std::span(hit).first(count);
  }
};

/// \brief Remembers which upstreams hold which prompt blocks, from cache events.
///
/// A gap in an upstream's sequence may hide evictions. Blocks learned from events before the gap
/// are then no longer reported. A changed boot number has the same effect, and late events of the
/// boot before it are ignored. Memory is bounded: the table has a fixed number of blocks and
/// replaces the least recently stored. Not safe for use by several threads.
class prefix_index {
 public:
  /// Most upstreams remembered for one block; the latest are kept.
  static constexpr std::size_t kHolders = 4;

  /// \param max_blocks  is rounded up to a power of two.
  explicit prefix_index(std::size_t max_blocks);

  void Apply(const cache_event& event);
  /// \brief Notes that an upstream has computed these blocks for a request of this entry.
  ///
  /// It bridges the time until the cache event arrives, and serves where no events are received.
  /// Such blocks stay valid after a gap: the entry knows of them by itself. A restart of the
  /// engine, an event that evicts them, or `Forget` ends them.
  void NoteServed(upstream_key upstream, std::span<const std::uint64_t> blocks);
  /// \brief Drops all that is known about an upstream. Call it for each upstream that is removed
  /// from the snapshot; the index holds at most 65,535 upstreams and ignores further ones.
  void Forget(upstream_key upstream);
  /// \brief Finds the upstreams that hold the longest parts of a prompt. Allocates no memory.
  [[nodiscard]] prefix_hits Find(std::span<const std::uint64_t> prefix) const noexcept;

  /// \brief Number of times that a gap or a restart made earlier blocks of an upstream untrusted.
  [[nodiscard]] std::uint64_t invalidations() const noexcept { return invalidations_; }
  /// \brief Returns the bytes held by the block table, which never grows.
  [[nodiscard]] std::size_t table_bytes() const noexcept { return sets_.size() * sizeof(set); }

 private:
  static constexpr std::size_t kWays = 4;

  struct holder {
    std::uint16_t slot = 0;
    std::uint16_t epoch : 15 = 0;  // 0: none.
    std::uint16_t own : 1 = 0;     // From NoteServed.
  };
  struct block {
    std::uint64_t hash = 0;
    std::uint64_t stored_at = 0;  // Value of clock_; 0: unused.
    std::array<holder, kHolders> holders{};
  };
  struct set {
    std::array<block, kWays> ways{};
  };
  struct source {
    upstream_key key;
    std::uint64_t boot = 0;
    std::uint64_t previous_boot = 0;
    std::uint64_t next = 0;
    bool has_events = false;
    std::uint16_t epoch = 0;      // Of blocks from events; 0: never used.
    std::uint16_t own_epoch = 0;  // Of blocks from NoteServed.
  };

  source* SourceOf(upstream_key key);
  void Invalidate(source& from);
  void InvalidateAll(source& from);
  void DropSlot(std::uint16_t slot);
  void Store(std::uint16_t slot, std::uint64_t hash, bool own);
  void Remove(std::uint16_t slot, std::uint64_t hash);
  [[nodiscard]] const block* FindBlock(std::uint64_t hash) const noexcept;
  [[nodiscard]] bool Trusted(const holder& held) const noexcept;
  void AddHolders(std::uint64_t hash, std::size_t depth, prefix_hits& hits) const noexcept;

  std::vector<set> sets_;
  std::vector<source> sources_;
  std::unordered_map<std::uint64_t, std::uint16_t> slots_;
  std::uint64_t clock_ = 0;
  std::uint64_t invalidations_ = 0;
};

}  // namespace quincebank
