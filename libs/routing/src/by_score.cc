#include <algorithm>

#include "quincebank/base/digest.h"
#include "quincebank/base/random.h"
#include "rendezvous.h"
#include "weigh.h"

namespace quincebank {
namespace {

using pool = routing_table::pool;
using region_range = routing_table::region_range;

constexpr std::size_t kTemplatePreferred = 4;
constexpr std::size_t kConversationPreferred = 2;
/// More samples let all entries pick the same few upstreams from the same late reports.
constexpr std::uint32_t kSamples = 2;
/// Further upstreams weighed in a retry, and when every candidate is excluded or has a queue.
constexpr std::uint32_t kWideSamples = 12;
/// The same for each other region.
constexpr std::uint32_t kForeignSamples = 4;

/// \brief Keys and lengths of the parts of a prompt that attract requests to the same upstreams.
struct affinity {
  explicit affinity(const route_input& input) noexcept {
    const auto prefix = input.request.prefix;
    if (prefix.empty())
      return;
    const auto blocks = static_cast<std::uint32_t>(prefix.size());
    template_blocks = std::clamp(input.settings.template_blocks, 1U, blocks);
    const std::uint32_t window = std::clamp(input.settings.conversation_blocks, 1U, blocks);
    template_key = Mix64(prefix[template_blocks - 1]);
    conversation_key = Mix64(prefix[window - 1]);
    // A prompt longer than the window is taken for a later turn: its upstream holds all but the
    // newest part. A shorter one is a first turn, of which only the template can be cached.
    conversation_blocks =
        blocks > input.settings.conversation_blocks ? blocks - 1 : template_blocks;
  }

  std::uint64_t template_key = 0;
  std::uint64_t conversation_key = 0;
  std::uint32_t template_blocks = 0;
  std::uint32_t conversation_blocks = 0;
};

class chooser {
 public:
  chooser(const route_input& input, const pool& members) noexcept
      : input_(input), pool_(members), weigh_(input), random_(input.request.seed) {}

  result<route_decision> Run() {
    KeepHits();
    for (const region_range& range : pool_.regions) {
      if (range.region == weigh_.region() && weigh_.region() != 0)
        home_ = range;
    }
    if (home_.weight == 0) {
      home_.end = static_cast<std::uint32_t>(pool_.index.size());
      for (const region_range& range : pool_.regions)
        home_.weight += range.weight;
    }
    KeepPreferred();
    KeepSamples(home_, kSamples);
    // A retry needs candidates in other failure domains, which two samples may not contain.
    if (!PickLowest(decision_) || Waits() || !input_.request.tried.empty())
      Widen();
    if (decision_.index == routing_table::kNone) {
      const exclusion_counts counts = Scan();
      if (!PickLowest(decision_))
        return ExcludedError(input_, counts);
    }
    return decision_;
  }

 private:
  void Add(std::uint32_t position, std::uint32_t cached, candidate_source source) noexcept {
    Keep(decision_, weigh_.Weigh(pool_.index[position], cached, source));
  }

  void KeepHits() noexcept {
    for (const prefix_hit& hit : input_.hits.view()) {
      const std::uint32_t index = input_.table->IndexOf(hit.upstream);
      if (index == routing_table::kNone || !Serves(index))
        continue;
      Keep(decision_, weigh_.Weigh(index, hit.blocks, candidate_source::kCache));
    }
  }

  /// The index knows neither state, model version nor adapters; another table may have made it.
  [[nodiscard]] bool Serves(std::uint32_t index) const noexcept {
    const upstream& one = input_.table->upstreams()[index];
    if (one.state != upstream_state::kUsable)
      return false;
    const route_request& request = input_.request;
    if (!request.model_version.empty() && one.model_version != request.model_version)
      return false;
    return request.adapter.empty() || std::find(one.adapters.begin(), one.adapters.end(),
                                                request.adapter) != one.adapters.end();
  }

  void KeepPreferred() noexcept {
    if (input_.request.prefix.empty())
      return;
    const affinity keys(input_);
    nearest<kTemplatePreferred> by_template(pool_, keys.template_key);
    nearest<kConversationPreferred> by_conversation(pool_, keys.conversation_key);
    FindNearest(pool_, home_, by_template, by_conversation);
    // The conversation stays on one of the template's upstreams while these have room.
    nearest<1> own(pool_, keys.conversation_key);
    for (std::size_t i = 0; i < by_template.size(); ++i)
      own.Offer(by_template.at(i));
    Add(own.at(0), keys.conversation_blocks, candidate_source::kConversation);
    for (std::size_t i = 0; i < by_template.size(); ++i)
      Add(by_template.at(i), keys.template_blocks, candidate_source::kTemplate);
    for (std::size_t i = 0; i < by_conversation.size(); ++i) {
      Add(by_conversation.at(i), i == 0 ? keys.template_blocks : 0,
          candidate_source::kConversation);
    }
  }

  /// Neighbours in the pool are a random sample, see `routing_table::pool`.
  void KeepSamples(const region_range& range, std::uint32_t count) noexcept {
    const std::uint32_t size = range.end - range.begin;
    const auto start = static_cast<std::uint32_t>(random_.Below(size));
    for (std::uint32_t i = 0; i < std::min(size, count); ++i)
      Add(range.begin + (start + i) % size, 0, candidate_source::kSample);
  }

  [[nodiscard]] bool Waits() const noexcept {
    for (const route_candidate& candidate : decision_.candidates()) {
      if (candidate.index != decision_.index)
        continue;
      const upstream_load load = weigh_.LoadOf(candidate.index);
      return load.limit != 0 && candidate.load >= load.limit;
    }
    return false;
  }

  void Widen() noexcept {
    KeepBestSample(home_, kWideSamples);
    for (const region_range& range : pool_.regions) {
      if (range.begin >= home_.end || range.end <= home_.begin)
        KeepBestSample(range, kForeignSamples);
    }
    PickLowest(decision_);
  }

  void KeepBestSample(const region_range& range, std::uint32_t count) noexcept {
    const std::uint32_t size = range.end - range.begin;
    const auto start = static_cast<std::uint32_t>(random_.Below(size));
    route_candidate best;
    for (std::uint32_t i = 0; i < std::min(size, count); ++i) {
      const route_candidate candidate =
          weigh_.Weigh(pool_.index[range.begin + (start + i) % size], 0, candidate_source::kSample);
      if (candidate.excluded == exclusion::kNone &&
          (best.index == routing_table::kNone || candidate.score < best.score)) {
        best = candidate;
      }
    }
    if (best.index != routing_table::kNone)
      Keep(decision_, best);
  }

  /// Looks at all upstreams before the request is rejected.
  exclusion_counts Scan() noexcept {
    exclusion_counts counts{};
    for (const std::uint32_t index : pool_.index) {
      const route_candidate candidate = weigh_.Weigh(index, 0, candidate_source::kScan);
      ++counts[static_cast<std::size_t>(candidate.excluded)];
      if (candidate.excluded == exclusion::kNone)
        Keep(decision_, candidate);
    }
    return counts;
  }

  const route_input& input_;
  const pool& pool_;
  const weigher weigh_;
  random_source random_;
  region_range home_;
  route_decision decision_;
};

}  // namespace

result<route_decision> ChooseByScore(const route_input& input) {
  const pool* const members =
      input.table->FindPool(input.request.model_version, input.request.adapter);
  if (members == nullptr)
    return NoPoolError(input);
  return chooser(input, *members).Run();
}

}  // namespace quincebank
