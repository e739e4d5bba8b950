#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "quincebank/messages/attempt_event.h"
#include "quincebank/messages/stream_locator.h"
#include "quincebank/net/http_server.h"
#include "quincebank/net/sse.h"

namespace quincebank {

/// \brief Takes the events of an upstream's answer.
class answer_sink {
 public:
  answer_sink() = default;
  virtual ~answer_sink() = default;
  answer_sink(const answer_sink&) = delete;
  answer_sink& operator=(const answer_sink&) = delete;

  /// \returns False if nothing more can be taken, as for the next two.
  virtual bool Head(const attempt_head& head) = 0;
  virtual bool Body(std::string_view bytes) = 0;
  /// \brief Ends the answer as whole.
  virtual bool End() = 0;
  /// \brief Whether nothing more can be taken.
  [[nodiscard]] virtual bool closed() const noexcept = 0;
  /// \brief Bytes of the upstream's body that were taken from the agent.
  [[nodiscard]] virtual std::uint64_t taken() const noexcept = 0;
};

/// \brief Passes one upstream answer on to the caller.
///
/// Server-sent events get an `id` line with their place in the answer, so that the caller can go on
/// at another entry. All other bodies pass unchanged.
class caller_answer final : public answer_sink {
 public:
  caller_answer(http_exchange& exchange, std::string request)
      : exchange_(exchange), request_(std::move(request)) {}

  /// \brief Names the attempt whose bytes come next, starting at `offset`.
  void SetSource(const endpoint& agent, incarnation life, attempt_id attempt, std::uint64_t offset);

  bool Head(const attempt_head& head) override;
  bool Body(std::string_view bytes) override;
  bool End() override;
  [[nodiscard]] bool closed() const noexcept override { return gone_; }

  /// \brief Whether the caller has the answer's head, so that no refusal can be sent any more.
  [[nodiscard]] bool started() const noexcept { return started_; }
  [[nodiscard]] bool caller_gone() const noexcept { return gone_; }
  [[nodiscard]] std::uint64_t taken() const noexcept override { return taken_; }
  [[nodiscard]] int status() const noexcept { return status_; }
  /// \brief When the first byte of the body went to the caller; the epoch if none has.
  [[nodiscard]] time_point first_byte_at() const noexcept { return first_byte_at_; }

 private:
  bool Keep(bool written) {
    gone_ = gone_ || !written;
    return written;
  }

  http_exchange& exchange_;
  const std::string request_;
  stream_locator locator_;
  sse_splitter events_;
  std::uint64_t taken_ = 0;
  int status_ = 0;
  time_point first_byte_at_;
  bool started_ = false;
  bool streaming_ = false;  ///< The body is a stream of server-sent events.
  bool gone_ = false;
};

}  // namespace quincebank
