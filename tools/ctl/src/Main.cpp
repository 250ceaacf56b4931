#include "amaranth/ctl/Ctl.h"
#include "amaranth/ctl/HttpNetwork.h"

#include <iostream>

int main(int Count, char **Arguments) {
  std::vector<std::string> Words(Arguments + 1, Arguments + Count);
  amaranth::ctl::HttpNetwork Net;
  return static_cast<int>(amaranth::ctl::run(Words, Net, std::cout, std::cerr));
}
