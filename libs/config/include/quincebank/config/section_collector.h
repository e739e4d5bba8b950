#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/config/apply_flow.h"

namespace quincebank {

/// \brief Key of the list of section bodies that may be erased.
inline constexpr std::string_view kGarbageKey = "config/garbage";

struct collect_settings {
  std::size_t max_bodies = 8;    ///< Erased in one run.
  std::uint64_t grace = 32;      ///< Versions for which a dropped body is kept.
  std::size_t max_tries = 4;     ///< To write the list against other writers.
  std::size_t max_list = 8'000;  ///< Entries of the list; beyond it, bodies stay for good.
};

/// \brief Call to the key-value service.
struct collect_call {
  enum class kind : std::uint8_t {
    kRead,   ///< Answer by `OnRead`.
    kSwap,   ///< Replace `key` if its index is `index` (0: absent); answer by `OnWritten`.
    kErase,  ///< Delete `key` if its index is `index`; answer by `OnWritten`.
  };
  kind what = kind::kRead;
  std::string key;
  std::string value;
  std::uint64_t index = 0;
};

/// \brief Erases section bodies that no root names, and that none can come to name.
///
/// A body is erased in four steps: the root is seen not to name it, its index is read, the same
/// bytes of the root are written again at the root's index, and the body is deleted if it still has
/// its index. An apply that has read the root before the third step fails at its swap; one that
/// reads it later writes the body again, which changes its index. So it does not matter where an
/// apply is paused, and how late a call of the collector takes effect. Does no I/O.
class section_collector {
 public:
  /// \param dropped  digests that an apply has left behind.
  section_collector(std::vector<std::string> dropped, collect_settings settings);

  /// \brief Returns the next call, or nothing at the end.
  [[nodiscard]] std::optional<collect_call> Next() const;
  void OnRead(const std::optional<stored_value>& value);
  void OnWritten(bool applied);
  /// \brief A call failed, or its answer was lost.
  void OnError();

  [[nodiscard]] std::size_t erased() const noexcept { return erased_; }

 private:
  enum class step : std::uint8_t {
    kReadList,
    kReadRoot,
    kReadBody,
    kFence,
    kErase,
    kSwapList,
    kDone
  };

  void OnList(const std::optional<stored_value>& value);
  void OnBody(const std::optional<stored_value>& value);
  void OnRoot(const std::optional<stored_value>& value);
  void NextErase();
  void BeginSwapList();

  const std::vector<std::string> dropped_;
  const collect_settings settings_;
  step step_ = step::kReadList;
  std::size_t tries_ = 0;
  bool collected_ = false;                     ///< The part before `kSwapList` is over.
  std::map<std::string, std::uint64_t> list_;  ///< Version at which each digest was dropped.
  std::uint64_t list_index_ = 0;
  std::string list_value_;
  std::vector<std::string> candidates_;
  std::map<std::string, std::uint64_t> indexes_;  ///< Of the candidates' bodies.
  std::size_t at_ = 0;
  std::optional<stored_value> root_;
  std::uint64_t version_ = 0;
  std::set<std::string> settled_;  ///< Erased, absent, or named by the root again.
  std::size_t erased_ = 0;
};

}  // namespace quincebank
