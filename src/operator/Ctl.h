#ifndef OPERATOR_CTL_H
#define OPERATOR_CTL_H

namespace foxtail {

/// Exit statuses of foxtailctl.
enum class CtlExit
{
  Ok = 0,
  /// A fault of the document, a refusal, or an error.
  Failed = 1,
  Usage = 2,
  Conflict = 3,
  /// The change was not made: send it again at will.
  NotRun = 4,
  /// The change was perhaps made: send it again with the same change id.
  Unknown = 5,
};

/// Runs the command line of foxtailctl.
///
/// @return the program's exit status.
int RunCtl(int argc, const char** argv);

} // namespace foxtail

#endif // OPERATOR_CTL_H
