#include "quincebank/config/holder.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "quincebank/base/digest.h"

namespace quincebank {
namespace {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// Newer roots that a node follows at once. More than one, since the peer that announced the newest
/// may be gone before its sections were fetched.
constexpr std::size_t kMaxCandidates = 4;

constexpr std::array<std::string_view, 4> kStateNames{"empty", "provisional", "confirmed",
                                                      "unconfirmed"};

std::optional<time_point> Later(std::optional<time_point> a, std::optional<time_point> b) {
  if (!a || !b)
    return a ? a : b;
  return std::max(*a, *b);
}

}  // namespace

std::string_view ToString(holder_state state) noexcept {
  return kStateNames.at(static_cast<std::size_t>(state));
}

config_holder::config_holder(holder_settings settings, time_point start)
    : settings_(settings), start_(start) {}

root_relation config_holder::Hear(const root_announcement& heard,
                                  root_source source,
                                  time_point asked_at,
                                  time_point now) {
  counters_.newest_heard = std::max(counters_.newest_heard, heard.version);
  std::optional<time_point> confirmed_at;
  if (heard.age)
    confirmed_at = std::min(asked_at, now) - *heard.age;
  if (heard.version < version_) {
    if (source == root_source::kService)
      ++counters_.service_behind;
    return root_relation::kOlder;
  }
  if (heard.version == version_) {
    if (heard.digest != digest_) {
      ++counters_.conflicts;
      return root_relation::kConflict;
    }
    if (version_ == 0)
      return root_relation::kSame;
    confirmed_at_ = Later(confirmed_at_, confirmed_at);
    ever_confirmed_ = ever_confirmed_ || (confirmed_at_ && *confirmed_at_ >= start_);
    return root_relation::kSame;
  }
  const auto [slot, fresh] = candidates_.try_emplace(heard.version);
  candidate& entry = slot->second;
  if (!fresh && entry.digest != heard.digest) {
    ++counters_.conflicts;
    if (source != root_source::kService)
      return root_relation::kConflict;
    entry = {};
  }
  entry.digest = heard.digest;
  entry.confirmed_at = Later(entry.confirmed_at, confirmed_at);
  if (candidates_.size() > kMaxCandidates) {
    candidates_.erase(candidates_.begin());
    DropBodies();
  }
  AdoptDue(now);
  return root_relation::kNewer;
}

result<root_relation> config_holder::HearRootBody(std::string_view body,
                                                  root_source source,
                                                  time_point asked_at,
                                                  time_point now) {
  auto parsed = ParseRoot(body);
  if (!parsed)
    return std::move(parsed).error();
  const std::string digest = Sha256Hex(body);
  const root_announcement heard{parsed.value().version, digest, milliseconds(0)};
  const root_relation relation = Hear(heard, source, asked_at, now);
  if (relation == root_relation::kNewer) {
    BOOST_OUTCOME_TRYV(Store(digest, body, now));
  }
  return relation;
}

std::vector<std::string> config_holder::Missing() const {
  std::vector<std::string> missing;
  const auto add = [&](const std::string& digest) {
    if (bodies_.contains(digest))
      return;
    if (std::find(missing.begin(), missing.end(), digest) == missing.end())
      missing.push_back(digest);
  };
  for (auto slot = candidates_.rbegin(); slot != candidates_.rend(); ++slot) {
    const candidate& entry = slot->second;
    if (entry.rejected)
      continue;
    if (!entry.root) {
      add(entry.digest);
      continue;
    }
    for (const auto& [name, ref] : entry.root->sections)
      add(ref.digest);
  }
  return missing;
}

bool config_holder::IsRoot(std::string_view digest) const noexcept {
  return std::any_of(candidates_.begin(), candidates_.end(),
                     [digest](const auto& slot) { return slot.second.digest == digest; });
}

bool config_holder::IsWanted(std::string_view digest) const {
  for (const auto& [version, entry] : candidates_) {
    if (entry.digest == digest)
      return true;
    if (!entry.root)
      continue;
    for (const auto& [name, ref] : entry.root->sections) {
      if (ref.digest == digest)
        return true;
    }
  }
  return false;
}

result<void> config_holder::Store(std::string_view digest, std::string_view body, time_point now) {
  if (Sha256Hex(body) != digest)
    return MakeError(error_code::kInvalidArgument, "the body does not match its digest");
  if (!IsWanted(digest))
    return outcome::success();
  for (auto& [version, entry] : candidates_) {
    if (entry.digest != digest || entry.root)
      continue;
    auto parsed = ParseRoot(body);
    if (parsed && parsed.value().version == version) {
      entry.root = std::move(parsed).value();
      continue;
    }
    entry.rejected = true;
    counters_.last_error =
        "root of version " + std::to_string(version) + " is not readable or names another version";
  }
  bodies_.insert_or_assign(std::string(digest), std::string(body));
  AdoptDue(now);
  return outcome::success();
}

bool config_holder::IsComplete(const candidate& entry) const {
  if (!entry.root || entry.rejected)
    return false;
  return std::all_of(entry.root->sections.begin(), entry.root->sections.end(),
                     [this](const auto& item) { return bodies_.contains(item.second.digest); });
}

bool config_holder::IsDue(const candidate& entry, time_point now) const {
  // Any higher version is newer than the one in force here. A fresh node holds nothing that would
  // tell, so it waits for a root that the service held after this start.
  if (version_ > 0)
    return true;
  return (entry.confirmed_at && *entry.confirmed_at >= start_) ||
         now >= start_ + settings_.start_wait;
}

void config_holder::Tick(time_point now) {
  AdoptDue(now);
}

void config_holder::AdoptDue(time_point now) {
  for (auto slot = candidates_.rbegin(); slot != candidates_.rend(); ++slot) {
    if (!IsComplete(slot->second) || !IsDue(slot->second, now))
      continue;
    if (Adopt(slot->first, slot->second))
      return;
  }
}

bool config_holder::Adopt(std::uint64_t version, candidate& entry) {
  config_document document;
  for (const auto& [name, ref] : entry.root->sections) {
    auto section = ParseSection(name, bodies_.find(ref.digest)->second);
    if (!section) {
      entry.rejected = true;
      counters_.last_error = Describe(section.error());
      return false;
    }
    document.sections.push_back(std::move(section).value());
  }
  auto built = effective_config::Build(version, entry.digest, std::move(document));
  if (!built) {
    entry.rejected = true;
    counters_.last_error = Describe(built.error());
    return false;
  }
  config_ = std::move(built).value();
  version_ = version;
  digest_ = entry.digest;
  root_ = std::move(entry.root);
  confirmed_at_ = entry.confirmed_at;
  ever_confirmed_ = ever_confirmed_ || (confirmed_at_ && *confirmed_at_ >= start_);
  counters_.last_error.clear();
  candidates_.erase(candidates_.begin(), candidates_.upper_bound(version));
  DropBodies();
  return true;
}

void config_holder::DropBodies() {
  std::set<std::string_view> held{digest_};
  if (root_) {
    for (const auto& [name, ref] : root_->sections)
      held.insert(ref.digest);
  }
  for (auto body = bodies_.begin(); body != bodies_.end();) {
    if (held.contains(body->first) || IsWanted(body->first)) {
      ++body;
    } else {
      body = bodies_.erase(body);
    }
  }
}

const std::string* config_holder::Body(std::string_view digest) const noexcept {
  const auto found = bodies_.find(digest);
  return found == bodies_.end() ? nullptr : &found->second;
}

root_announcement config_holder::Announce(time_point now) const {
  return {version_, digest_, Age(now)};
}

root_answer config_holder::Answer(std::uint64_t have, time_point now) const {
  root_answer answer{Announce(now), {}};
  if (have >= version_)
    return answer;
  std::size_t bytes = 0;
  const auto add = [&](std::string_view digest) {
    const std::string* const body = Body(digest);
    if (body == nullptr || bytes + body->size() > kMaxInlineBytes)
      return;
    bytes += body->size();
    answer.bodies.push_back(*body);
  };
  add(digest_);
  for (const auto& [name, ref] : root_->sections) {
    if (ref.version > have)
      add(ref.digest);
  }
  return answer;
}

std::optional<milliseconds> config_holder::Age(time_point now) const noexcept {
  if (!confirmed_at_)
    return std::nullopt;
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - *confirmed_at_));
}

holder_state config_holder::State(time_point now) const noexcept {
  if (version_ == 0)
    return holder_state::kEmpty;
  if (!ever_confirmed_)
    return holder_state::kProvisional;
  const auto age = Age(now);
  return age && *age <= settings_.confirm_limit ? holder_state::kConfirmed
                                                : holder_state::kUnconfirmed;
}

holder_status config_holder::Status(time_point now) const {
  holder_status status = counters_;
  status.version = version_;
  status.digest = digest_;
  status.age = Age(now);
  status.state = State(now);
  return status;
}

}  // namespace quincebank
