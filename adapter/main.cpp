#include <iostream>

#include "host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    return chalksail::wire::serve(std::cin, std::cout, std::cerr);
}
