#ifndef FORWARD_HEADERNAMES_H
#define FORWARD_HEADERNAMES_H

#include <string>

namespace foxtail {

/// Names of the HTTP headers by which callers, this system and backend servers
/// tell each other about a request. A deployment may use other names than
/// these.
struct HeaderNames
{
  /// The caller's id of the request, unique for each of its attempts.
  std::string requestId_ = "Foxtail-Request";
  /// Milliseconds that are left for an answer.
  std::string timeLeftMs_ = "Foxtail-Time-Left-Ms";
  /// The backend server that a request is meant for; others refuse it unrun.
  std::string expectedServer_ = "Foxtail-Expected-Server";
  /// A backend server's signature below an answer that it has made.
  std::string signature_ = "Foxtail-Signature";
  /// Present when the backend server has not run the request.
  std::string notRun_ = "Foxtail-Not-Run";
  /// Requests running, requests waiting and slots, separated by commas.
  std::string load_ = "Foxtail-Load";
  /// Signatures of the parts in an answer, separated by commas.
  std::string partSignatures_ = "Foxtail-Part-Signatures";
  /// Shards that an answer lacks.
  std::string missingShards_ = "Foxtail-Missing-Shards";
};

} // namespace foxtail

#endif // FORWARD_HEADERNAMES_H
