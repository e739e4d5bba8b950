#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Work of one request or of several. Requests to engines have tokens, others a duration.
struct work_amount {
  double prompt_tokens = 0;  ///< To be processed.
  double output_tokens = 0;  ///< To be generated.
  nanoseconds duration{0};   ///< On an upstream of mean speed.

  work_amount& operator+=(const work_amount& other) noexcept;
  work_amount& operator-=(const work_amount& other) noexcept;
  [[nodiscard]] bool operator==(const work_amount&) const = default;
};

/// \brief What a request states about its own cost.
struct work_request {
  std::string_view route;
  std::string_view workspace;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;       ///< 0 if it states no limit.
  std::int64_t expected_output_tokens = 0;  ///< The client's estimate; 0 if it states none.
};

/// \brief Predicted cost of one request.
struct work_prediction {
  work_amount work;                ///< Expected value.
  double upper_output_tokens = 0;  ///< Output that one in ten requests exceeds.
};

/// \brief Mean cost of the requests of one service.
struct mean_work {
  double prompt_tokens = 0;
  double output_tokens = 0;
  /// Expected rest of the output of a request that is running. It is more than half of the mean
  /// length, since a long answer is more likely to be running than a short one.
  double residual_output_tokens = 0;
  nanoseconds duration{0};
};

/// \brief Predicts the cost of requests from what they state and from the answers of earlier ones.
///
/// A length hint is right at the median and often far off. Therefore it is multiplied by a
/// correction factor, which is learned for each route, for each bucket of hints (powers of two),
/// and for each workspace within it. Each level corrects the coarser one as far as its samples go.
/// If hints carry no information, the factors of the buckets undo them, and the prediction is the
/// mean of the route.
///
/// Without a usable hint the mean of the route and the workspace is predicted; before the first
/// answer, the default that the caller gives.
///
/// The state is bounded: the cells that were used least recently are dropped. Used by one thread.
class work_estimate {
 public:
  explicit work_estimate(std::size_t max_cells = 2'048) : max_cells_(max_cells) {}

  /// \brief Predicts tokens.
  /// \param default_output_tokens  mean output of the service, if configured; 0 otherwise.
  [[nodiscard]] work_prediction PredictTokens(const work_request& request,
                                              double default_output_tokens);
  /// \brief Predicts the duration of a request to a service without engines: the mean of the route,
  /// or that of the service before the first answer of the route.
  [[nodiscard]] work_prediction PredictDuration(std::string_view route, std::string_view service);

  /// \brief A request was answered with this output.
  void OnOutput(const work_request& request, std::string_view service, double output_tokens);
  /// \brief A request was answered after this time, by an upstream of this speed (1 is the mean).
  void OnDuration(std::string_view route,
                  std::string_view service,
                  nanoseconds duration,
                  double speed);

  /// \brief Mean cost of the recent requests of a service.
  /// \param fallback  mean cost before the first answer.
  [[nodiscard]] mean_work Mean(std::string_view service, const work_amount& fallback);

  /// \brief Number of cells of the table.
  [[nodiscard]] std::size_t size() const noexcept { return cells_.size(); }

 private:
  /// What was learned about one kind of requests.
  struct cell {
    std::uint64_t key = 0;
    int samples = 0;       ///< Counted up to a limit.
    double reference = 0;  ///< Mean of the hints, or 1 without hints.
    double value = 0;      ///< Mean of the results.
    double square = 0;     ///< Mean of the squares of the results.
    double prompt = 0;
    double upper = 0;  ///< Quantile of the results in relation to their references.

    void Add(double sample_reference, double sample_value, double sample_prompt) noexcept;
  };

  /// Returns the cell, as the most recently used one; null if there is none.
  [[nodiscard]] cell* Find(std::uint64_t key);
  [[nodiscard]] cell& FindOrAdd(std::uint64_t key);

  const std::size_t max_cells_;
  std::list<cell> cells_;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<cell>::iterator> by_key_;
};

}  // namespace quincebank
