#include "mesh/service_choice.h"

#include <cmath>

namespace oleandertide::mesh {
namespace {

// Multiples of the golden ratio modulo 1 cover the unit interval evenly.
constexpr double kGoldenRatioFraction = 0.61803398874989484820;

}  // namespace

const std::string& ServiceChoice::Choose(const Route& route,
                                         RandomSource& random) {
  if (route.services.size() == 1) return route.services.front().service;
  const auto [entry, is_new] = positions_.try_emplace(route.path_prefix, 0);
  double& position = entry->second;
  if (is_new) position = random.Unit();
  position = std::fmod(position + kGoldenRatioFraction, 1.0);
  double total = 0;
  for (const WeightedService& weighted_service : route.services)
    total += weighted_service.weight;
  double remaining_weight = position * total;
  for (const WeightedService& weighted_service : route.services) {
    if (remaining_weight < weighted_service.weight)
      return weighted_service.service;
    remaining_weight -= weighted_service.weight;
  }
  return route.services.back().service;
}

}  // namespace oleandertide::mesh
