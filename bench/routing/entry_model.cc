#include "entry_model.h"

#include <algorithm>
#include <utility>

namespace quincebank {

entry_model::entry_model(const sim_config& config,
                         ref_ptr<const routing_table> table,
                         std::uint64_t seed)
    : table_(std::move(table)),
      views_(table_->size()),
      loads_(table_->size()),
      correct_load_(config.correct_load),
      random_(seed),
      turn_(random_.Below(table_->size())) {
  if (config.feed.cache_events || config.feed.note_served)
    index_ = std::make_unique<prefix_index>(config.feed.index_blocks);
}

void entry_model::Hint(std::uint32_t index, const upstream_load& load, sim_time taken) {
  upstream_view& view = views_[index];
  if (taken < view.taken)
    return;
  view.hint = load;
  view.taken = taken;
  view.hint.sent_since = static_cast<std::uint32_t>(std::count_if(
      view.sent.begin(), view.sent.end(), [&](sim_time sent) { return sent > taken; }));
}

void entry_model::Sent(std::uint32_t index, sim_time at) {
  views_[index].sent.push_back(at);
  ++views_[index].hint.sent_since;
}

void entry_model::Answered(std::uint32_t index, sim_time sent_at) {
  upstream_view& view = views_[index];
  const auto found = std::find(view.sent.begin(), view.sent.end(), sent_at);
  if (found == view.sent.end())
    return;
  view.sent.erase(found);
  if (sent_at > view.taken) {
    --view.hint.sent_since;
  } else if (correct_load_ && view.hint.in_flight > 0) {
    --view.hint.in_flight;
  }
}

void entry_model::SetStates(const std::vector<std::uint32_t>& indices, upstream_state state) {
  std::vector<upstream> upstreams = table_->upstreams();
  for (const std::uint32_t index : indices)
    upstreams[index].state = state;
  table_ = routing_table::Build(table_->service(), std::move(upstreams)).value();
}

route_input entry_model::Input(const route_request& request,
                               const route_settings& settings,
                               sim_time now) {
  for (std::size_t i = 0; i < views_.size(); ++i) {
    loads_[i] = views_[i].hint;
    if (!correct_load_)
      loads_[i].sent_since = 0;
    loads_[i].age = std::chrono::duration_cast<milliseconds>(now - views_[i].taken);
  }
  prefix_hits hits;
  if (index_)
    hits = index_->Find(request.prefix);
  return {table_, loads_, request, hits, settings};
}

}  // namespace quincebank
