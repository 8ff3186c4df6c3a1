#ifndef TOUCANWHARF_TOOLS_TOUCANWHARFD_NATIVE_INTERFACE_H_
#define TOUCANWHARF_TOOLS_TOUCANWHARFD_NATIVE_INTERFACE_H_

#include <string>

namespace toucanwharf::tools {

/// Loads the module with the router's native interface and runs it with the
/// settings in \p settings_file, or only checks them if \p check_only is set.
/// Returns the program's exit code. \p program is the name that the program was
/// called by. Thread safety: only from the main thread, at most once.
int ServeNativeInterface(const char* program, const std::string& settings_file,
                         bool check_only);

}  // namespace toucanwharf::tools

#endif  // TOUCANWHARF_TOOLS_TOUCANWHARFD_NATIVE_INTERFACE_H_
