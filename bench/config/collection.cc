#include "collection.h"

#include <cstdio>
#include <map>
#include <string>

#include "quincebank/config/section_collector.h"

namespace quincebank {
namespace {

constexpr int kChanges = 1'400;
constexpr time_point kStart{seconds(100)};

struct counted_store {
  std::map<std::string, stored_value> items;
  std::uint64_t index = 0;
  std::size_t reads = 0;
  std::size_t writes = 0;

  std::optional<stored_value> Read(const std::string& key) {
    ++reads;
    const auto found = items.find(key);
    return found == items.end() ? std::nullopt : std::optional(found->second);
  }
  bool Swap(const std::string& key, const std::string& value, std::uint64_t expected) {
    ++writes;
    const auto found = items.find(key);
    if ((found == items.end() ? 0 : found->second.index) != expected)
      return false;
    items[key] = {value, ++index};
    return true;
  }
  bool Erase(const std::string& key, std::uint64_t expected) {
    ++writes;
    const auto found = items.find(key);
    if (found == items.end() || found->second.index != expected)
      return false;
    items.erase(found);
    return true;
  }
  [[nodiscard]] double Megabytes() const {
    std::size_t bytes = 0;
    for (const auto& [key, item] : items)
      bytes += key.size() + item.value.size();
    return static_cast<double>(bytes) / 1e6;
  }
};

std::string SectionText(int workspaces, int change) {
  std::string text = R"({"w": {"owner": "o", "kind": "workspaces", "workspaces": [)";
  for (int i = 0; i < workspaces; ++i) {
    text += R"({"name": "workspace-)" + std::to_string(10'000 + i) + R"(", "weight": )" +
            std::to_string(i == 0 ? change + 1 : 100) + "},";
  }
  return text + "]}}";
}

apply_outcome Apply(counted_store& store, int workspaces, int change) {
  apply_request request;
  request.document = ParsePartialDocument(SectionText(workspaces, change)).value();
  request.author = "o";
  request.partial = request.replace = true;
  request.id = std::to_string(change);
  apply_flow flow(std::move(request), {}, kStart);
  for (auto action = flow.Next(kStart); action.step != apply_step::kFinished;
       action = flow.Next(kStart)) {
    const bool write = action.step == apply_step::kWriteSection ||
                       action.step == apply_step::kTouchSection ||
                       action.step == apply_step::kSwapRoot;
    if (write)
      flow.OnWritten(store.Swap(action.key, action.value, action.index), kStart);
    else
      flow.OnRead(store.Read(action.key), kStart);
  }
  return flow.outcome();
}

void Collect(counted_store& store, const apply_outcome& outcome) {
  section_collector collector(outcome.dropped, {});
  while (const auto call = collector.Next()) {
    if (call->what == collect_call::kind::kRead)
      collector.OnRead(store.Read(call->key));
    else if (call->what == collect_call::kind::kSwap)
      collector.OnWritten(store.Swap(call->key, call->value, call->index));
    else
      collector.OnWritten(store.Erase(call->key, call->index));
  }
}

}  // namespace

void PrintCollection() {
  std::printf(
      "\n%d changes of one section: what is left in the service, and calls for each apply\n\n"
      "| body, KB | collected | MB left | keys left | reads | writes "
      "|\n|---|---|---|---|---|---|\n",
      kChanges);
  for (const int workspaces : {500, 4'500}) {
    for (const bool collect : {false, true}) {
      counted_store store;
      std::size_t body = 0;
      for (int change = 0; change < kChanges; ++change) {
        const apply_outcome outcome = Apply(store, workspaces, change);
        body = outcome.changed.front().body.size();
        if (collect)
          Collect(store, outcome);
      }
      std::printf("| %.0f | %s | %.1f | %zu | %.2f | %.2f |\n", static_cast<double>(body) / 1e3,
                  collect ? "yes" : "no", store.Megabytes(), store.items.size(),
                  static_cast<double>(store.reads) / kChanges,
                  static_cast<double>(store.writes) / kChanges);
    }
  }
}

}  // namespace quincebank
