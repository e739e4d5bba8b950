#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "quincebank/idempotency/claim_writer.h"
#include "quincebank/scenario/event_loop.h"
#include "quincebank/scenario/network.h"

namespace quincebank::scenario {

/// \brief Key-value service with faults. Its process is called `kv`.
class fake_store {
 public:
  static constexpr const char* kNode = "kv";

  fake_store(event_loop& loop, network& links) : loop_(loop), links_(links) { loop_.Start(kNode); }

  using reply_sink = std::function<void(const store_reply&)>;
  /// \brief Takes a call of an entry's present life; `done` runs there unless a message is lost.
  void Call(const std::string& entry, const store_action& action, reply_sink done);

  void SetDown(bool down) noexcept { down_ = down; }
  void SetSlow(milliseconds delay) noexcept { slow_ = delay; }
  /// \brief The next swaps take effect, and their replies are lost.
  void LoseAnswers(std::size_t count) noexcept { lose_ = count; }
  /// \brief The next swaps take effect after a delay, whoever still waits for them.
  void DelayWrites(std::size_t count, milliseconds delay) noexcept {
    delayed_ = count;
    write_delay_ = delay;
  }

 private:
  struct item {
    std::string value;
    std::uint64_t index = 0;
  };
  void Arrive(const store_action& action, const std::function<void(store_reply)>& answer);
  [[nodiscard]] store_reply Apply(const store_action& action);

  event_loop& loop_;
  network& links_;
  std::map<std::string, item> items_;
  std::uint64_t index_ = 0;
  bool down_ = false;
  milliseconds slow_{0};
  std::size_t lose_ = 0;
  std::size_t delayed_ = 0;
  milliseconds write_delay_{0};
};

}  // namespace quincebank::scenario
