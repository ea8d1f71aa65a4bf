#pragma once

// What both programs do at their start: read the command line and the settings file, tell what is wrong in
// one line. It owns nothing.

#include <functional>
#include <string>

#include "mesh/plan/job_sheet.hpp"
#include "mesh/plan/mishap.hpp"

namespace rackroute::mesh {

inline constexpr const char* kVersionText = "rackroute 0.2.0";

/// The file that RACKROUTE_CONFIG names, or the one given.
Result<JobSheet> readSheetFile(const std::string& path);
std::string sheetPath(const std::string& given);
/// No more descriptors than the sheet tells, as far as the machine lets.
void limitDescriptors(const JobSheet& sheet);
/// Runs it; what it throws becomes one line on standard error and exit code 1.
int guardedMain(const char* program, const std::function<int()>& body);

}  // namespace rackroute::mesh
