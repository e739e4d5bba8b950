#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/ids.h"
#include "quincebank/base/ref_counted.h"
#include "quincebank/base/time.h"
#include "quincebank/config/effective_config.h"

namespace quincebank {

/// \brief Whether an upstream may get new work; the highest value that applies wins.
enum class upstream_status : std::uint8_t {
  kUsable,
  kSuspected,  ///< Direct evidence says that it cannot be reached.
  kLeaving,    ///< The host list or its agent says that it leaves.
  kDrained,    ///< Operators have taken its failure domain out.
};

[[nodiscard]] std::string_view ToString(upstream_status status) noexcept;

/// \brief What a contact with an agent has shown.
enum class contact : std::uint8_t {
  kAccepting,        ///< It answered and takes work.
  kBusy,             ///< It answered and rejected for load.
  kRejectedLeaving,  ///< It answered that it leaves.
  kRejectedDrained,  ///< It answered that its failure domain is out.
  kRefused,          ///< The connection was refused or reset.
  kSilent,           ///< No answer in time, or heartbeats stopped.
};

/// \brief Host of the platform's host list.
struct listed_host {
  std::string name;
  bool leaving = false;
};

struct host_view_settings {
  std::size_t polls_per_second = 16;
  /// Silent contacts in a row until an upstream is suspected; one lost message is not enough.
  std::size_t silent_contacts = 2;
  milliseconds first_probe{1'000};  ///< Back-off of probes to suspected and leaving upstreams.
  milliseconds last_probe{30'000};
  /// Upstreams heard of within this time are not polled: responses carry the state already.
  milliseconds fresh{1'000};
};

/// \brief Joins the lagging host list with direct evidence, for each upstream.
///
/// Upstreams are named by their index in the snapshot that `OnConfig` got last.
///
/// \example
///   view.OnContact("munshi-03", contact::kRefused, {}, now);
///   if (view.status(index) == upstream_status::kUsable) { ... }
class host_view {
 public:
  /// \param self  name of this entry; spreads the probes of the entries over time.
  host_view(std::string_view self, host_view_settings settings, time_point start);

  /// \brief Takes a new snapshot; what is known of upstreams with the same name and agent stays.
  void OnConfig(ref_ptr<const effective_config> config, time_point now);
  void OnHostList(const std::vector<listed_host>& hosts, time_point now);
  /// \param sender  incarnation of the agent if it answered.
  void OnContact(std::string_view upstream,
                 contact what,
                 std::optional<incarnation> sender,
                 time_point now);

  /// \brief Returns the upstreams to poll now; each is followed by an `OnContact`.
  [[nodiscard]] std::vector<std::uint32_t> DuePolls(time_point now);

  [[nodiscard]] upstream_status status(std::uint32_t upstream) const noexcept;
  [[nodiscard]] std::size_t CountOf(upstream_status status) const noexcept;
  /// \brief Returns whether no upstream answers; then this node itself is likely cut off.
  [[nodiscard]] bool IsCutOff() const noexcept;
  [[nodiscard]] const ref_ptr<const effective_config>& config() const noexcept { return config_; }

 private:
  enum class listing : std::uint8_t { kNeverListed, kListed, kLeaving, kGone };

  struct state {
    listing host = listing::kNeverListed;
    bool suspected = false;
    bool said_leaving = false;
    bool said_drained = false;
    std::size_t silent = 0;
    std::optional<incarnation> sender;  ///< Incarnation that answered last.
    std::optional<time_point> heard;    ///< Last answer.
    time_point next_probe;
    milliseconds probe_wait{0};
    time_point polled;
  };

  [[nodiscard]] bool NeedsProbe(std::uint32_t upstream) const noexcept;
  void BackOff(std::uint32_t upstream, time_point now);
  void OnAnswer(state& entry, std::optional<incarnation> sender, time_point now);

  const std::uint64_t seed_;
  const host_view_settings settings_;
  ref_ptr<const effective_config> config_;
  std::vector<state> states_;
  std::vector<listed_host> hosts_;  ///< Last host list, ordered by name.
  bool has_hosts_ = false;
  time_point budget_at_;
  double budget_ = 0;
};

}  // namespace quincebank
