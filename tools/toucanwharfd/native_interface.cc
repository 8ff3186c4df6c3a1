#include "toucanwharfd/native_interface.h"

#include <dlfcn.h>

#include <iostream>

#include "toucanwharfd/exit_codes.h"
#include "toucanwharfd/module/serve.h"

namespace toucanwharf::tools {
namespace {

/// The module is in the program's directory, which its run path contains.
constexpr const char* kModuleFile = "libtoucanwharf_router.so";

}  // namespace

int ServeNativeInterface(const char* program, const std::string& settings_file,
                         bool check_only) {
  void* const module = dlopen(kModuleFile, RTLD_NOW | RTLD_LOCAL);
  void* const symbol =
      module == nullptr ? nullptr : dlsym(module, kServeFunctionName);
  if (symbol == nullptr) {
    std::cerr << program << ": " << dlerror() << "; build the target "
              << "toucanwharf_router and keep it in this program's directory\n";
    return kExitNoModule;
  }
  const auto serve = reinterpret_cast<ServeFunction>(symbol);
  return serve(program, settings_file.c_str(), check_only);
}

}  // namespace toucanwharf::tools
