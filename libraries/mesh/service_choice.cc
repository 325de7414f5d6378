#include "mesh/service_choice.h"

#include <cmath>

namespace oleandertide::mesh {
namespace {

// Multiples of the golden ratio modulo 1 cover the unit interval evenly.
constexpr double kGoldenRatio = 0.61803398874989484820;

}  // namespace

const std::string& ServiceChoice::Choose(const Route& route,
                                         RandomSource& random) {
  if (route.services.size() == 1) return route.services.front().service;
  const auto [entry, is_new] = positions_.try_emplace(route.path_prefix, 0);
  double& position = entry->second;
  if (is_new) position = random.Unit();
  position = std::fmod(position + kGoldenRatio, 1.0);
  double total = 0;
  for (const WeightedService& part : route.services) total += part.weight;
  double rest = position * total;
  for (const WeightedService& part : route.services) {
    if (rest < part.weight) return part.service;
    rest -= part.weight;
  }
  return route.services.back().service;
}

}  // namespace oleandertide::mesh
