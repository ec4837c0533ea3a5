# Build rules shared by all packages.

add_library(toucan_options INTERFACE)
target_compile_options(toucan_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow)
if(TOUCAN_WARNINGS_AS_ERRORS)
  target_compile_options(toucan_options INTERFACE -Werror)
endif()
target_link_libraries(toucan_options INTERFACE Threads::Threads)

# toucan_library(NAME DEPENDS target...)
# Builds the static library toucan_NAME (alias toucan::NAME) from src/*.cpp and, if there are files
# test/*.cpp, the test program NAME_test.
function(toucan_library name)
  cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  add_library(toucan_${name} STATIC ${sources})
  target_include_directories(toucan_${name} PUBLIC include PRIVATE src)
  target_link_libraries(toucan_${name} PUBLIC ${arg_DEPENDS} PRIVATE toucan_options)
  add_library(toucan::${name} ALIAS toucan_${name})

  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*.cpp)
  if(tests AND TOUCAN_TESTS)
    add_executable(${name}_test ${tests} ${CMAKE_SOURCE_DIR}/tests/support/cppunit_main.cpp)
    target_include_directories(${name}_test PRIVATE src ${CMAKE_SOURCE_DIR}/tests/support)
    target_link_libraries(${name}_test PRIVATE toucan_${name} toucan_options PkgConfig::cppunit)
    add_test(NAME unit.${name} COMMAND ${name}_test)
    set_tests_properties(unit.${name} PROPERTIES LABELS unit TIMEOUT 300)
  endif()
endfunction()
