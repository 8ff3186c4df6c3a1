#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/push_relabel_max_flow.hpp>
#include <cmath>
#include <cstdint>
#include <vector>

#include "fleet.h"

namespace toucanwharf::bench {
namespace {

using Traits =
    boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
using Graph = boost::adjacency_list<
    boost::vecS, boost::vecS, boost::directedS, boost::no_property,
    boost::property<
        boost::edge_capacity_t, std::int64_t,
        boost::property<
            boost::edge_residual_capacity_t, std::int64_t,
            boost::property<boost::edge_reverse_t, Traits::edge_descriptor>>>>;

/// The algorithm needs integers: flow is in millionths of a request per second.
constexpr double kFlowUnitsPerRequest = 1e6;

constexpr int kSampleSize = 200000;

/// A graph with the reverse edges that push_relabel_max_flow requires.
class FlowNetwork {
 public:
  std::size_t AddNode() { return boost::add_vertex(this->graph); }

  void AddEdge(std::size_t from, std::size_t to, double requests_per_second) {
    const auto capacity = static_cast<std::int64_t>(
        std::floor(requests_per_second * kFlowUnitsPerRequest));
    const auto edge = boost::add_edge(from, to, this->graph).first;
    const auto reverse = boost::add_edge(to, from, this->graph).first;
    boost::put(boost::edge_capacity, this->graph, edge, capacity);
    boost::put(boost::edge_capacity, this->graph, reverse, std::int64_t{0});
    boost::put(boost::edge_reverse, this->graph, edge, reverse);
    boost::put(boost::edge_reverse, this->graph, reverse, edge);
  }

  double MaxFlow(std::size_t source, std::size_t sink) {
    const std::int64_t flow =
        boost::push_relabel_max_flow(this->graph, source, sink);
    return static_cast<double>(flow) / kFlowUnitsPerRequest;
  }

 private:
  Graph graph;
};

/// Mean resource demand of a request on one chain.
struct Demand {
  double hold_seconds = 0;
  double kv_token_seconds = 0;
  double output_tokens = 0;
};

Demand MeanDemand(const Chain& chain, const std::vector<Job>& jobs) {
  Demand demand;
  for (const Job& job : jobs) {
    const double hold = chain.PrefillSeconds(job.prompt_tokens) +
                        job.output_tokens * chain.TokenSeconds();
    demand.hold_seconds += hold;
    demand.kv_token_seconds += hold * (job.prompt_tokens + job.output_tokens);
    demand.output_tokens += job.output_tokens;
  }
  const auto count = static_cast<double>(jobs.size());
  demand.hold_seconds /= count;
  demand.kv_token_seconds /= count;
  demand.output_tokens /= count;
  return demand;
}

}  // namespace

std::vector<Job> SampleMix(const TrafficSettings& settings) {
  Traffic traffic(settings);
  std::vector<Job> jobs;
  for (int draw = 0; draw < kSampleSize; ++draw) jobs.push_back(traffic.Next());
  return jobs;
}

Bound ComputeBound(const std::vector<Chain>& fleet,
                   const std::vector<Job>& jobs) {
  // The fleet repeats four kinds of chain, so four demands suffice.
  std::vector<Demand> demands;
  for (std::size_t index = 0; index < 4; ++index) {
    demands.push_back(MeanDemand(fleet[index], jobs));
  }
  FlowNetwork network;
  const std::size_t source = network.AddNode();
  const std::size_t sink = network.AddNode();
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    const Chain& chain = fleet[index];
    const Demand& demand = demands[index % demands.size()];
    const std::size_t first_slots = network.AddNode();
    const std::size_t first_kv = network.AddNode();
    const std::size_t link = network.AddNode();
    const std::size_t second_slots = network.AddNode();
    const double hold = demand.hold_seconds;
    const double kv = demand.kv_token_seconds;
    const double link_requests =
        chain.link_tokens_per_second / demand.output_tokens;
    network.AddEdge(source, first_slots, chain.first.slots / hold);
    network.AddEdge(first_slots, first_kv, chain.first.kv_tokens / kv);
    network.AddEdge(first_kv, link, link_requests);
    network.AddEdge(link, second_slots, chain.second.slots / hold);
    network.AddEdge(second_slots, sink, chain.second.kv_tokens / kv);
  }
  const double flow = network.MaxFlow(source, sink);
  return Bound{flow, flow * demands.front().output_tokens};
}

}  // namespace toucanwharf::bench
