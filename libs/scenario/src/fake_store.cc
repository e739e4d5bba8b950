#include "quincebank/scenario/fake_store.h"

#include <utility>

namespace quincebank::scenario {
namespace {
constexpr nanoseconds kMinService = std::chrono::microseconds(200);
constexpr nanoseconds kMaxService = std::chrono::microseconds(1500);
}  // namespace

void fake_store::Call(const std::string& entry, const store_action& action, reply_sink done) {
  const std::uint64_t life = loop_.Life(entry);
  links_.Send({entry, kNode}, [this, entry, life, action, done = std::move(done)] {
    Arrive(action, [this, entry, life, done](const store_reply& reply) {
      links_.Send({kNode, entry, life}, [done, reply] { done(reply); });
    });
  });
}

void fake_store::Arrive(const store_action& action,
                        const std::function<void(store_reply)>& answer) {
  if (down_) {
    // An outage shows as an error or as silence.
    if (loop_.random().Below(2) == 0)
      answer({action.operation, store_reply::status::kUnknown, {}, 0});
    return;
  }
  nanoseconds delay = loop_.Between(kMinService, kMaxService) + slow_;
  const bool swap = action.what == store_action::kind::kSwap;
  const bool lose = swap && lose_ > 0;
  if (lose)
    --lose_;
  if (swap && delayed_ > 0) {
    --delayed_;
    delay += write_delay_;
  }
  loop_.After(delay, kNode, [this, action, answer, lose] {
    const store_reply reply = Apply(action);
    if (!lose)
      answer(reply);
  });
}

store_reply fake_store::Apply(const store_action& action) {
  store_reply reply{action.operation, store_reply::status::kOk, {}, 0};
  if (action.what == store_action::kind::kErase) {
    items_.erase(action.key);
    return reply;
  }
  if (action.what == store_action::kind::kRead) {
    const auto found = items_.find(action.key);
    if (found != items_.end()) {
      reply.value = found->second.value;
      reply.index = found->second.index;
    }
    return reply;
  }
  item& stored = items_[action.key];
  if (stored.index != action.index) {
    reply.what = store_reply::status::kConflict;
    return reply;
  }
  stored.value = action.value;
  stored.index = reply.index = ++index_;
  return reply;
}

}  // namespace quincebank::scenario
