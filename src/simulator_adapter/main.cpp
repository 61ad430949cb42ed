#include <iostream>

#include "simulator_adapter/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return garnethook::simulator_adapter::serve(std::cin, std::cout, std::cerr);
}
