#pragma once

#include <optional>
#include <span>
#include <vector>

#include "quincebank/experts/even_share_plan.h"

namespace quincebank {

/// \brief Search for a better map of one set of layers. Keeps the loads of all ranks up to date.
class even_share_search {
 public:
  even_share_search(const even_share_shape& shape,
                    const rank_experts& current,
                    std::span<const double> loads);

  [[nodiscard]] double Peak() const;
  [[nodiscard]] double Mean() const noexcept { return mean_; }
  [[nodiscard]] const rank_experts& holders() const noexcept { return holders_; }
  /// \brief Experts that one rank has to load.
  [[nodiscard]] int NewOn(int rank) const { return new_on_[Index(rank)]; }

  /// \brief Takes the step that relieves the most loaded rank best.
  /// \param left  experts that each rank may still load for the plan; lowered by the step.
  /// \returns Whether there was one that is worth its loads.
  [[nodiscard]] bool Step(std::span<int> left);
  /// \brief Copies the expert with the largest share that fits to the least loaded rank with a
  /// free place. The peak does not rise.
  /// \returns Whether there was such a rank that may load one.
  [[nodiscard]] bool Fill(std::span<int> left);

 private:
  static constexpr int kNone = -1;

  /// The most loaded rank gives tokens of `expert` to `target`.
  struct step {
    int expert = kNone;
    int target = kNone;    ///< None: the rank only drops its copy.
    int evicted = kNone;   ///< Spare copy on the target that makes room.
    bool move = false;     ///< The most loaded rank gives its copy up.
    int returned = kNone;  ///< Expert of the target that moves to the rank in exchange.
    double change = 0;     ///< Of the sum of harms.
  };

  [[nodiscard]] static std::size_t Index(int number) noexcept {
    return static_cast<std::size_t>(number);
  }
  [[nodiscard]] int Copies(int expert) const {
    return static_cast<int>(where_[Index(expert)].size());
  }
  [[nodiscard]] double Share(int expert) const { return loads_[Index(expert)] / Copies(expert); }
  [[nodiscard]] bool Holds(int rank, int expert) const;
  [[nodiscard]] bool HeldBefore(int rank, int expert) const;
  [[nodiscard]] bool MayLoad(int rank, int expert, std::span<const int> left) const;
  [[nodiscard]] bool HasPlace(int rank) const {
    return static_cast<int>(holders_[Index(rank)].size()) < shape_.places;
  }
  /// \brief Ranks that could take tokens, least loaded first.
  void OrderTargets(std::size_t count);
  [[nodiscard]] std::optional<step> Best(int from, std::span<const int> left);
  void TryTarget(int from,
                 int expert,
                 int target,
                 std::span<const int> left,
                 std::optional<step>& best);
  void Consider(step candidate, int from, std::optional<step>& best);
  /// \brief Change of the sum of harms if the step were taken.
  [[nodiscard]] double Change(const step& candidate, int from);
  void Note(int rank, double change);
  void Add(int rank, int expert, std::span<int> left);
  void Drop(int rank, int expert, std::span<int> left);
  void Refresh();

  even_share_shape shape_;
  std::span<const double> loads_;
  const rank_experts* current_;
  double mean_;
  rank_experts holders_;
  std::vector<std::vector<int>> where_;  ///< Holders of each expert.
  std::vector<double> rank_loads_;
  std::vector<double> harms_;  ///< Of each rank's load.
  std::vector<int> new_on_;
  std::vector<int> order_;
  std::vector<double> changes_;  ///< Scratch: change of each rank's load, valid for `touched_`.
  std::vector<int> touched_;
};

}  // namespace quincebank
