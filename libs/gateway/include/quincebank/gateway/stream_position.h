#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quincebank {

/// \brief What happens with an event of an upstream's answer.
enum class event_action : std::uint8_t {
  kPass,       ///< The client gets it, after the events that are held.
  kPassAlone,  ///< The client gets it, but none of the events that are held: it has them already.
  kPassAhead,  ///< The client gets it, and the events that are held go on waiting.
  kHold,       ///< It is kept until a later event shows where it belongs.
  kSkip,       ///< The client has it already, and so it has the events that are held.
  kReject,     ///< Its place in the stream is unknown, so the answer cannot be used any further.
};

/// \brief Place of a client in a stream of events that several upstreams may answer in turn.
///
/// The answer of one upstream is a run. Ids tell where the next run has to begin, but any of them
/// may be damaged. An id is confirmed if its distance from earlier ids is the number of events
/// since: from the last confirmed id, or from two others. An event whose fields differ from theirs
/// confirms nothing, since a damaged line end joins or splits events.
///
/// After a confirmed id, events that are not confirmed are held until one is, or until there are
/// too many of them. A run that breaks off before takes the held events with it, and the next run
/// begins after the confirmed id, whatever the ids of those events said.
///
/// Without a confirmed id events are passed at once. While there are few of them, the next run
/// begins where the first one did, and as many of its events are repeats. After more of them, as in
/// a stream whose ids do not grow by one, it is asked for the last one again and has to begin with
/// it.
///
/// A run that begins earlier than it was asked to is recognised after a confirmed id by two ids in
/// a row, and without one by the first id after the repeated event. If an event was passed by then,
/// the run is rejected, and the stream cannot be resumed any more.
class stream_position {
 public:
  stream_position() = default;
  /// \param resume_after  id after which the client continues the stream; nothing at its start.
  explicit stream_position(std::optional<std::uint64_t> resume_after);

  /// \brief The next upstream is about to answer. Events that are held are forgotten.
  void BeginRun();
  /// \brief Decides about the next event of the run.
  [[nodiscard]] event_action OnEvent(std::string_view event);
  /// \brief Whether the stream is complete if the run ends now. The client then gets the events
  /// that are held.
  [[nodiscard]] bool IsCompleteAtEnd() const noexcept;

  /// \brief Whether another run can continue the stream.
  [[nodiscard]] bool CanResume() const noexcept;
  /// \brief Id after which the next run begins; nothing for the start of the stream. Requires
  /// `CanResume()`.
  [[nodiscard]] std::optional<std::uint64_t> resume_after() const noexcept;
  /// \brief Id of the last event that the client has; nothing if it has none or cannot be read.
  [[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept;

  /// \brief Events of the current run that are held.
  [[nodiscard]] std::uint64_t held() const noexcept { return held_.size(); }
  /// \brief Events of the current run that were skipped.
  [[nodiscard]] std::uint64_t skipped() const noexcept { return skipped_; }
  /// \brief Events of the current run, other than repeats, whose id is not higher than the one
  /// before, or cannot be read.
  [[nodiscard]] std::uint64_t disordered() const noexcept { return disordered_; }

 private:
  struct event_mark {
    std::optional<std::uint64_t> id;
    std::string fields;  ///< As `SseFieldNames`.
  };

  /// \brief Whether the ids of two events differ by the number of events between them.
  [[nodiscard]] static bool Agree(const event_mark& earlier,
                                  const event_mark& later,
                                  std::size_t distance) noexcept;
  [[nodiscard]] bool IsConfirmed(const event_mark& mark) const noexcept;
  /// \brief Whether a later run, whose place seemed to be known, turns out to have begun too early.
  [[nodiscard]] bool BeganTooEarly(const event_mark& mark) const noexcept;
  /// \brief Decides about an event that is no repeat.
  [[nodiscard]] event_action Accept(event_mark mark);
  /// \brief Decides about an event of a later run after a confirmed id, until its place is known.
  [[nodiscard]] event_action Locate(event_mark mark);
  /// \brief Whether the next run begins where the first one did.
  [[nodiscard]] bool StartsAgain() const noexcept;
  /// \brief Decides about an event of a run that has to repeat all events that the client has.
  [[nodiscard]] event_action RepeatAll(const event_mark& mark);
  /// \brief Decides about an event of a run that has to begin with the client's last event.
  [[nodiscard]] event_action RepeatLast(const event_mark& mark);
  [[nodiscard]] event_action Reject() noexcept;

  std::optional<std::uint64_t> start_;   ///< Id after which the stream begins.
  std::optional<event_mark> confirmed_;  ///< The last event that the client has, if confirmed.
  std::vector<event_mark> marks_;        ///< Without one: the last events that the client has.
  bool has_all_marks_ = true;            ///< `marks_` are all events that the client has.
  std::vector<event_mark> held_;  ///< Events after the confirmed one, which the client has not got.
  bool has_events_ = false;       ///< The client has events of this stream.
  bool is_lost_ = false;          ///< The next run cannot be placed.
  bool is_first_run_ = true;      ///< No earlier run has sent an event.
  bool has_repeated_last_ = false;  ///< The event before was the one that the run had to repeat.
  bool is_aligned_ = true;          ///< The events of the current run are new to the client.
  bool has_agreed_ = false;  ///< An event of a run that repeats all has the id that the client has.
  std::uint64_t repeats_left_ = 0;  ///< Next events of the run that are repeats.
  std::uint64_t skipped_ = 0;
  std::uint64_t disordered_ = 0;
};

}  // namespace quincebank
