#ifndef FORWARD_HEADERNAMES_H
#define FORWARD_HEADERNAMES_H

#include <string>

namespace foxtail {

/// Names of the HTTP headers with metadata of a request, used between callers,
/// this system and backend servers. A deployment may configure other names than
/// these defaults.
struct HeaderNames
{
  /// Request id set by the caller, unique for each of the caller's attempts.
  std::string requestId_ = "Foxtail-Request";
  /// Time left for an answer, in milliseconds.
  std::string timeLeftMs_ = "Foxtail-Time-Left-Ms";
  /// Id of the backend server that the request is sent to; any other server
  /// refuses it without running it.
  std::string expectedServer_ = "Foxtail-Expected-Server";
  /// Signature of a backend server on its reply.
  std::string signature_ = "Foxtail-Signature";
  /// Present if the backend server has not run the request.
  std::string notRun_ = "Foxtail-Not-Run";
  /// Numbers of running requests, of waiting requests and of slots, optionally
  /// followed by the execution time in percent of the usual one, separated by
  /// commas.
  std::string load_ = "Foxtail-Load";
  /// Requests per second that the backend server accepts from all instances
  /// together, a decimal number; it holds until a reply without it.
  std::string rateLimit_ = "Foxtail-Rate-Limit";
  /// Signatures of the parts in a merged answer, separated by commas.
  std::string partSignatures_ = "Foxtail-Part-Signatures";
  /// Name of the team whose key the caller sent.
  std::string team_ = "Foxtail-Team";
  /// Present in the replies of a backend server that is leaving.
  std::string leaving_ = "Foxtail-Leaving";
  /// Time for which the backend server stays cold, in milliseconds.
  std::string warmupMs_ = "Foxtail-Warmup-Ms";
  /// Scheme of the Authorization header that holds a team's key.
  std::string keyScheme_ = "Bearer";
  /// Number of shards whose parts are missing from an answer.
  std::string missingShards_ = "Foxtail-Missing-Shards";
};

} // namespace foxtail

#endif // FORWARD_HEADERNAMES_H
