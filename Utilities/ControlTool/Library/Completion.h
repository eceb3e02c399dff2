#pragma once

namespace ControlTool {

/// A bash script that completes eelctl's commands and options: eval "$(eelctl completion)".
const char* bashCompletion();

}
