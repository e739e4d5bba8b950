#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace quincebank {

/// \brief What happens with an event of an upstream's answer.
enum class event_action : std::uint8_t {
  kPass,    ///< The client gets it.
  kSkip,    ///< The client has it already.
  kReject,  ///< Its place in the stream is unknown, so the answer cannot be used any further.
};

/// \brief Place of a client in a stream of events that several upstreams may answer in turn.
///
/// The answer of one upstream is a run. All events of the first run are passed, whatever their ids
/// say: ids only tell where another run has to begin, and one of them may be damaged. An id that
/// follows its predecessor by one is reliable. After any other higher id the next run begins one
/// event earlier and has to repeat that id. After an id that is not higher, or that cannot be read,
/// the place is unknown until two ids follow each other again.
///
/// A later run may repeat events that the client has. They are skipped only if the last one of
/// them is the last event that the client has.
class stream_position {
 public:
  stream_position() = default;
  /// \param resume_after  id after which the client continues the stream; nothing at its start.
  explicit stream_position(std::optional<std::uint64_t> resume_after)
      : resume_after_(resume_after), last_id_(resume_after) {}

  /// \brief The next upstream is about to answer.
  void BeginRun();
  /// \brief Decides about the next event of the run.
  [[nodiscard]] event_action OnEvent(std::string_view event);
  /// \brief Whether the stream is complete if the run ends now.
  [[nodiscard]] bool IsCompleteAtEnd() const noexcept { return is_aligned_ || HasReachedLast(); }

  /// \brief Whether another run can continue the stream.
  [[nodiscard]] bool CanResume() const noexcept { return !has_events_ || is_known_; }
  /// \brief Id after which the next run begins; nothing for the start of the stream. Requires
  /// `CanResume()`.
  [[nodiscard]] std::optional<std::uint64_t> resume_after() const noexcept { return resume_after_; }
  /// \brief Id of the last event that the client has; nothing if there is none.
  [[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept { return last_id_; }

  /// \brief Events of the current run that were skipped.
  [[nodiscard]] std::uint64_t skipped() const noexcept { return skipped_; }
  /// \brief Passed events of the current run whose id is not higher than the one before, or cannot
  /// be read.
  [[nodiscard]] std::uint64_t disordered() const noexcept { return disordered_; }

 private:
  /// \brief Decides about an event of a later run of which nothing was passed yet.
  [[nodiscard]] event_action Align(std::optional<std::uint64_t> id);
  /// \brief Whether the current run, of which nothing was passed yet, has come to the last event
  /// that the client has.
  [[nodiscard]] bool HasReachedLast() const noexcept {
    return (skipped_id_ ? skipped_id_ : resume_after_) == last_id_;
  }
  [[nodiscard]] bool Follows(std::uint64_t id) const noexcept;
  void Advance(std::optional<std::uint64_t> id);
  [[nodiscard]] event_action Reject();

  std::optional<std::uint64_t> resume_after_;
  std::optional<std::uint64_t> last_id_;
  bool has_events_ = false;  ///< The client has events of an earlier run, or of the current one.
  bool is_known_ = true;     ///< `resume_after_` is where the next run has to begin.
  bool is_aligned_ = true;   ///< The events of the current run are new to the client.
  std::optional<std::uint64_t> skipped_id_;  ///< Last one of the current run.
  std::uint64_t skipped_ = 0;
  std::uint64_t disordered_ = 0;
};

}  // namespace quincebank
