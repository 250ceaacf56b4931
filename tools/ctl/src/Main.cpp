#include "amaranth/ctl/Ctl.h"
#include "amaranth/ctl/HttpNetwork.h"

#include <iostream>

int main(int Count, char **Arguments) {
  std::vector<std::string> Args(Arguments + 1, Arguments + Count);
  amaranth::ctl::HttpNetwork Net;
  return static_cast<int>(amaranth::ctl::run(Args, Net, std::cout, std::cerr));
}
