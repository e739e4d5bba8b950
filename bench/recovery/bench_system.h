#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "quincebank/base/time.h"
#include "quincebank/testing/deployment.h"

namespace quincebank {

/// \brief What the command line says.
struct bench_settings {
  std::uint64_t seed = 1;
  milliseconds window{8'000};  ///< Time from one fault to the next.
};

/// Far above what the callers need, so that only the faults show.
inline constexpr int kAmpleLimit = 16;
inline constexpr int kOrderServices = 3;
inline constexpr const char* kDomain = "qc-east-b";

/// \brief The deployment of the bench with what operators and faults do to it.
class bench_system {
 public:
  /// \param relays  whether entries reach the agents through relays.
  /// \param full_limit  requests that a warm upstream takes at once.
  bench_system(bool relays, int full_limit);

  [[nodiscard]] result<void> Start() { return system_.Start(); }
  [[nodiscard]] deployment& processes() noexcept { return system_; }

  /// \brief Runs `drain` or `return` for `kDomain`.
  /// \param offer  whether the tool offers the change to the nodes; without it only the watching
  ///               entries and their peers spread it.
  /// \returns When the configuration root was written, or nothing if the tool failed.
  [[nodiscard]] std::optional<time_point> SetDomain(const std::string& command, bool offer = true);
  /// \brief Exports the document, edits it and applies it.
  [[nodiscard]] std::optional<time_point> Edit(
      const std::function<void(boost::json::object& document)>& edit);
  /// \returns When the host list began to show the change.
  [[nodiscard]] time_point SetListing(const std::string& host, host_listing listing);

  /// \brief Kills the agents of the domain's upstreams and its engines at once.
  void LoseDomain();
  void RestartDomain();
  /// \brief Upstreams of `kDomain`.
  [[nodiscard]] static std::vector<std::string> UpstreamsOfDomain();

  /// \brief When any of the upstreams last began a request, by their own counters.
  [[nodiscard]] time_point LastStart(const std::vector<std::string>& upstreams);
  /// \brief Times that an engine crashed because it got too much work while cold.
  [[nodiscard]] std::int64_t Crashes();

 private:
  [[nodiscard]] time_point RootWritten();

  deployment system_;
};

}  // namespace quincebank
