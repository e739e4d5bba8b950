#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/config/effective_config.h"
#include "quincebank/config/root.h"

namespace quincebank {

/// \brief How an announced root relates to the one held.
enum class root_relation : std::uint8_t { kNewer, kSame, kOlder, kConflict };

enum class root_source : std::uint8_t { kService, kPeer, kOffer };

struct holder_settings {
  /// A root that nobody has read from the service for this long is unconfirmed.
  milliseconds confirm_limit{10'000};
  /// A fresh node waits this long for a confirmed root before it takes the best unconfirmed one.
  milliseconds start_wait{3'000};
};

enum class holder_state : std::uint8_t {
  kEmpty,        ///< Nothing adopted; the node must not serve.
  kProvisional,  ///< Started without service and confirmed peers; may be older than its last life.
  kConfirmed,
  kUnconfirmed,  ///< Confirmed earlier, but not within the limit.
};

[[nodiscard]] std::string_view ToString(holder_state state) noexcept;

struct holder_status {
  holder_state state = holder_state::kEmpty;
  std::uint64_t version = 0;
  std::string digest;
  std::uint64_t newest_heard = 0;    ///< Highest version announced to this node.
  std::optional<milliseconds> age;   ///< Since a node read the held root from the service.
  std::uint64_t conflicts = 0;       ///< Announcements of one version with several digests.
  std::uint64_t service_behind = 0;  ///< Reads of the service below the held version.
  std::string last_error;            ///< Why the newest root was not adopted; empty if none.
};

/// \brief Holds the configuration of a node and decides which roots it adopts.
///
/// Only a root of a higher version is adopted, in full: once all its sections are present and the
/// whole has been checked. Bodies (the root's and the sections') are addressed by digest.
///
/// \example
///   holder.Hear(announcement, root_source::kPeer, asked_at, now);
///   for (const std::string& digest : holder.Missing()) { ... holder.Store(digest, body, now); }
class config_holder {
 public:
  config_holder(holder_settings settings, time_point start);

  /// \brief Takes in an announced root.
  ///
  /// \param asked_at  when the request that brought it was sent; the age counts from then.
  root_relation Hear(const root_announcement& heard,
                     root_source source,
                     time_point asked_at,
                     time_point now);

  /// \brief Takes in the stored bytes of the root, as the service returned them.
  result<root_relation> HearRootBody(std::string_view body,
                                     root_source source,
                                     time_point asked_at,
                                     time_point now);

  /// \brief Returns the digests to fetch for the roots heard, the newest root first.
  [[nodiscard]] std::vector<std::string> Missing() const;

  /// \brief Returns whether a missing digest is that of a root; the service stores roots only under
  /// `kRootKey`.
  [[nodiscard]] bool IsRoot(std::string_view digest) const noexcept;

  /// \brief Takes in a fetched body. A body that does not match its digest is rejected.
  result<void> Store(std::string_view digest, std::string_view body, time_point now);

  /// \brief Adopts what became due by time alone. Call at least once a second.
  void Tick(time_point now);

  /// \brief Returns the body of the held root or of one of its sections, for peers.
  [[nodiscard]] const std::string* Body(std::string_view digest) const noexcept;
  [[nodiscard]] root_announcement Announce(time_point now) const;
  /// \brief Returns the answer to a peer that holds version `have`.
  [[nodiscard]] root_answer Answer(std::uint64_t have, time_point now) const;
  [[nodiscard]] holder_state State(time_point now) const noexcept;
  /// \brief Returns the time since a node read the held root from the service, if known.
  [[nodiscard]] std::optional<milliseconds> Age(time_point now) const noexcept;
  [[nodiscard]] holder_status Status(time_point now) const;
  /// \brief Returns the snapshot in force, or null if none was adopted.
  [[nodiscard]] const ref_ptr<const effective_config>& config() const noexcept { return config_; }
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

 private:
  struct candidate {
    std::string digest;
    std::optional<time_point> confirmed_at;
    std::optional<config_root> root;  ///< Set once its body is present.
    bool rejected = false;            ///< Its content has a fault.
  };

  [[nodiscard]] bool IsComplete(const candidate& entry) const;
  [[nodiscard]] bool IsDue(const candidate& entry, time_point now) const;
  [[nodiscard]] bool IsWanted(std::string_view digest) const;
  void AdoptDue(time_point now);
  bool Adopt(std::uint64_t version, candidate& entry);
  void DropBodies();

  const holder_settings settings_;
  const time_point start_;
  ref_ptr<const effective_config> config_;
  std::uint64_t version_ = 0;
  std::string digest_;
  std::optional<config_root> root_;
  std::optional<time_point> confirmed_at_;
  bool ever_confirmed_ = false;
  std::map<std::uint64_t, candidate> candidates_;
  std::map<std::string, std::string, std::less<>> bodies_;
  holder_status counters_;
};

}  // namespace quincebank
