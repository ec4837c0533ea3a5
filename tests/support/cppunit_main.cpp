// Runs every registered CppUnit suite. An optional argument selects one suite or test by name.
// Without an argument, the tests named in the environment variable TOUCAN_KNOWN_RED (separated by
// semicolons) are not run; scripts/test.sh runs them by name afterwards and prints their results.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <string>

namespace {

std::set<std::string> known_red_tests()
{
    std::set<std::string> names;
    const char* value = std::getenv("TOUCAN_KNOWN_RED"); // NOLINT(concurrency-mt-unsafe)
    std::istringstream list(value == nullptr ? "" : value);
    for (std::string name; std::getline(list, name, ';');) {
        names.insert(name);
    }
    return names;
}

void run_except(CppUnit::Test& test, const std::set<std::string>& left_out,
                CppUnit::TestResult& controller)
{
    for (int n = 0; n < test.getChildTestCount(); ++n) {
        run_except(*test.getChildTestAt(n), left_out, controller);
    }
    if (test.getChildTestCount() > 0) {
        return;
    }
    if (left_out.count(test.getName()) > 0) {
        std::cout << test.getName() << " : known red, not run here\n";
        return;
    }
    controller.runTest(&test);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        CppUnit::TestResult controller;
        CppUnit::TestResultCollector collector;
        CppUnit::BriefTestProgressListener progress;
        controller.addListener(&collector);
        controller.addListener(&progress);

        if (argc > 1) {
            CppUnit::TestRunner runner;
            runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
            runner.run(controller, std::string(argv[1]));
        }
        else {
            const std::unique_ptr<CppUnit::Test> all(
                CppUnit::TestFactoryRegistry::getRegistry().makeTest());
            run_except(*all, known_red_tests(), controller);
        }

        CppUnit::CompilerOutputter(&collector, std::cerr).write();
        if (collector.runTests() == 0) {
            std::cerr << "no registered test matches the given name\n";
            return 1;
        }
        return collector.wasSuccessful() ? 0 : 1;
    }
    catch (const std::exception& ex) {
        std::cerr << "test run aborted by an exception: " << ex.what() << '\n';
        return 1;
    }
}
