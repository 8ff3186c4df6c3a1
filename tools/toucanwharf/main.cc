#include <iostream>
#include <string>
#include <vector>

#include "toucanwharf/command/arguments.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return toucanwharf::command::RunProgram(arguments, {std::cout, std::cerr});
}
