// Request classes, which determine the order of load shedding.

#ifndef OLEANDERTIDE_ROUTING_REQUEST_CLASS_H_
#define OLEANDERTIDE_ROUTING_REQUEST_CLASS_H_

#include <array>
#include <optional>
#include <string_view>

namespace oleandertide::routing {

enum class RequestClass { kLookup, kBooking, kPayment, kOrder };

inline constexpr std::array kAllRequestClasses = {
    RequestClass::kLookup, RequestClass::kBooking, RequestClass::kPayment,
    RequestClass::kOrder};

// Returns true if requests of the class are shed before those of other classes.
// A refused lookup is an inconvenience to its user; a refused booking, payment
// or order loses a sale. Thread-safe.
constexpr bool IsShedFirst(RequestClass request_class) {
  return request_class == RequestClass::kLookup;
}

// Returns the name of the class in documents and traces. Thread-safe.
constexpr std::string_view RequestClassName(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kLookup:
      return "lookup";
    case RequestClass::kBooking:
      return "booking";
    case RequestClass::kPayment:
      return "payment";
    case RequestClass::kOrder:
      break;
  }
  return "order";
}

// Returns the class named `name`, or nullopt if there is none. Thread-safe.
constexpr std::optional<RequestClass> FindRequestClass(std::string_view name) {
  for (const RequestClass request_class : kAllRequestClasses) {
    if (RequestClassName(request_class) == name) return request_class;
  }
  return std::nullopt;
}

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_REQUEST_CLASS_H_
