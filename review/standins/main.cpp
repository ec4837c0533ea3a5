// Runs one case of the review: review_case NAME ROOT FOLDER RECORD.
#include "cases.h"

#include <cstdlib>
#include <iostream>
#include <map>

int main(int argc, char** argv)
{
    using namespace toucan::review;
    const std::map<std::string, int (*)(deployment&, bool)> cases = {
        {"slow-reader", run_slow_reader_case},
        {"pipeline", run_pipeline_case},
        {"memory", run_memory_case},
        {"refusal", run_refusal_case},
        {"last-machine", run_last_machine_case},
        {"lost-answer", run_lost_answer_case},
        {"kept-limits", run_kept_limits_case},
    };
    const auto found = argc == 5 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: review_case NAME ROOT FOLDER RECORD\n";
        return could_not_run;
    }
    const char* trouble = std::getenv("TROUBLE");
    try {
        record out(argv[4]);
        deployment all(argv[2], argv[3], out);
        const int status = found->second(all, trouble == nullptr || std::string(trouble) != "0");
        out.line("exit status " + std::to_string(status));
        return status;
    }
    catch (const std::exception& ex) {
        std::cerr << ex.what() << '\n';
        return could_not_run;
    }
}
