// Entry point of toucand in a build with TOUCAN_EDGE_ONLY: supports only the command `edge`.
#include "edge_command.h"

#include <exception>
#include <iostream>
#include <string>

int main(int argc, char** argv)
{
    constexpr int exit_usage = 2;
    if (argc < 2 || std::string(argv[1]) != "edge") {
        std::cerr << "toucand: usage: toucand edge --settings FILE\n";
        return exit_usage;
    }
    try {
        return toucan::run_edge(argc - 1, argv + 1);
    }
    catch (const std::exception& ex) {
        std::cerr << "toucand: " << ex.what() << '\n';
        return 1;
    }
}
