#pragma once

#include "caller.h"

#include <exception>
#include <iostream>

namespace review {

/// Runs a case with the arguments PROGRAM FOLDER RECORD: the path of `toucand`, a temporary folder
/// and the file for the record.
/// @return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
template <typename Case>
int case_main(int count, char** arguments)
{
    if (count != 4) {
        std::cerr << "arguments: PROGRAM FOLDER RECORD\n";
        return 2;
    }
    try {
        Case it(arguments[1], arguments[2], with_trouble());
        const int outcome = it.run();
        it.write_record(arguments[3]);
        return outcome;
    }
    catch (const std::exception& ex) {
        std::cerr << "the case couldn't run: " << ex.what() << '\n';
        return 2;
    }
}

} // namespace review
