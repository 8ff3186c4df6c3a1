#ifndef TOUCANWHARF_TOOLS_TOUCANWHARFD_MODULE_SERVE_H_
#define TOUCANWHARF_TOOLS_TOUCANWHARFD_MODULE_SERVE_H_

/// The module libtoucanwharf_router.so: the router with the product's own
/// interface, gRPC and the other libraries that the platform's processes don't
/// need. They are loaded after the program has shielded itself from reload
/// signals, which loading them before its first line would leave it open to for
/// tens of milliseconds.
namespace toucanwharf::tools {

/// Runs the router with the settings in the file \p settings_file until it was
/// told to stop, or only checks these for \p check_only. Returns the program's
/// exit code.
using ServeFunction = int (*)(const char* program, const char* settings_file,
                              bool check_only);

/// The name under which the module exports it.
inline constexpr const char* kServeFunctionName = "ToucanwharfServe";

}  // namespace toucanwharf::tools

#endif  // TOUCANWHARF_TOOLS_TOUCANWHARFD_MODULE_SERVE_H_
