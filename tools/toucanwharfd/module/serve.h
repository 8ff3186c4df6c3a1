#ifndef TOUCANWHARF_TOOLS_TOUCANWHARFD_MODULE_SERVE_H_
#define TOUCANWHARF_TOOLS_TOUCANWHARFD_MODULE_SERVE_H_

/// The module libtoucanwharf_router.so: the router with its native interface,
/// gRPC and the other libraries that the platform's processes don't need. The
/// program loads it once reload signals are ignored: linking these libraries
/// would let a reload signal kill the program during the tens of milliseconds
/// in which they load.
namespace toucanwharf::tools {

/// Runs the router with the settings in \p settings_file until it is stopped or
/// drained, or only checks them if \p check_only is set. Returns the program's
/// exit code.
using ServeFunction = int (*)(const char* program, const char* settings_file,
                              bool check_only);

/// Name of the symbol that the module exports.
inline constexpr const char* kServeFunctionName = "ToucanwharfServe";

}  // namespace toucanwharf::tools

#endif  // TOUCANWHARF_TOOLS_TOUCANWHARFD_MODULE_SERVE_H_
