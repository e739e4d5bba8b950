#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "quincebank/messages/attempt_event.h"
#include "quincebank/messages/stream_locator.h"
#include "quincebank/net/http_server.h"
#include "quincebank/net/sse.h"

namespace quincebank {

/// \brief Passes one upstream answer on to the caller.
///
/// Server-sent events get an `id` line with their place in the answer, so that the caller can go on
/// at another entry. All other bodies pass unchanged.
class caller_answer {
 public:
  caller_answer(http_exchange& exchange, std::string request)
      : exchange_(exchange), request_(std::move(request)) {}

  /// \brief Names the attempt whose bytes come next, starting at `offset`.
  void SetSource(const endpoint& agent, incarnation life, attempt_id attempt, std::uint64_t offset);

  bool Head(const attempt_head& head);
  bool Body(std::string_view bytes);
  /// \brief Ends the answer as whole.
  bool End();

  /// \brief Whether the caller has the answer's head, so that no refusal can be sent any more.
  [[nodiscard]] bool started() const noexcept { return started_; }
  [[nodiscard]] bool caller_gone() const noexcept { return gone_; }
  /// \brief Bytes of the upstream's body that were taken from the agent.
  [[nodiscard]] std::uint64_t taken() const noexcept { return taken_; }
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
