#include "mesh/outcome.h"

namespace oleandertide::mesh {

std::string_view ToString(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kNoConfiguration:
      return "no-configuration";
    case Reason::kNoBackendServer:
      return "no-backend-server";
    case Reason::kNoRoom:
      return "no-room";
    case Reason::kBackendServerAway:
      return "backend-server-away";
    case Reason::kBackendServerRefused:
      return "backend-server-refused";
    case Reason::kConnectFailed:
      return "connect-failed";
    case Reason::kConnectionLost:
      return "connection-lost";
    case Reason::kAnswerUnusable:
      return "answer-unusable";
    case Reason::kDeadlinePassed:
      return "deadline-passed";
    case Reason::kLinkLost:
      return "link-lost";
    case Reason::kQuarantined:
      return "quarantined";
    case Reason::kCancelled:
      return "cancelled";
    case Reason::kStopping:
      return "stopping";
    case Reason::kLimitUnknown:
      return "limit-unknown";
    case Reason::kNoMemory:
      return "no-memory";
  }
  return "unknown-reason";
}

}  // namespace oleandertide::mesh
