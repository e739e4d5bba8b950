#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "quincebank/base/time.h"
#include "quincebank/net/endpoint.h"

namespace quincebank {

/// \brief What an entry (instance of the load balancer) has observed at an upstream. The numbers
/// are part of the datagrams.
enum class observation_kind : std::uint8_t {
  kSilent,       ///< Requests get no data; value: milliseconds of silence when observed.
  kFailing,      ///< Attempts fail, or there is no connection.
  kLeaving,      ///< The upstream has stated that it is shutting down.
  kPaused,       ///< The upstream asks for no requests; value: milliseconds left.
  kStatedLimit,  ///< The upstream states a limit; value: requests in 1,000 s.
  kServed,       ///< A request was served; refutes silence that began, and failures that were seen,
                 ///< before it.
};

inline constexpr std::size_t kObservationKinds = 6;
/// All kinds but `kServed`, which the table keeps for each entry.
inline constexpr std::size_t kReportedKinds = 5;

[[nodiscard]] std::string_view ToString(observation_kind kind) noexcept;

/// \brief One observation, as an entry sends it to the agent beside the upstream.
struct upstream_observation {
  std::string upstream;
  std::uint64_t incarnation = 0;  ///< Of the upstream that was observed; 0 if unknown.
  observation_kind kind = observation_kind::kSilent;
  std::int64_t value = 0;  ///< Meaning by kind; of a pause: as of the time of sending.
  milliseconds age{0};     ///< Time since the state was last observed.

  [[nodiscard]] bool operator==(const upstream_observation&) const = default;
};

/// \brief What entries report of one upstream, as its agent passes it on.
struct observation_summary {
  std::uint64_t incarnation = 0;
  std::array<int, kReportedKinds> entries{};  ///< Number of entries that report each kind.
  milliseconds pause_left{0};                 ///< Of the newest pause.
  std::int64_t limit = 0;                     ///< Newest stated limit, in requests in 1,000 s.

  [[nodiscard]] int Count(observation_kind kind) const noexcept {
    return entries.at(static_cast<std::size_t>(kind));
  }
  [[nodiscard]] bool operator==(const observation_summary&) const = default;
};

/// \brief What an agent does with an observation.
enum class observation_reception : std::uint8_t {
  kAccepted,
  kUnknownEngine,     ///< The agent has not read an engine of this name.
  kOtherIncarnation,  ///< Of an earlier or unknown start of the engine.
  kOutOfRange,        ///< Kind, value or age is not possible.
  kRefuted,           ///< A request was served after it.
  kOutdated,          ///< The entry has reported a later one.
  kTooFrequent,       ///< The entry reported this kind shortly before.
  kTableFull,
};

inline constexpr std::size_t kObservationReceptions = 8;

[[nodiscard]] std::string_view ToString(observation_reception reception) noexcept;

/// \brief Agent-side table of the newest observations of each entry about the engine beside it.
/// Bounded, and without I/O. Not thread-safe.
///
/// Load condition: an engine hangs, and each entry would learn of it by a slow request of its own.
/// Entries are known by the sender addresses of their datagrams, which anybody may forge: the table
/// bounds number, age and value of the observations, and each one lapses unless it is renewed.
class upstream_observations {
 public:
  /// Entries whose observations are kept.
  static constexpr std::size_t kMaxEntries = 64;
  /// An observation lapses unless it is renewed within this time.
  static constexpr milliseconds kLifetime{2'000};

  /// \brief The agent has read its engine. A new name or incarnation discards all observations.
  void OnEngine(std::string_view upstream, std::uint64_t incarnation);
  /// \brief An observation arrives.
  [[nodiscard]] observation_reception OnObservation(const endpoint& sender,
                                                    const upstream_observation& observed,
                                                    time_point now);
  /// \brief What holds now; nothing if nothing is reported.
  [[nodiscard]] std::optional<observation_summary> Summary(std::string_view upstream,
                                                           time_point now);
  /// \brief Number of entries with observations, lapsed ones included until the next call.
  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

 private:
  struct observation {
    time_point received_at;
    time_point observed_at;
    time_point began_at;
    std::int64_t value = 0;
  };
  using observations = std::array<std::optional<observation>, kReportedKinds>;

  /// \brief Discards lapsed and refuted observations.
  void Expire(time_point now);
  [[nodiscard]] bool IsRefuted(observation_kind kind, time_point began_at) const noexcept;

  std::string upstream_;
  std::uint64_t incarnation_ = 0;  ///< 0 until the engine was read.
  std::map<endpoint, observations> entries_;
  std::optional<time_point> served_at_;
};

}  // namespace quincebank
