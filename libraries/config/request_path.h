// Paths of requests (RFC 3986).

#ifndef OLEANDERTIDE_CONFIG_REQUEST_PATH_H_
#define OLEANDERTIDE_CONFIG_REQUEST_PATH_H_

#include <string_view>

namespace oleandertide::config {

// Whether a server that normalizes or decodes paths takes `path` for the same
// segments as a comparison byte by byte does. False if it does not begin with
// '/' or has an empty segment other than the last, a segment '.' or '..', a
// '\', a malformed percent-encoding, or a percent-encoded '/', '\' or
// unreserved character (RFC 3986, section 2.3). Thread-safe.
bool IsNormalPath(std::string_view path);

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_CONFIG_REQUEST_PATH_H_
