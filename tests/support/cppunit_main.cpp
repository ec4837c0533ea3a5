// Runs every registered CppUnit suite. An optional argument selects one suite or test by name.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <exception>
#include <iostream>
#include <string>

int main(int argc, char** argv)
{
    try {
        CppUnit::TestResult controller;
        CppUnit::TestResultCollector collector;
        CppUnit::BriefTestProgressListener progress;
        controller.addListener(&collector);
        controller.addListener(&progress);

        CppUnit::TestRunner runner;
        runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
        runner.run(controller, argc > 1 ? std::string(argv[1]) : std::string());

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
