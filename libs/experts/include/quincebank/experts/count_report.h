#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "quincebank/base/error.h"

namespace quincebank {

/// \brief Counters of one rank's engine since its start.
struct count_reading {
  std::uint64_t epoch = 0;  ///< Of the map in use.
  std::uint64_t steps = 0;
  std::optional<std::int64_t> busy_ns;
  std::vector<std::int64_t> tokens;  ///< Of each layer and expert, layer by layer.
};

/// \brief The last report that a coordinator has decoded; goes back to the sender as its receipt.
struct count_receipt {
  std::uint64_t coordinator = 0;  ///< Incarnation of the reader.
  std::uint64_t sender = 0;       ///< Incarnation of the writer; 0 before the first report.
  std::uint64_t series = 0;
  std::uint64_t number = 0;

  [[nodiscard]] bool operator==(const count_receipt&) const noexcept = default;
};

/// \brief Rate of one counter over the steps since it was reported before.
struct count_entry {
  std::uint32_t counter = 0;  ///< layer x experts + expert.
  std::uint8_t level = 0;     ///< See `RateOfLevel`.

  [[nodiscard]] bool operator==(const count_entry&) const noexcept = default;
};

/// \brief A report of at most a given size. Each one stands for itself, so one that is lost costs
/// only its news.
struct count_report {
  std::uint64_t sender = 0;
  std::uint64_t series = 0;  ///< Higher after the engine or its map has changed, or the reader.
  std::uint64_t number = 0;  ///< In the series.
  std::uint64_t epoch = 0;
  std::uint64_t steps = 0;
  std::uint64_t tokens = 0;  ///< Sum of all counters, exact.
  std::optional<std::int64_t> busy_ns;
  /// Counters `first` to `last - 1` are complete: one without an entry has no tokens.
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  std::vector<count_entry> entries;  ///< Ordered by counter.

  [[nodiscard]] bool operator==(const count_report&) const = default;
};

/// \brief Tokens a step. Levels are 6% apart from 1/64 to 64,000 tokens; level 0 is no token.
[[nodiscard]] double RateOfLevel(std::uint8_t level) noexcept;
[[nodiscard]] std::uint8_t LevelOfRate(double rate) noexcept;

[[nodiscard]] std::string EncodeReport(const count_report& report);
/// \param counters  of the reader's group; a report about more of them is refused.
[[nodiscard]] result<count_report> DecodeReport(std::string_view bytes, std::size_t counters);

/// \brief Writes the reports of one rank: in each the largest significant changes first, the rest
/// in rotation.
///
/// Keeps for each counter what the reader has. A report counts as read only when the next receipt
/// names it. The rounding error of a level is carried into the counter's next entry.
class count_encoder {
 public:
  /// \param changed_part  of a report that significant changes may take; the rotation goes on in
  ///                      the rest.
  explicit count_encoder(std::uint64_t sender, double changed_part = 0.5);

  /// \param bytes  limit of the encoded report; at least `kMinReportBytes`.
  [[nodiscard]] count_report Next(const count_reading& now,
                                  const count_receipt& receipt,
                                  std::size_t bytes);

 private:
  struct counter {
    std::int64_t tokens = 0;  ///< When it was reported last, `steps` into the engine's life.
    std::uint64_t steps = 0;
    double rate = 0;   ///< As the reader has it.
    double carry = 0;  ///< What the rounding of that rate left out.
    bool known = false;
  };

  void Restart(const count_reading& now, std::uint64_t coordinator);
  void Confirm(const count_receipt& receipt);
  void Tell(std::size_t index, double rate);
  /// \brief Rate since the last report, what rounding left out included.
  [[nodiscard]] double Rate(const count_reading& now, std::size_t index) const;
  [[nodiscard]] std::vector<std::uint32_t> Changed(const count_reading& now) const;

  const std::uint64_t sender_;
  const double changed_part_;
  std::uint64_t coordinator_ = 0;
  std::uint64_t series_ = 0;
  std::uint64_t number_ = 0;
  std::uint64_t epoch_ = 0;
  std::uint64_t steps_ = 0;
  std::uint32_t rotation_ = 0;  ///< Where the next rotation begins.
  std::vector<counter> counters_;
  std::optional<count_report> pending_;  ///< Not yet confirmed.
  count_reading pending_reading_;        ///< What `pending_` was made from.
};

/// Room for the header.
inline constexpr std::size_t kMinReportBytes = 64;

/// \brief What a coordinator knows of one rank from its reports.
class count_reader {
 public:
  count_reader(std::uint64_t coordinator, std::size_t counters);

  /// \brief Takes a report in.
  /// \returns False if it is old or a repetition.
  bool Take(const count_report& report);

  /// \brief For the next request.
  [[nodiscard]] const count_receipt& receipt() const noexcept { return receipt_; }
  [[nodiscard]] const std::vector<double>& rates() const noexcept { return rates_; }
  /// \brief Counters that the last report told.
  [[nodiscard]] const std::vector<bool>& fresh() const noexcept { return fresh_; }
  /// \brief Returns whether each counter was told in the present series.
  [[nodiscard]] bool complete() const noexcept { return unknown_ == 0; }
  [[nodiscard]] const count_report& last() const noexcept { return last_; }

 private:
  void Know(std::size_t index);

  count_receipt receipt_;
  std::vector<double> rates_;
  std::vector<bool> known_;
  std::vector<bool> fresh_;
  std::size_t unknown_;
  count_report last_;  ///< Without its entries.
};

}  // namespace quincebank
