// Runs all registered CppUnit suites; exits with 1 when a test fails.
#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>
#include <glog/logging.h>

#include <cstdlib>
#include <iostream>

int main(int, char** argv) {
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = std::getenv("BRONZEBARROW_TEST_LOG") == nullptr
                          ? google::GLOG_ERROR
                          : google::GLOG_INFO;
  google::InitGoogleLogging(argv[0]);
  CppUnit::TextUi::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.setOutputter(
      new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
  return runner.run() ? 0 : 1;
}
