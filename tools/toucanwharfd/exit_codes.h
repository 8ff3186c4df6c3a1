#ifndef TOUCANWHARF_TOOLS_TOUCANWHARFD_EXIT_CODES_H_
#define TOUCANWHARF_TOOLS_TOUCANWHARFD_EXIT_CODES_H_

namespace toucanwharf::tools {

inline constexpr int kExitOk = 0;
inline constexpr int kExitBadUsage = 2;
inline constexpr int kExitBadSettings = 3;
inline constexpr int kExitCannotListen = 4;
inline constexpr int kExitNoModule = 5;

}  // namespace toucanwharf::tools

#endif  // TOUCANWHARF_TOOLS_TOUCANWHARFD_EXIT_CODES_H_
