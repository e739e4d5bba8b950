#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "quincebank/scenario/event_loop.h"

namespace quincebank::scenario {

/// \brief Addresses of one message.
struct message_route {
  std::string from;
  std::string to;
  std::uint64_t to_life = 0;  ///< Life of the receiver that asked; 0 for whichever is alive.
  std::uint64_t channel = 0;  ///< Messages of one channel keep their order; 0 has none.
};

/// \brief Links between processes: latency, cuts and late messages.
class network {
 public:
  explicit network(event_loop& loop) : loop_(loop) {}

  /// \param refused  runs at the sender if the receiver is dead and the link works.
  void Send(const message_route& route, event_loop::task deliver, event_loop::task refused = {});
  void Cut(const std::string& a, const std::string& b) { cuts_.insert(Link(a, b)); }
  void Heal(const std::string& a, const std::string& b) { cuts_.erase(Link(a, b)); }
  /// \brief Sets the share of messages, in a thousand, that arrive up to `delay` late.
  void SetLate(std::uint64_t per_mille, milliseconds delay);
  [[nodiscard]] std::uint64_t NewChannel() noexcept { return ++channels_; }

 private:
  using link = std::pair<std::string, std::string>;
  [[nodiscard]] static link Link(const std::string& a, const std::string& b) {
    return a < b ? link(a, b) : link(b, a);
  }

  void Break(std::uint64_t channel);

  event_loop& loop_;
  std::set<link> cuts_;
  std::uint64_t late_per_mille_ = 0;
  milliseconds late_by_{0};
  std::uint64_t channels_ = 0;
  std::set<std::uint64_t> broken_;
  std::map<std::uint64_t, time_point> last_delivery_;  ///< Of each channel.
};

}  // namespace quincebank::scenario
