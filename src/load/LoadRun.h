#ifndef LOAD_LOADRUN_H
#define LOAD_LOADRUN_H

#include "load/LoadOptions.h"

#include <absl/status/statusor.h>
#include <boost/json.hpp>

namespace foxtail {

/// Runs the load tool once, blocking: sends every arrival, waits for the
/// answers, writes the history and the CSV file.
///
/// @return the report, or InvalidSettings when a file cannot be written.
absl::StatusOr<boost::json::object> RunLoad(const LoadOptions& aOptions);

} // namespace foxtail

#endif // LOAD_LOADRUN_H
