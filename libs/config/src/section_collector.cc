#include "quincebank/config/section_collector.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

namespace json = boost::json;

std::string SerializeList(const std::map<std::string, std::uint64_t>& list) {
  json::array entries;
  for (const auto& [digest, version] : list)
    entries.push_back(json::object{{"digest", digest}, {"version", version}});
  return json::serialize(json::object{{"dropped", std::move(entries)}});
}

result<std::map<std::string, std::uint64_t>> ParseList(std::string_view text) {
  std::map<std::string, std::uint64_t> list;
  BOOST_OUTCOME_TRY(const json::value parsed, ParseJson(text));
  std::vector<error> errors;
  json_reader reader(parsed, "", errors);
  reader.Each("dropped", [&list](json_reader& child) {
    const std::string digest = child.String("digest");
    list[digest] = static_cast<std::uint64_t>(child.Int("version", {0}));
    child.Finish();
  });
  reader.Finish();
  if (!errors.empty())
    return JoinErrors(errors);
  return list;
}

}  // namespace

section_collector::section_collector(std::vector<std::string> dropped, collect_settings settings)
    : dropped_(std::move(dropped)), settings_(settings) {}

std::optional<collect_call> section_collector::Next() const {
  using kind = collect_call::kind;
  switch (step_) {
    case step::kReadList:
      return collect_call{kind::kRead, std::string(kGarbageKey), {}, 0};
    case step::kReadBody:
      return collect_call{kind::kRead, SectionKey(candidates_[at_]), {}, 0};
    case step::kReadRoot:
      return collect_call{kind::kRead, std::string(kRootKey), {}, 0};
    case step::kFence:
      return collect_call{kind::kSwap, std::string(kRootKey), root_->value, root_->index};
    case step::kErase:
      return collect_call{
          kind::kErase, SectionKey(candidates_[at_]), {}, indexes_.at(candidates_[at_])};
    case step::kSwapList:
      return collect_call{kind::kSwap, std::string(kGarbageKey), list_value_, list_index_};
    case step::kDone:
      break;
  }
  return std::nullopt;
}

void section_collector::OnRead(const std::optional<stored_value>& value) {
  switch (step_) {
    case step::kReadList:
      return OnList(value);
    case step::kReadBody:
      return OnBody(value);
    case step::kReadRoot:
      return OnRoot(value);
    default:
      return;
  }
}

void section_collector::OnList(const std::optional<stored_value>& value) {
  list_.clear();
  list_index_ = 0;
  if (value) {
    auto parsed = ParseList(value->value);
    if (!parsed) {
      step_ = step::kDone;
      return;
    }
    list_ = std::move(parsed).value();
    list_index_ = value->index;
  }
  if (collected_)
    return BeginSwapList();
  step_ = step::kReadRoot;
}

void section_collector::OnRoot(const std::optional<stored_value>& value) {
  root_ = value;
  const auto root = value ? ParseRoot(value->value) : result<config_root>(config_root());
  if (!root) {
    step_ = step::kDone;
    return;
  }
  version_ = root.value().version;
  std::set<std::string> named;
  for (const auto& [name, ref] : root.value().sections)
    named.insert(ref.digest);
  std::vector<std::pair<std::uint64_t, std::string>> oldest;
  for (const auto& [digest, version] : list_) {
    if (version + settings_.grace > version_)
      continue;
    if (named.contains(digest))
      settled_.insert(digest);
    else
      oldest.emplace_back(version, digest);
  }
  std::sort(oldest.begin(), oldest.end());
  oldest.resize(std::min(oldest.size(), settings_.max_bodies));
  for (auto& [version, digest] : oldest)
    candidates_.push_back(std::move(digest));
  if (candidates_.empty() || !root_)
    return BeginSwapList();
  step_ = step::kReadBody;
}

void section_collector::OnBody(const std::optional<stored_value>& value) {
  if (value)
    indexes_[candidates_[at_]] = value->index;
  else
    settled_.insert(candidates_[at_]);
  if (++at_ < candidates_.size())
    return;
  std::erase_if(candidates_, [&](const std::string& digest) { return !indexes_.contains(digest); });
  at_ = 0;
  if (candidates_.empty())
    return BeginSwapList();
  step_ = step::kFence;
}

void section_collector::OnWritten(bool applied) {
  switch (step_) {
    case step::kFence:
      // Another writer has changed the root, which may name a candidate now.
      if (!applied)
        return BeginSwapList();
      step_ = step::kErase;
      return;
    case step::kErase:
      if (applied) {
        settled_.insert(candidates_[at_]);
        ++erased_;
      }
      return NextErase();
    case step::kSwapList:
      step_ = applied || ++tries_ == settings_.max_tries ? step::kDone : step::kReadList;
      return;
    default:
      return;
  }
}

void section_collector::OnError() {
  switch (step_) {
    case step::kErase:
      return NextErase();
    case step::kFence:
      return BeginSwapList();
    case step::kSwapList:
      step_ = ++tries_ == settings_.max_tries ? step::kDone : step::kReadList;
      return;
    default:
      step_ = step::kDone;
  }
}

void section_collector::NextErase() {
  if (++at_ == candidates_.size())
    BeginSwapList();
}

void section_collector::BeginSwapList() {
  collected_ = true;
  std::map<std::string, std::uint64_t> changed = list_;
  for (const std::string& digest : settled_)
    changed.erase(digest);
  for (const std::string& digest : dropped_) {
    if (changed.size() < settings_.max_list)
      changed[digest] = version_;
  }
  step_ = changed == list_ ? step::kDone : step::kSwapList;
  list_value_ = SerializeList(changed);
}

}  // namespace quincebank
