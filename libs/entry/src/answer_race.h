#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <optional>
#include <string_view>

#include "caller_answer.h"
#include "quincebank/base/ids.h"
#include "quincebank/net/call_cancellation.h"
#include "quincebank/net/endpoint.h"

namespace quincebank {

class racing_copy;

/// \brief Lets the caller be answered by one of two copies of a request: by the first of which a
/// byte of the body has come. Nothing of the other one is passed on. Used by fibers of one thread.
class answer_race {
 public:
  explicit answer_race(caller_answer& answer) : answer_(answer) {}

  /// \brief Makes the copy the winner if there is none yet, and cancels the other one.
  /// \returns Whether the copy is the winner.
  bool Claim(racing_copy& copy);
  /// \brief Says that the first copy has ended, so that nobody waits for it any more.
  void EndFirst();
  /// \brief Suspends the fiber until there is a winner, the first copy has ended, or the time has
  /// come.
  /// \returns Whether the time has come without the others.
  [[nodiscard]] bool WaitUntil(time_point until);

  [[nodiscard]] const racing_copy* winner() const noexcept { return winner_; }
  [[nodiscard]] caller_answer& answer() noexcept { return answer_; }

 private:
  friend class racing_copy;

  caller_answer& answer_;
  racing_copy* first_ = nullptr;
  racing_copy* second_ = nullptr;
  racing_copy* winner_ = nullptr;
  bool first_ended_ = false;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

/// \brief One copy in a race. Its head is held back until the copy has won.
class racing_copy final : public answer_sink {
 public:
  racing_copy(answer_race& race, const endpoint& agent, incarnation life, attempt_id attempt);
  ~racing_copy() override;
  racing_copy(const racing_copy&) = delete;
  racing_copy& operator=(const racing_copy&) = delete;

  bool Head(const attempt_head& head) override;
  bool Body(std::string_view bytes) override;
  bool End() override;
  [[nodiscard]] bool closed() const noexcept override;
  [[nodiscard]] std::uint64_t taken() const noexcept override;

  [[nodiscard]] bool won() const noexcept { return race_.winner() == this; }
  [[nodiscard]] const ref_ptr<call_cancellation>& cancellation() const noexcept {
    return cancellation_;
  }

 private:
  friend class answer_race;

  answer_race& race_;
  const endpoint agent_;
  const incarnation life_;
  const attempt_id attempt_;
  std::optional<attempt_head> head_;
  ref_ptr<call_cancellation> cancellation_{new call_cancellation};
};

}  // namespace quincebank
