#include "quincebank/entry/claim_service.h"

#include <algorithm>
#include <utility>

#include "claim_json.h"
#include "quincebank/base/clock.h"
#include "quincebank/net/run_on.h"

namespace quincebank {
namespace {

// An idle writer keeps its bucket's value as a cache; a time slice is unused after a minute.
constexpr milliseconds kIdleLimit{60'000};
// A preferred entry that does not answer within this time is paused, cut off or gone.
constexpr milliseconds kForwardTimeout{300};
// A pass keeps up with one time slice, and catches up by several.
constexpr milliseconds kSweepInterval{10'000};

}  // namespace

claim_service::claim_service(node_control& node,
                             const snapshot_box& snapshots,
                             std::string self,
                             std::uint64_t seed)
    : node_(node), snapshots_(snapshots), self_(std::move(self)) {
  options_.seed = seed;
}

void claim_service::AddMethods(rpc_server& rpc) {
  rpc.Add("claims.decide", [this](const boost::json::object& params) {
    return RunOn(node_.thread(), [&]() -> result<boost::json::value> {
      BOOST_OUTCOME_TRY(const forwarded_claim forwarded, ForwardedClaimFromJson(params, Now()));
      return boost::json::value(ToJson(DecideHere(forwarded.bucket, forwarded.request)));
    });
  });
}

claim_decision claim_service::Decide(const request_key& key, const claim_request& request) {
  return RunOn(node_.thread(), [&] {
    claim_decision decided;
    // The floor never decreases, so one that was read earlier is proof enough against a key.
    if (IsBelow(layout_, key, floor_slice_)) {
      decided.outcome = claim_outcome::kUsed;
      return decided;
    }
    const std::string bucket = BucketName(layout_, key);
    // A look-up needs a value that is read after it was asked for, so it gains nothing elsewhere.
    auto forwarded = request.look ? std::nullopt : Forward(bucket, request);
    decided = forwarded ? *forwarded : DecideHere(bucket, request);
    return NeedsFloor(key, decided, std::chrono::system_clock::now()) ? CheckFloor(key, decided)
                                                                      : decided;
  });
}

claim_decision claim_service::CheckFloor(const request_key& key, const claim_decision& decision) {
  store_action read;
  read.key = std::string(kClaimFloorKey);
  const store_reply reply = Perform(read);
  if (const auto floor = claim_floor::Parse(reply.value))
    floor_slice_ = std::max(floor_slice_, floor.value().slice);
  return ApplyFloor(layout_, key, decision, reply);
}

void claim_service::Start() {
  node_.SpawnTrackedLoop("claim sweep", [this] { SweepLoop(); });
}

void claim_service::SweepLoop() {
  while (!node_.WaitOrStop(kSweepInterval))
    Sweep();
}

void claim_service::Sweep() {
  const auto snapshot = snapshots_.Get();
  std::vector<std::string> names;
  std::vector<endpoint> addresses;
  ListEntries(names, addresses);
  // One entry sweeps to save calls; several do no harm.
  if (names.empty() || names[PreferredEntry(kClaimFloorKey, names)] != self_)
    return;
  sweeper_.Begin(std::chrono::system_clock::now(),
                 std::chrono::ceil<seconds>(LongestClaimRetention(*snapshot->config)));
  while (const auto call = sweeper_.Next()) {
    if (node_.WaitOrStop(milliseconds(0)))
      return;
    sweeper_.OnReply(Perform(*call));
  }
  floor_slice_ = std::max(floor_slice_, sweeper_.floor().slice);
}

void claim_service::ListEntries(std::vector<std::string>& names,
                                std::vector<endpoint>& addresses) const {
  const auto snapshot = snapshots_.Get();
  if (!snapshot)
    return;
  for (const entry_address& entry : snapshot->entries) {
    if (entry.draining)
      continue;
    names.push_back(entry.host);
    addresses.push_back({entry.address, entry.port});
  }
}

std::optional<claim_decision> claim_service::Forward(const std::string& bucket,
                                                     const claim_request& request) {
  std::vector<std::string> names;
  std::vector<endpoint> addresses;
  ListEntries(names, addresses);
  if (names.empty())
    return std::nullopt;
  const std::size_t preferred = PreferredEntry(bucket, names);
  if (names[preferred] == self_)
    return std::nullopt;
  const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - Now());
  const auto answer = rpc_client(node_.http())
                          .Call(addresses[preferred], "claims.decide",
                                ToJson(forwarded_claim{bucket, request}, left), kForwardTimeout);
  if (!answer)
    return std::nullopt;
  const auto decision = ClaimDecisionFromJson(answer.value());
  // A refusal there may be due to that entry's own link to the store.
  if (!decision || decision.value().outcome == claim_outcome::kNotRun)
    return std::nullopt;
  return decision.value();
}

void claim_service::Release(const request_key& key, const claim& released) {
  RunOn(node_.thread(), [&] {
    bucket_state& bucket = Bucket(BucketName(layout_, key));
    bucket.writer.Release(released.key, released.attempt);
    Drive(bucket);
  });
}

claim_service::bucket_state& claim_service::Bucket(const std::string& name) {
  auto found = buckets_.find(name);
  if (found == buckets_.end()) {
    DropIdle();
    found = buckets_.emplace(name, std::make_unique<bucket_state>(name, options_)).first;
  }
  found->second->used = Now();
  return *found->second;
}

claim_decision claim_service::DecideHere(const std::string& name, const claim_request& request) {
  bucket_state& bucket = Bucket(name);
  boost::fibers::promise<claim_decision> promise;
  auto future = promise.get_future();
  const std::uint64_t ticket = bucket.writer.Add(request, Now());
  bucket.waiting.emplace(ticket, &promise);
  Drive(bucket);
  return future.get();
}

void claim_service::Drive(bucket_state& bucket) {
  for (const store_action& action : bucket.writer.Poll(Now(), std::chrono::system_clock::now())) {
    ++bucket.calls;
    node_.SpawnTracked([this, &bucket, action] { Call(bucket, action); });
  }
  for (claim_decision& decision : bucket.writer.TakeDecisions()) {
    const auto found = bucket.waiting.find(decision.ticket);
    if (found == bucket.waiting.end())
      continue;
    found->second->set_value(std::move(decision));
    bucket.waiting.erase(found);
  }
  ScheduleWake(bucket);
}

void claim_service::Call(bucket_state& bucket, const store_action& action) {
  const store_reply reply = Perform(action);
  --bucket.calls;
  bucket.writer.OnReply(reply, Now());
  Drive(bucket);
}

store_reply claim_service::Perform(const store_action& action) {
  store_reply reply;
  reply.operation = action.operation;
  if (action.what == store_action::kind::kRead) {
    auto entry = node_.kv().Get(action.key);
    if (!entry)
      return reply;
    reply.what = store_reply::status::kOk;
    if (entry.value()) {
      reply.value = std::move(entry.value()->value);
      reply.index = entry.value()->index;
    }
    return reply;
  }
  if (action.what == store_action::kind::kErase) {
    if (node_.kv().Erase(action.key))
      reply.what = store_reply::status::kOk;
    return reply;
  }
  const auto swapped = node_.kv().CompareAndSwap(action.key, action.value, action.index);
  if (swapped)
    reply.what = swapped.value() ? store_reply::status::kOk : store_reply::status::kConflict;
  return reply;
}

void claim_service::ScheduleWake(bucket_state& bucket) {
  const auto wake = bucket.writer.NextWake();
  const bool stopping = node_.WaitOrStop(milliseconds(0));
  if (!wake || stopping || (bucket.wake && *bucket.wake <= *wake))
    return;
  bucket.wake = wake;
  ++bucket.calls;
  node_.SpawnTracked([this, &bucket, at = *wake] {
    const auto delay = std::chrono::ceil<milliseconds>(at - Now());
    if (delay.count() > 0)
      (void)node_.WaitOrStop(delay);
    --bucket.calls;
    if (bucket.wake == at)
      bucket.wake.reset();
    Drive(bucket);
  });
}

void claim_service::DropIdle() {
  const time_point limit = Now() - kIdleLimit;
  std::erase_if(buckets_, [&](const auto& item) {
    const bucket_state& bucket = *item.second;
    return bucket.used < limit && bucket.calls == 0 && bucket.waiting.empty() &&
           bucket.writer.Idle();
  });
}

}  // namespace quincebank
