// Settings of a node that several tests of the package use.

#ifndef OLEANDERTIDE_TESTS_CONFIG_SAMPLE_SETTINGS_H_
#define OLEANDERTIDE_TESTS_CONFIG_SAMPLE_SETTINGS_H_

#include <string_view>

namespace oleandertide::config {

// All required settings and no others.
inline constexpr std::string_view kSampleSettings = R"([node]
environment = production
data-centre = quito-1
region = andes
service = booking

[listen]
callers = 0.0.0.0:8080
backend = 127.0.0.1:0
peers = 10.0.0.1:9000

[platform]
address = [0:0::1]:7000
)";

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_TESTS_CONFIG_SAMPLE_SETTINGS_H_
