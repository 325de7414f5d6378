// Reads what the settings of a node tell of its deployment.

#ifndef OLEANDERTIDE_SIDECAR_DEPLOYMENT_SETTINGS_H_
#define OLEANDERTIDE_SIDECAR_DEPLOYMENT_SETTINGS_H_

#include <span>
#include <string>

#include "config/diagnostic.h"
#include "config/environment.h"
#include "config/ini_reader.h"
#include "mesh/deployment.h"

namespace oleandertide::sidecar {

// Reads the entries of the sections [rules] and [bounds] and what the
// environment tells in their place: its rules replace those of the section, and
// each of its bounds the one of that name. Bounds that cannot be used are added
// to `ignored`; another value of the same bound, or its default, holds.
// Thread-safe.
mesh::Deployment ReadDeployment(std::span<const config::IniEntry> rules,
                                std::span<const config::IniEntry> bounds,
                                const config::Environment& environment,
                                config::DiagnosticList& ignored);

// Describes the sections and variables, for the command line. Thread-safe.
std::string DescribeDeployment();

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_DEPLOYMENT_SETTINGS_H_
